// Package acceptloop accepts connections of a listener and serves a bounded number of them concurrently.
package acceptloop

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errorPause is the delay after a failed Accept. Without file descriptors, Accept fails immediately each time while the
// connection stays in the kernel's queue. Without the delay, the loop would use a full core until a descriptor is free.
const errorPause = 50 * time.Millisecond

// Loop is the configuration of an accept loop.
type Loop struct {
	// MaxConns bounds the connections that are served concurrently, each in its own goroutine. Connections beyond it
	// are closed. With 0, connections are served one at a time, and others wait in the kernel's queue.
	MaxConns int
	// Serve serves a connection and closes it.
	Serve func(conn net.Conn)
	// OnError is called with the error of a failed Accept while the listener is open.
	OnError func(err error)
}

// Run accepts connections until the listener is closed. It then waits until all calls of Serve have returned, and
// returns the error of the last Accept, which wraps net.ErrClosed.
func (l Loop) Run(listener net.Listener) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	slots := make(chan struct{}, l.MaxConns)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			l.OnError(err)
			time.Sleep(errorPause)
			continue
		}
		if l.MaxConns == 0 {
			l.Serve(conn)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			l.Serve(conn)
		})
	}
}
