package raftlog

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"quartzpoint/internal/acceptloop"
	"quartzpoint/internal/peersync"
)

// maxHandshakes is the maximum number of concurrent connections that are not yet authenticated.
const maxHandshakes = 64

// streamLayer implements raft.StreamLayer. Both sides of a connection authenticate each other with the handshake of a
// peersync session before the raft library uses it.
type streamLayer struct {
	listener      net.Listener
	keys          peersync.Keys
	dialAddresses map[string]string // keyed by member address
	logger        *slog.Logger
	authenticated chan net.Conn // accepted connections that completed the handshake
	closing       chan struct{}
	closeOnce     sync.Once
	wg            sync.WaitGroup
}

// listenStream listens on an address. The caller must close the layer.
func listenStream(address string, dialAddresses map[string]string, keys peersync.Keys, logger *slog.Logger) (*streamLayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	l := &streamLayer{
		listener: listener, keys: keys, dialAddresses: dialAddresses, logger: logger,
		authenticated: make(chan net.Conn), closing: make(chan struct{}),
	}
	loop := acceptloop.Loop{
		MaxConns: maxHandshakes,
		Serve:    l.handshake,
		OnError:  func(err error) { logger.Warn("replicated log: accept failed", "error", err) },
	}
	l.wg.Go(func() { _ = loop.Run(listener) }) // ends when the listener is closed
	return l, nil
}

// handshake authenticates a connection and passes it to Accept. Handshakes run concurrently, so that a peer that sends
// nothing does not block others.
func (l *streamLayer) handshake(conn net.Conn) {
	if _, err := peersync.Accept(conn, l.keys); err != nil {
		l.logger.Warn("replicated log: handshake failed", "from", conn.RemoteAddr(), "error", err)
		_ = conn.Close()
		return
	}
	select {
	case l.authenticated <- conn:
	case <-l.closing:
		_ = conn.Close()
	}
}

// Accept implements net.Listener: it returns the next authenticated connection.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.authenticated:
		return conn, nil
	case <-l.closing:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener: it closes the listener and waits until all handshakes have ended. Connections that
// Accept returned stay open. Further calls have no effect.
func (l *streamLayer) Close() (err error) {
	l.closeOnce.Do(func() {
		close(l.closing)
		err = l.listener.Close()
		l.wg.Wait()
	})
	return err
}

// Addr implements net.Listener.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial implements raft.StreamLayer: it opens an authenticated connection to a member.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialAddress, known := l.dialAddresses[string(address)]
	if !known {
		return nil, fmt.Errorf("replicated log: %s is not the address of a member", address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	session, err := peersync.Open(ctx, dialAddress, l.keys)
	if err != nil {
		return nil, err
	}
	return session.Conn(), nil
}
