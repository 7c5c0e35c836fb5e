package peersync

import (
	"context"
	"crypto/rand"
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
	talkWait = 2 * time.Second        // for a whole talk; a longer one is of a peer that is gone or trickles
	sweeping = 100 * time.Millisecond // between looks at connections, while there are any
	mostSent = 2 * mostView           // bytes that wait for one asker
)

// connKey finds a connection in its context.
type connKey struct{}

// Server answers other servers from the view that was last put into it. It has a goroutine of its own, which
// owns its connections: an ask never comes to the owner of decisions.
type Server struct {
	counts   *invariant.Counters
	now      func() time.Duration
	listener netpoll.Listener
	loop     netpoll.EventLoop
	keys     atomic.Pointer[Keys]
	shelf    atomic.Pointer[seen]
	voter    atomic.Pointer[VoteHandler]

	mu     sync.Mutex
	posted []func()
	woken  chan struct{}
	quit   chan struct{}
	over   sync.WaitGroup

	// What follows is the goroutine's own.
	giving *estimate.ServeLimiter
	conns  []*conn
	from   *seen // what packed was made of
	packed *packed
}

type seen struct {
	view estimate.Snapshot
	at   time.Duration
}

// Listen takes the address for a giver. now is the clock by which views are put.
func Listen(address string, keys Keys, now func() time.Duration, counts *invariant.Counters) (*Server, error) {
	listener, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	g := &Server{
		counts: counts, now: now, listener: &patient{listener, counts},
		woken: make(chan struct{}, 1), quit: make(chan struct{}), giving: estimate.NewServeLimiter(now()),
	}
	g.keys.Store(&keys)
	g.loop, err = netpoll.NewEventLoop(read, netpoll.WithOnPrepare(g.prepare), poller.OnRegistered(closingOf))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return g, nil
}

// patient is a listener that outlasts a lack of descriptors: those who ask wait in it.
type patient struct {
	netpoll.Listener
	counts *invariant.Counters
}

func (p *patient) Accept() (net.Conn, error) {
	return poller.Accept(p.Listener, func() { p.counts.Count("peer waits, descriptors ran out") })
}

// VoteHandler takes a proven ballot and hands it over; answer may be called once, from any goroutine, with what goes
// back. The giver decides nothing of it.
type VoteHandler func(ballot []byte, answer func([]byte))

// SetVoteHandler has ballots handed to vote; without one they are refused.
func (g *Server) SetVoteHandler(vote VoteHandler) { g.voter.Store(&vote) }

// Address is where the giver listens.
func (g *Server) Address() string { return g.listener.Addr().String() }

// Publish leaves a view to be given from now on, in the place of the last. It never waits.
func (g *Server) Publish(snapshot estimate.Snapshot, at time.Duration) {
	g.shelf.Store(&seen{snapshot, at})
}

// SetKeys changes the keys for talks that begin from now on.
func (g *Server) SetKeys(keys Keys) { g.keys.Store(&keys) }

// Submit has the giver's goroutine call f in its turn.
func (g *Server) Submit(f func()) {
	g.mu.Lock()
	g.posted = append(g.posted, f)
	g.mu.Unlock()
	select {
	case g.woken <- struct{}{}:
	default:
	}
}

// Serve answers until Close.
func (g *Server) Serve() {
	g.over.Add(2)
	go func() {
		defer g.over.Done()
		if err := g.loop.Serve(g.listener); err != nil {
			select {
			case <-g.quit:
			default:
				g.counts.Count("listener for peers failed")
			}
		}
	}()
	go func() {
		defer g.over.Done()
		g.run()
	}()
}

// Close ends the listener, all talks and the goroutines.
func (g *Server) Close() {
	close(g.quit)
	_ = unix.Shutdown(g.listener.Fd(), unix.SHUT_RD) // as package front does, and why is said there
	g.over.Wait()
}

func (g *Server) run() {
	ticker := time.NewTicker(sweeping)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		batch := g.posted
		g.posted = nil
		g.mu.Unlock()
		for _, f := range batch {
			f()
		}
		for i := len(g.conns) - 1; i >= 0; i-- {
			g.conns[i].sweep(g.now())
		}
		var tick <-chan time.Time
		if len(g.conns) > 0 {
			tick = ticker.C
		}
		select {
		case <-g.quit:
			for _, c := range g.conns {
				c.close()
			}
			return
		case <-g.woken:
		case <-tick:
		}
	}
}

// view is what is given now, packed once for all that ask until the next is put.
func (g *Server) view() *packed {
	latest := g.shelf.Load()
	if latest != g.from {
		g.from, g.packed = latest, nil
		made, err := packView(latest.view, latest.at)
		if err != nil {
			g.counts.Count("view too large to be given")
			return nil
		}
		g.packed = made
	}
	return g.packed
}

