//go:build review

package main

import (
	"net"
	"sync"
)

// network carries connections to a server. While it is cut, bytes wait on the way, as the system's retransmissions do,
// and arrive in order once it has healed.
type network struct {
	address string
	to      string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

func newNetwork(to string) *network {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &network{address: listener.Addr().String(), to: to}
	n.healed = sync.NewCond(&n.mu)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go n.carry(near)
		}
	}()
	return n
}

func (n *network) cut() {
	n.mu.Lock()
	n.isCut = true
	n.mu.Unlock()
}

func (n *network) heal() {
	n.mu.Lock()
	n.isCut = false
	n.mu.Unlock()
	n.healed.Broadcast()
}

func (n *network) wait() {
	n.mu.Lock()
	for n.isCut {
		n.healed.Wait()
	}
	n.mu.Unlock()
}

func (n *network) carry(near net.Conn) {
	n.wait()
	far, err := net.Dial("tcp", n.to)
	if err != nil {
		_ = near.Close()
		return
	}
	go n.copy(near, far)
	n.copy(far, near)
}

// copy carries bytes one way to their end, and then ends that way.
func (n *network) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		n.wait()
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}
