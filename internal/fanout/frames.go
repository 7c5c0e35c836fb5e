package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/frame"
	"quartzpoint/internal/writequeue"
)

const (
	maxInFlight     = 32 // calls on a connection, as the protocol says
	maxResult       = 4 << 10
	maxInbox        = 1024 // answers read ahead of the owner of decisions; then the dependency waits
	writeQueueLimit = 256 << 10
	dialTimeout     = time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	readSize        = 16 << 10
)

// Attempt is one attempt of a call, from its sending to its end.
type Attempt struct {
	Op             string
	IdempotencyKey string // the same for all attempts of a numbered call
	Body           []byte
	Timeout        time.Duration

	execution    *budget.Execution
	call, number int
	dependency   int
	cancelled    bool
	sentAt       time.Time
}

// Response is how an attempt ended.
type Response struct {
	Attempt *Attempt
	Outcome budget.Outcome
	Body    []byte
}

// Transport carries calls to one dependency. All but its own goroutines' work is called by the owner of
// decisions, and nothing of it waits. Each Sent that was taken is given back at most once.
type Transport interface {
	// Send takes a call, or tells that there is no way to the dependency now: then nothing was sent.
	Send(s *Attempt) bool
	// Cancel tells the dependency that nobody waits any more. The end, if it comes, is given back all the same.
	Cancel(s *Attempt)
	Receive(into []Response) []Response
	// Turn lets go of connections that owe answers and say nothing.
	CheckConnections(now time.Time)
	Flush()
	// Up is the number of connections that take calls.
	Available() int
}

// frameTransport carries calls in the routers' frames over a few connections, each with many calls open. They are plain
// sockets with one goroutine that reads: netpoll gives connections that it dials no context, so their callbacks
// could not be brought to their owner.
type frameTransport struct {
	name             string
	address          string
	silenceTimeout   time.Duration
	cancelledTimeout time.Duration
	log              *slog.Logger
	count            func(string)
	wake             func()

	mu           sync.Mutex
	rng          *rand.Rand
	inboxEmptied sync.Cond
	closed       bool
	connections  []*connection
	inbox        []Response
}

// connection is one connection, dialled anew whenever it is lost.
type connection struct {
	transport  *frameTransport
	socket     net.Conn
	raw        syscall.RawConn
	writes     *writequeue.Box
	inFlight   map[uint32]*Attempt
	streams    map[*Attempt]uint32
	lastStream uint32
	draining   bool // the dependency asked for no more calls here
	readAt     time.Time
}

// Dial keeps connections to a dependency up until the context ends; over is done once all of them have.
func Dial(
	ctx context.Context, d Dependency, seed int64, log *slog.Logger, saw func(string), wake func(), over *sync.WaitGroup,
) Transport {
	f := &frameTransport{
		name: d.Name, address: d.Address, silenceTimeout: d.SilenceTimeout, cancelledTimeout: d.CancelledTimeout, log: log, count: saw, wake: wake,
		rng: rand.New(rand.NewSource(seed)),
	}
	f.inboxEmptied.L = &f.mu
	for range d.Connections {
		l := &connection{transport: f}
		f.connections = append(f.connections, l)
		over.Add(1)
		go func() {
			defer over.Done()
			l.run(ctx)
		}()
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, l := range f.connections {
			if l.socket != nil {
				l.socket.Close()
			}
		}
		f.inboxEmptied.Broadcast()
	})
	return f
}

// run dials, reads to the end, and dials again after a pause that grows, with jitter: all servers lose a
// dependency that restarts at the same moment.
func (c *connection) run(ctx context.Context) {
	pause, down := minBackoff, false
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		socket, err := dialer.DialContext(ctx, "tcp", c.transport.address)
		if err == nil {
			begin := time.Now()
			err = c.serve(socket)
			down = false
			if time.Since(begin) > maxBackoff {
				pause = minBackoff
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			down = true
			c.transport.count("connection to a dependency lost or refused")
			c.transport.log.Warn("dependency connection down", "dependency", c.transport.name, "error", err)
		}
		c.transport.mu.Lock()
		jitter := time.Duration(c.transport.rng.Int63n(int64(pause)))
		c.transport.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + jitter):
			pause = min(2*pause, maxBackoff)
		}
	}
}

// serve serves a connection to its end.
func (c *connection) serve(socket net.Conn) error {
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		socket.Close()
		return fmt.Errorf("descriptor: %w", err)
	}
	f := c.transport
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		socket.Close()
		return net.ErrClosed
	}
	c.socket, c.raw, c.writes = socket, raw, writequeue.New(writeQueueLimit)
	c.inFlight, c.streams = map[uint32]*Attempt{}, map[*Attempt]uint32{}
	c.lastStream, c.draining, c.readAt = 0, false, time.Now()
	f.mu.Unlock()
	f.log.Info("dependency connection up", "dependency", f.name)
	err = c.read(socket)
	f.mu.Lock()
	socket.Close()
	c.socket, c.raw = nil, nil
	for _, s := range c.inFlight { // each by itself; the owner sorts them by when they were sent
		f.inbox = append(f.inbox, Response{Attempt: s, Outcome: budget.Lost})
	}
	c.inFlight, c.streams, c.writes = nil, nil, nil
	f.mu.Unlock()
	f.wake()
	return err
}

