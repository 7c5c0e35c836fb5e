package raftlog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"quartzpoint/internal/peersync"
)

const (
	maxHandshakes = 64 // connections that have not proven themselves yet
	acceptPause   = 50 * time.Millisecond
)

// streamLayer carries the library's connections, each opened by a session that both sides prove.
type streamLayer struct {
	listener      net.Listener
	keys          peersync.Keys
	dialAddresses map[string]string // where an address is dialled
	log           *slog.Logger
	authenticated chan net.Conn
	closing       chan struct{}
	closeOnce     sync.Once
	wg            sync.WaitGroup
}

func listenStream(address string, reach map[string]string, keys peersync.Keys, log *slog.Logger) (*streamLayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	l := &streamLayer{listener: listener, keys: keys, dialAddresses: reach, log: log, authenticated: make(chan net.Conn), closing: make(chan struct{})}
	l.wg.Go(l.accept)
	return l, nil
}

// accept opens sessions beside each other, as one that does not speak must not keep out the rest.
func (l *streamLayer) accept() {
	opening := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			l.log.Warn("replicated log: no connection accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		select {
		case opening <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		l.wg.Go(func() {
			defer func() { <-opening }()
			if _, err := peersync.Accept(conn, l.keys); err != nil {
				l.log.Warn("replicated log: connection refused", "from", conn.RemoteAddr(), "error", err)
				conn.Close()
				return
			}
			select {
			case l.authenticated <- conn:
			case <-l.closing:
				conn.Close()
			}
		})
	}
}

// Accept implements net.Listener, as do Close and Addr.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.authenticated:
		return conn, nil
	case <-l.closing:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and waits for what it opened.
func (l *streamLayer) Close() (err error) {
	l.closeOnce.Do(func() {
		close(l.closing)
		err = l.listener.Close()
		l.wg.Wait()
	})
	return err
}

// Addr is where others find this machine.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(address raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	to, known := l.dialAddresses[string(address)]
	if !known {
		return nil, fmt.Errorf("replicated log: %s is none of its members", address)
	}
	session, err := peersync.Open(ctx, to, l.keys)
	if err != nil {
		return nil, err
	}
	return session.Conn(), nil
}
