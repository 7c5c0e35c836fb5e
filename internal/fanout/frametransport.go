package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/frame"
)

// maxInbox is the maximum number of responses that are read before the event loop takes them. When it is reached,
// reading stops, and TCP flow control slows the dependency down.
const maxInbox = 1024

// frameTransport sends calls in the routers' frames over a few connections, each with many calls in flight. One
// goroutine per connection dials and reads; Flush writes on the event loop.
type frameTransport struct {
	name             string
	address          string
	silenceTimeout   time.Duration
	cancelledTimeout time.Duration
	log              *slog.Logger
	count            func(event string)
	wake             func()

	mu           sync.Mutex // guards the fields below and those of the connections
	rng          *rand.Rand
	inboxEmptied sync.Cond
	closed       bool
	connections  []*connection
	inbox        []Response
}

// Dial keeps d.Connections connections to a dependency open until the context ends. running counts their goroutines.
// count is called with the name of each event to be counted, and wake when responses were read; both are called from
// any goroutine.
func Dial(
	ctx context.Context, d Dependency, seed int64, log *slog.Logger, count func(string), wake func(), running *sync.WaitGroup,
) Transport {
	t := &frameTransport{
		name: d.Name, address: d.Address, silenceTimeout: d.SilenceTimeout, cancelledTimeout: d.CancelledTimeout,
		log: log, count: count, wake: wake, rng: rand.New(rand.NewSource(seed)),
	}
	t.inboxEmptied.L = &t.mu
	for range d.Connections {
		c := &connection{transport: t}
		t.connections = append(t.connections, c)
		running.Add(1)
		go func() {
			defer running.Done()
			c.run(ctx)
		}()
	}
	context.AfterFunc(ctx, t.close)
	return t
}

// close ends the connections' goroutines, whether they are reading or waiting for space in the inbox.
func (t *frameTransport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, c := range t.connections {
		if c.socket != nil {
			_ = c.socket.Close()
		}
	}
	t.inboxEmptied.Broadcast()
}

// Send queues an attempt on the connection with the fewest calls in flight.
func (t *frameTransport) Send(attempt *Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leastLoaded *connection
	for _, c := range t.connections {
		if c.available() && (leastLoaded == nil || len(c.inFlight) < len(leastLoaded.inFlight)) {
			leastLoaded = c
		}
	}
	if leastLoaded == nil {
		return false
	}
	attempt.sentAt = time.Now()
	ms := max(attempt.Timeout.Milliseconds(), 1)
	fields := []frame.Field{
		{Name: "op", Value: attempt.Op}, {Name: "call", Value: fmt.Sprintf("%016x", t.rng.Uint64())},
		{Name: "recv", Value: strconv.FormatInt(attempt.sentAt.UnixMilli(), 10)},
		{Name: "ttl", Value: strconv.FormatInt(ms, 10)}, {Name: "heap", Value: "1"},
	}
	if attempt.IdempotencyKey != "" {
		fields = append(fields, frame.Field{Name: "num", Value: attempt.IdempotencyKey})
	}
	head := frame.AppendHead(nil, frame.Request, leastLoaded.lastStream+1, 0, fields, len(attempt.Body))
	if leastLoaded.writes.Add(head, attempt.Body) != nil {
		// The dependency does not read, and the queue is full. Calls that were queued before are lost; this one was not
		// sent.
		_ = leastLoaded.socket.Close()
		return false
	}
	leastLoaded.lastStream++
	leastLoaded.inFlight[leastLoaded.lastStream], leastLoaded.streams[attempt] = attempt, leastLoaded.lastStream
	return true
}

// Cancel queues a cancel frame if the attempt is in flight.
func (t *frameTransport) Cancel(attempt *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.connections {
		if stream, found := c.streams[attempt]; found {
			_ = c.writes.Add(frame.AppendHead(nil, frame.Cancel, stream, 0, nil, 0)) // a full queue makes the next Send close the connection
			return
		}
	}
}

// Receive appends the responses that were read since the last call.
func (t *frameTransport) Receive(responses []Response) []Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	responses = append(responses, t.inbox...)
	clear(t.inbox)
	t.inbox = t.inbox[:0]
	t.inboxEmptied.Broadcast()
	return responses
}

// CheckConnections removes cancelled attempts that were sent longer ago than cancelledTimeout and silenceTimeout
// together, and closes connections that await a response and have read nothing for longer than silenceTimeout.
func (t *frameTransport) CheckConnections(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.connections {
		if c.socket == nil {
			continue
		}
		oldest := time.Duration(0)
		for stream, attempt := range c.inFlight { // in any order: attempts are independent of each other
			age := now.Sub(attempt.sentAt)
			if attempt.cancelled && age > t.cancelledTimeout+t.silenceTimeout {
				delete(c.inFlight, stream)
				delete(c.streams, attempt)
				continue
			}
			oldest = max(oldest, age)
		}
		if min(oldest, now.Sub(c.lastReadAt)) > t.silenceTimeout {
			t.count("dependency connection silent, dialled anew")
			_ = c.socket.Close()
		}
	}
}

// Flush writes queued bytes, as much as the connections accept without blocking.
func (t *frameTransport) Flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.connections {
		if c.socket == nil || c.writes.Empty() {
			continue
		}
		if c.writes.FlushTo(c.raw) != nil {
			_ = c.socket.Close()
		}
	}
}

// Available returns the number of connections that can accept attempts.
func (t *frameTransport) Available() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.connections {
		if c.available() {
			n++
		}
	}
	return n
}

// respond appends a response to the inbox. The caller must hold t.mu.
func (t *frameTransport) respond(attempt *Attempt, outcome budget.Outcome, body []byte) {
	t.inbox = append(t.inbox, Response{Attempt: attempt, Outcome: outcome, Body: body})
}
