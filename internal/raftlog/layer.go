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
	maxOpening  = 64 // connections that have not proven themselves yet
	acceptPause = 50 * time.Millisecond
)

// layer carries the library's connections, each opened by a session that both sides prove.
type layer struct {
	listener net.Listener
	keys     peersync.Keys
	reach    map[string]string // where an address is dialled
	log      *slog.Logger
	proven   chan net.Conn
	quit     chan struct{}
	once     sync.Once
	over     sync.WaitGroup
}

func listenLayer(address string, reach map[string]string, keys peersync.Keys, log *slog.Logger) (*layer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	l := &layer{listener: listener, keys: keys, reach: reach, log: log, proven: make(chan net.Conn), quit: make(chan struct{})}
	l.over.Go(l.accept)
	return l, nil
}

// accept opens sessions beside each other, as one that does not speak must not keep out the rest.
func (l *layer) accept() {
	opening := make(chan struct{}, maxOpening)
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
		l.over.Go(func() {
			defer func() { <-opening }()
			if _, err := peersync.Accept(conn, l.keys); err != nil {
				l.log.Warn("replicated log: connection refused", "from", conn.RemoteAddr(), "error", err)
				conn.Close()
				return
			}
			select {
			case l.proven <- conn:
			case <-l.quit:
				conn.Close()
			}
		})
	}
}

// Accept implements net.Listener, as do Close and Addr.
func (l *layer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.proven:
		return conn, nil
	case <-l.quit:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and waits for what it opened.
func (l *layer) Close() (err error) {
	l.once.Do(func() {
		close(l.quit)
		err = l.listener.Close()
		l.over.Wait()
	})
	return err
}

// Addr is where others find this machine.
func (l *layer) Addr() net.Addr { return l.listener.Addr() }

// Dial implements raft.StreamLayer.
func (l *layer) Dial(address raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	to, known := l.reach[string(address)]
	if !known {
		return nil, fmt.Errorf("replicated log: %s is none of its members", address)
	}
	session, err := peersync.Open(ctx, to, l.keys)
	if err != nil {
		return nil, err
	}
	return session.Conn(), nil
}