// conn is one asker's connection.
type conn struct {
	server  *Server
	link    netpoll.Connection
	host    string
	born    time.Duration
	keys    Keys
	session gives
	part    []byte
	out     *writequeue.Queue
	let     bool // counted by Giving
	dead    bool

	closing poller.DeferredClose

	mu   sync.Mutex
	gone bool // the descriptor may already stand for another file
	fd   int
}

func (g *Server) prepare(link netpoll.Connection) context.Context {
	host, _, err := net.SplitHostPort(link.RemoteAddr().String())
	if err != nil {
		host = link.RemoteAddr().String()
	}
	c := &conn{
		server: g, link: link, host: host, born: g.now(), keys: *g.keys.Load(), fd: link.(netpoll.Conn).Fd(),
		out: writequeue.New(mostSent), session: gives{nonce: make([]byte, nonceSize)},
	}
	_, _ = rand.Read(c.session.nonce) // never fails
	total.answered.Add(1)
	_ = link.AddCloseCallback(c.ended)
	g.Submit(c.join)
	return context.WithValue(poller.Context(g), connKey{}, c)
}

func (c *conn) join() {
	c.server.conns = append(c.server.conns, c)
	if c.let = c.server.giving.Joined(c.host, c.server.now()); !c.let {
		c.fail("peer closed: too many open talks")
	}
}

// ended comes before the descriptor is closed and used again for another file.
func (c *conn) ended(netpoll.Connection) error {
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	c.server.Submit(c.leave)
	return nil
}

func (c *conn) leave() {
	c.dead = true
	for i, other := range c.server.conns {
		if other == c {
			c.server.conns = append(c.server.conns[:i], c.server.conns[i+1:]...)
			break
		}
	}
	if c.let {
		c.let = false
		c.server.giving.Left(c.host)
	}
}

func (c *conn) close() {
	c.dead = true
	c.closing.Close(c.link)
}

// closingOf finds what closes a connection in its context.
func closingOf(ctx context.Context) *poller.DeferredClose {
	return &ctx.Value(connKey{}).(*conn).closing
}

func (c *conn) fail(why string) {
	if !c.dead {
		c.server.counts.Count(why)
		c.close()
	}
}

// sweep writes what waits, and ends a talk that has taken its time: one that is whole and written is closed by
// its asker, so whoever is left then does not read, or asks a byte at a time.
func (c *conn) sweep(now time.Duration) {
	if c.dead {
		return
	}
	c.flush()
	if now >= c.born+talkWait {
		c.fail("peer closed: talk took too long")
	}
}

func (c *conn) flush() {
	c.mu.Lock()
	var err error
	if !c.gone {
		err = c.out.Flush(c.fd)
	}
	c.mu.Unlock()
	if err != nil {
		c.close()
	}
}

// read is netpoll's callback for bytes that came; the poller brings it to the giver's goroutine.
func read(ctx context.Context, link netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	in := link.Reader()
	raw, err := in.Next(in.Len())
	if err != nil {
		return err
	}
	if !c.dead {
		c.take(raw)
	}
	return in.Release()
}

func (c *conn) take(raw []byte) {
	if len(c.part)+len(raw) > 2*mostFrame { // two steps that an asker has are far shorter
		c.fail("peer closed: sends more than a talk has")
		return
	}
	total.received.Add(int64(len(raw)))
	c.part = append(c.part, raw...)
	for !c.dead {
		m, rest, ok, err := cut(c.part)
		if err != nil {
			c.fail("peer closed: sends what can't be read")
			return
		}
		if !ok {
			return
		}
		c.part = c.part[:copy(c.part, rest)]
		now := c.server.now()
		out, err := c.session.step(m, c.keys, c.server.view(), now, func(bytes int) (bool, time.Duration) {
			return c.server.giving.Allow(c.host, bytes, now)
		})
		if err != nil {
			c.fail("peer closed: not proven, or out of its place")
			return
		}
		if ballot := c.session.ballot; ballot != nil {
			c.session.ballot = nil
			out = c.vote(ballot)
		}
		if !c.send(out...) {
			return
		}
	}
}

// send queues frames and writes what the connection takes; false where the peer does not read.
func (c *conn) send(frames ...[]byte) bool {
	for _, frame := range frames {
		total.sent.Add(int64(len(frame)))
	}
	if err := c.out.Add(frames...); err != nil {
		c.fail("peer closed: does not read")
		return false
	}
	c.flush()
	return true
}

// vote hands a ballot to the voter; its answer is written in the giver's turn, if the talk is still there.
func (c *conn) vote(ballot []byte) [][]byte {
	vote := c.server.voter.Load()
	if vote == nil {
		return [][]byte{pack(message{Kind: refusal, Why: "no lease here", ComeBack: time.Second})}
	}
	(*vote)(ballot, func(answer []byte) {
		c.server.Submit(func() {
			if c.dead || len(answer) == 0 || len(answer) > mostBallot {
				return
			}
			c.send(c.session.voted(answer))
		})
	})
	return nil
}
