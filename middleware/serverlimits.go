package middleware

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	defaultHeadBytes   = 8 << 10
	defaultHeadTimeout = 5 * time.Second
	// headSlopBytes is what net/http reads of a head beyond its limit.
	headSlopBytes = 4 << 10
	// headExpansion is the memory that a parsed head of the shortest fields takes, as a multiple of its size.
	headExpansion = 32
	// connectionBytes is the memory of a connection without its head: goroutine, buffers and state.
	connectionBytes = 32 << 10
	// connectionMemoryDivisor is the share of the memory that connections may take: the rest is for requests and runs.
	connectionMemoryDivisor = 2
	minConnections          = 16
	// minEvictionAge is the age from which a connection without a request may be closed for a new one.
	minEvictionAge = 100 * time.Millisecond
)

// ServerLimits bound what the connections of an HTTP server can make the process store before the gate sees a request.
// Defaults are given in parentheses. With HTTP/2 they bound the connections and each head, but not the heads of all
// streams together.
type ServerLimits struct {
	MemoryMB    int           // memory of the process in MiB, as Options.MemoryMB of the gate; connections take half of it at most
	HeadBytes   int           // of a request: its line and its header (8 KiB); a longer head is answered with status 431
	HeadTimeout time.Duration // from a connection's first byte to the end of a head (5 s)
}

// Listen sets the limits of a server that has its handler and has not been started, and returns the listener that it must
// serve. If all connections that the memory allows are open, Accept closes the one that has waited longest for a whole
// request, and waits while there is none.
func Listen(server *http.Server, listener net.Listener, limits ServerLimits) net.Listener {
	if limits.HeadBytes == 0 {
		limits.HeadBytes = defaultHeadBytes
	}
	if limits.HeadTimeout == 0 {
		limits.HeadTimeout = defaultHeadTimeout
	}
	server.MaxHeaderBytes, server.ReadHeaderTimeout = limits.HeadBytes, limits.HeadTimeout
	l := &limitedListener{
		Listener: listener, maxOpen: limits.maxConnections(), released: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	if handler == nil {
		handler = http.DefaultServeMux
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(limitedConnKey{}).(*limitedConn)
		l.beginRequest(conn)
		defer l.endRequest(conn)
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		limited, _ := unwrapTo[*limitedConn](conn)
		return context.WithValue(ctx, limitedConnKey{}, limited)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateHijacked {
			limited, _ := unwrapTo[*limitedConn](conn)
			l.beginRequest(limited) // for good: the server does not know what its new owner does
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	return l
}

// limitedConnKey is the key under which the contexts of requests have their limitedConn.
type limitedConnKey struct{}

// maxConnections returns the number of connections whose heads fit into the memory for connections.
func (l ServerLimits) maxConnections() int {
	each := connectionBytes + headExpansion*(l.HeadBytes+headSlopBytes)
	return max(minConnections, l.MemoryMB<<20/connectionMemoryDivisor/each)
}

// limitedListener is a listener with a maximum number of open connections.
type limitedListener struct {
	net.Listener
	maxOpen  int
	released chan struct{} // holds one signal after a connection was closed
	closed   chan struct{}
	closing  sync.Once

	mu   sync.Mutex
	open []*limitedConn // those that have waited longest first, apart from those with requests
}

// limitedConn is a connection that counts as open until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	requests int       // in progress
	since    time.Time // from which the connection waits for a request, if none is in progress
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		if limited := l.add(conn); limited != nil {
			return limited, nil
		}
		if err := l.makeRoom(); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
}

// add adds a connection. It returns nil if the maximum number is open.
func (l *limitedListener) add(conn net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxOpen {
		return nil
	}
	limited := &limitedConn{Conn: conn, listener: l, since: time.Now()}
	l.open = append(l.open, limited)
	return limited
}

// makeRoom closes the connection that has waited longest, and waits until a connection is closed or a while has passed.
func (l *limitedListener) makeRoom() error {
	if idle := l.longestWaiting(); idle != nil {
		_ = idle.Close() // an error leaves nothing to be done
	}
	timer := time.NewTimer(minEvictionAge)
	defer timer.Stop()
	select {
	case <-l.released:
	case <-timer.C:
	case <-l.closed:
		return net.ErrClosed
	}
	return nil
}

// longestWaiting returns the connection that has waited longest for its peer, or nil if none has waited for
// minEvictionAge.
func (l *limitedListener) longestWaiting() *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.open, func(c *limitedConn) bool { return c.requests == 0 })
	if i < 0 || time.Since(l.open[i].since) < minEvictionAge {
		return nil
	}
	return l.open[i]
}

// beginRequest records that a whole head was received, so that the connection makes room for no other. conn is nil if the server does not serve l.
func (l *limitedListener) beginRequest(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn != nil {
		conn.requests++
	}
}

// endRequest records that a request was handled.
func (l *limitedListener) endRequest(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn == nil {
		return
	}
	conn.requests--
	conn.since = time.Now()
	if l.remove(conn) {
		l.open = append(l.open, conn)
	}
}

// remove removes a connection from the open ones, and reports whether it was one. The caller must hold mu.
func (l *limitedListener) remove(conn *limitedConn) bool {
	i := slices.Index(l.open, conn)
	if i < 0 {
		return false
	}
	l.open = slices.Delete(l.open, i, i+1)
	return true
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Close closes the connection, which then makes room for another.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remove(c) {
		select {
		case l.released <- struct{}{}:
		default:
		}
	}
	return err
}

// NetConn returns the connection as it was accepted.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends this side of the connection. net/http does so before it closes a connection, so that its peer can read
// the last response.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
