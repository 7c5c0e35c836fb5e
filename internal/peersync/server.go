package peersync

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/poller"
	"quartzpoint/internal/writequeue"
)

const (
	checkInterval  = 100 * time.Millisecond // between checks of all connections, while there are any
	maxUnsentBytes = 2 * maxSnapshot        // for a client that does not read
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection. A client sends a few short messages.
	receiveBufferBytes = 2 * maxFrame
)

// Server answers the exchanges of peers with the snapshot that was last published. Its own goroutine owns the
// connections, so serving peers takes no time from the event loop that admits the requests of callers. All methods are
// safe for concurrent use.
type Server struct {
	counts      *invariant.Counters
	now         func() time.Duration
	listener    netpoll.Listener
	loop        netpoll.EventLoop
	keys        atomic.Pointer[Keys]
	published   atomic.Pointer[publishedSnapshot]
	voteHandler atomic.Pointer[VoteHandler]

	mu         sync.Mutex
	submitted  []func()
	wake       chan struct{}
	quit       chan struct{}
	goroutines sync.WaitGroup

	// The goroutine of run owns the fields below.
	limiter     *estimate.ServeLimiter
	conns       []*serverConn
	encodedFrom *publishedSnapshot // the one that encoded was made from
	encoded     *encodedSnapshot
}

// publishedSnapshot is a snapshot and the time at which it was taken.
type publishedSnapshot struct {
	snapshot estimate.Snapshot
	takenAt  time.Duration
}

// VoteHandler handles the ballot of an authenticated peer. It may call respond once, from any goroutine, with a
// response of 1 to 1024 bytes. If it does not, the peer's request times out. The handler is called on the server's
// goroutine and must not block.
type VoteHandler func(ballot []byte, respond func(response []byte))

// Listen binds the address and returns a server that answers after Serve is called. now is the clock of the times that
// are passed to Publish.
func Listen(address string, keys Keys, now func() time.Duration, counts *invariant.Counters) (*Server, error) {
	listener, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	if err := poller.SetReceiveBuffer(listener, receiveBufferBytes); err != nil {
		counts.Count("peers' receive buffers keep the system's size")
	}
	s := &Server{
		counts: counts, now: now, listener: &waitingListener{listener, counts},
		wake: make(chan struct{}, 1), quit: make(chan struct{}), limiter: estimate.NewServeLimiter(now()),
	}
	s.keys.Store(&keys)
	s.loop, err = netpoll.NewEventLoop(onData, netpoll.WithOnPrepare(s.prepare))
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return s, nil
}

// waitingListener keeps listening when the process has no file descriptors left: new connections wait in its queue.
type waitingListener struct {
	netpoll.Listener
	counts *invariant.Counters
}

func (l *waitingListener) Accept() (net.Conn, error) {
	return poller.Accept(l.Listener, func() { l.counts.Count("peer waits, descriptors ran out") })
}

// SetVoteHandler sets the handler of ballots. Without a handler, vote requests are rejected.
func (s *Server) SetVoteHandler(handler VoteHandler) { s.voteHandler.Store(&handler) }

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Publish sets the snapshot that is served, and the time at which it was taken. It does not block.
func (s *Server) Publish(snapshot estimate.Snapshot, takenAt time.Duration) {
	s.published.Store(&publishedSnapshot{snapshot, takenAt})
}

// SetKeys replaces the keys for new connections.
func (s *Server) SetKeys(keys Keys) { s.keys.Store(&keys) }

// Submit queues f to be called on the server's goroutine. It does not block.
func (s *Server) Submit(f func()) {
	s.mu.Lock()
	s.submitted = append(s.submitted, f)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve starts the server's goroutines, which run until Close.
func (s *Server) Serve() {
	s.goroutines.Go(func() {
		if err := s.loop.Serve(s.listener); err != nil {
			select {
			case <-s.quit:
			default:
				s.counts.Count("listener for peers failed")
			}
		}
	})
	s.goroutines.Go(s.run)
}

// Close closes the listener and all connections and waits for the goroutines to end.
func (s *Server) Close() {
	close(s.quit)
	// The listener is shut down instead of closed: netpoll's Close closes one descriptor twice, and by the second time
	// the descriptor may belong to a connection that was just accepted.
	_ = unix.Shutdown(s.listener.Fd(), unix.SHUT_RD)
	s.goroutines.Wait()
}

func (s *Server) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		batch := s.submitted
		s.submitted = nil
		s.mu.Unlock()
		for _, f := range batch {
			f()
		}
		for i := len(s.conns) - 1; i >= 0; i-- { // backwards, because check may remove the connection
			s.conns[i].check(s.now())
		}
		var tick <-chan time.Time
		if len(s.conns) > 0 {
			tick = ticker.C
		}
		select {
		case <-s.quit:
			for _, c := range s.conns {
				c.close()
			}
			return
		case <-s.wake:
		case <-tick:
		}
	}
}

// snapshot returns the snapshot to serve, or nil if none was published or the last one is too large. It encodes each
// published snapshot only once.
func (s *Server) snapshot() *encodedSnapshot {
	latest := s.published.Load()
	if latest != s.encodedFrom {
		s.encodedFrom, s.encoded = latest, nil
		encoded, err := encodeSnapshot(latest.snapshot, latest.takenAt)
		if err != nil {
			s.counts.Count("snapshot too large to be served")
			return nil
		}
		s.encoded = encoded
	}
	return s.encoded
}

// prepare is netpoll's callback for a new connection.
func (s *Server) prepare(transport netpoll.Connection) context.Context {
	address := transport.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c := &serverConn{
		server: s, transport: transport, address: address, startedAt: s.now(), keys: *s.keys.Load(), fd: transport.(netpoll.Conn).Fd(),
		unsent: writequeue.New(maxUnsentBytes), exchange: serverExchange{serverHandshake: serverHandshake{serverNonce: newNonce()}},
	}
	processTraffic.accepted.Add(1)
	_ = transport.AddCloseCallback(c.onClose)
	s.Submit(c.register)
	return context.WithValue(context.Background(), connKey{}, c)
}