func (c *connection) read(socket net.Conn) error {
	var part []byte
	chunk := make([]byte, readSize)
	for {
		n, err := socket.Read(chunk)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		part = append(part, chunk[:n]...)
		rest := part
		c.transport.mu.Lock()
		c.readAt = time.Now()
		for {
			f, after, ok, err := frame.CutAnswer(rest)
			if err == nil && ok && f.Beyond > 0 {
				err = fmt.Errorf("answer of over %d bytes", frame.MostWhole)
			}
			if err != nil {
				c.transport.mu.Unlock()
				c.transport.count("dependency answers what can't be read")
				return err
			}
			if !ok {
				break
			}
			rest = after
			c.received(f)
		}
		for len(c.transport.inbox) >= maxInbox && !c.transport.closed {
			c.transport.wake()
			c.transport.inboxEmptied.Wait()
		}
		c.transport.mu.Unlock()
		c.transport.wake()
		part = part[:copy(part, rest)]
	}
}

// received files an answer. What can't be understood, or answers no open call, is counted and changes nothing but
// that the call it answers has failed.
func (c *connection) received(f frame.Frame) {
	if f.Type == frame.Close {
		c.draining = true
		c.closeDrained()
		return
	}
	s := c.inFlight[f.Stream]
	if s == nil {
		c.transport.count("dependency answers no open call")
		return
	}
	delete(c.inFlight, f.Stream)
	delete(c.streams, s)
	c.closeDrained()
	back := Response{Attempt: s, Outcome: budget.Failed}
	var body []byte
	if len(f.Payload) > 1 {
		var err error
		if _, body, err = frame.Split(f.Payload[1:]); err != nil {
			c.transport.count("dependency answers what can't be read")
			c.transport.inbox = append(c.transport.inbox, back)
			return
		}
	}
	switch {
	case len(f.Payload) > 0 && f.Payload[0] == frame.Honoured && len(body) <= maxResult:
		back.Outcome, back.Body = budget.Succeeded, append([]byte{}, body...)
	case len(f.Payload) > 0 && f.Payload[0] == frame.Dismissed:
		back.Outcome = budget.Rejected
	}
	c.transport.inbox = append(c.transport.inbox, back)
}

// closeDrained closes a connection that takes no more calls once all on it are answered.
func (c *connection) closeDrained() {
	if c.draining && len(c.inFlight) == 0 {
		c.socket.Close()
	}
}

func (c *connection) available() bool {
	return c.socket != nil && !c.draining && len(c.inFlight) < maxInFlight
}

// Send puts a call on the connection with the fewest.
func (t *frameTransport) Send(s *Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least *connection
	for _, l := range t.connections {
		if l.available() && (least == nil || len(l.inFlight) < len(least.inFlight)) {
			least = l
		}
	}
	if least == nil {
		return false
	}
	s.sentAt = time.Now()
	ms := max(s.Timeout.Milliseconds(), 1)
	fields := []frame.Field{
		{Name: "op", Value: s.Op}, {Name: "call", Value: fmt.Sprintf("%016x", t.rng.Uint64())},
		{Name: "recv", Value: strconv.FormatInt(s.sentAt.UnixMilli(), 10)},
		{Name: "ttl", Value: strconv.FormatInt(ms, 10)}, {Name: "heap", Value: "1"},
	}
	if s.IdempotencyKey != "" {
		fields = append(fields, frame.Field{Name: "num", Value: s.IdempotencyKey})
	}
	head := frame.Begin(nil, frame.Task, least.lastStream+1, 0, fields, len(s.Body))
	if least.writes.Add(head, s.Body) != nil { // it does not read: all on it is in doubt, but not this one
		least.socket.Close()
		return false
	}
	least.lastStream++
	least.inFlight[least.lastStream], least.streams[s] = s, least.lastStream
	return true
}

// Cancel tells the dependency that a call is not waited for.
func (t *frameTransport) Cancel(s *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.connections {
		if stream, open := l.streams[s]; open {
			_ = l.writes.Add(frame.Begin(nil, frame.Cancel, stream, 0, nil, 0)) // a full box ends the link with the next call
			return
		}
	}
}

// Receive gives all answers read since the last call, behind into.
func (t *frameTransport) Receive(into []Response) []Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	into = append(into, t.inbox...)
	clear(t.inbox)
	t.inbox = t.inbox[:0]
	t.inboxEmptied.Broadcast()
	return into
}

// CheckConnections forgets calls that nobody has waited for since long, and closes connections that have owed an answer for
// longer than a live dependency is silent.
func (t *frameTransport) CheckConnections(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.connections {
		if l.socket == nil {
			continue
		}
		waited := time.Duration(0)
		for stream, s := range l.inFlight { // each by itself
			age := now.Sub(s.sentAt)
			if s.cancelled && age > t.cancelledTimeout+t.silenceTimeout {
				delete(l.inFlight, stream)
				delete(l.streams, s)
				continue
			}
			waited = max(waited, age)
		}
		if min(waited, now.Sub(l.readAt)) > t.silenceTimeout {
			t.count("dependency connection silent, dialled anew")
			l.socket.Close()
		}
	}
}

// Flush writes what waits, as far as the dependency reads.
func (t *frameTransport) Flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.connections {
		if l.socket == nil || l.writes.Empty() {
			continue
		}
		if l.writes.FlushTo(l.raw) != nil {
			l.socket.Close()
		}
	}
}

// Available is the number of connections that take calls.
func (t *frameTransport) Available() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.connections {
		if l.available() {
			n++
		}
	}
	return n
}
