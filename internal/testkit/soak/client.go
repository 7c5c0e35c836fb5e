package soak

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

const (
	maxOpenRequests    = 32                    // on a connection, by the protocol
	redialDelay        = 20 * time.Millisecond // after a failed dial
	maxReusableKeys    = 16                    // latest keys of a sender that it may repeat
	repeatShare        = 0.4                   // share of keyed requests that repeat an earlier key
	slowShare          = 0.1                   // share of senders that write requests in pieces
	respectsDrainShare = 0.5                   // share of senders that send no more requests to a draining server
	resetShare         = 0.001                 // share of requests after which the sender resets its connection
	maxPieceDelay      = 15 * time.Millisecond // between two pieces of a request
)

// sender sends requests to one server, over one connection at a time.
type sender struct {
	history       *History
	plan          *Plan
	rng           *rand.Rand
	server        *server
	number        int
	respectsDrain bool
	slow          bool
	keys          []string
	keysMade      int
	readers       sync.WaitGroup
}

// connection is a connection of a sender.
type connection struct {
	net.Conn
	incarnation *Incarnation

	mu            sync.Mutex
	open          map[uint32]*Request
	stream        uint32
	draining      bool // the server asked for no more requests
	ended         bool
	resetByClient bool // the sender ended the connection with a reset
}

func newSender(h *History, s *server, number int, seed int64) *sender {
	rng := rand.New(rand.NewSource(seed))
	return &sender{
		history: h, plan: &h.Plan, rng: rng, server: s, number: number, respectsDrain: rng.Float64() < respectsDrainShare, slow: rng.Float64() < slowShare,
	}
}

// run sends requests at random intervals until done is closed. It then waits until every open request is answered or
// past its deadline.
func (s *sender) run(done <-chan struct{}) {
	defer s.readers.Wait()
	mean := float64(s.plan.Senders) / s.plan.Rate()
	var c *connection
	defer func() {
		if c != nil {
			s.closeWhenAnswered(c)
		}
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(s.rng.ExpFloat64() * mean * float64(time.Second))):
		}
		if c != nil && !c.usable(s.respectsDrain) {
			s.closeWhenAnswered(c)
			c = nil
		}
		if c == nil {
			if c = s.dial(); c == nil {
				time.Sleep(redialDelay)
				continue
			}
		}
		s.send(c)
	}
}

// closeWhenAnswered closes a connection once every request on it is answered, or a second after the longest deadline.
// It returns at once.
func (s *sender) closeWhenAnswered(c *connection) {
	s.readers.Add(1)
	go func() {
		defer s.readers.Done()
		for end := time.Now().Add(s.plan.LongestDeadline() + time.Second); time.Now().Before(end) && c.hasOpenRequests(); {
			time.Sleep(5 * time.Millisecond)
		}
		_ = c.Close()
	}()
}

func (c *connection) hasOpenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && len(c.open) > 0
}

// usable reports whether another request may be sent on the connection.
func (c *connection) usable(respectsDrain bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && !c.resetByClient && len(c.open) < maxOpenRequests && (!respectsDrain || !c.draining)
}

func (s *sender) dial() *connection {
	address, incarnation := s.server.current()
	if incarnation == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil // no request was sent
	}
	c := &connection{Conn: conn, incarnation: incarnation, open: map[uint32]*Request{}}
	s.readers.Add(1)
	go func() {
		defer s.readers.Done()
		s.read(c)
	}()
	return c
}

// send writes one request, and records it once it is written completely.
func (s *sender) send(c *connection) {
	r := s.draw(c.incarnation)
	route := s.plan.Routes[r.Route]
	ttl := max(time.Duration((0.4+0.6*s.rng.Float64())*float64(route.Deadline)), 20*time.Millisecond).Truncate(time.Millisecond)
	work := time.Duration(s.rng.ExpFloat64() * float64(route.Work))
	sent := time.Now()
	fields := []string{
		"op", route.Name, "call", r.ID, "recv", strconv.FormatInt(sent.UnixMilli(), 10), "src", strconv.Itoa(s.number),
		"ttl", strconv.FormatInt(ttl.Milliseconds(), 10), "heap", strconv.FormatFloat(requestKB, 'f', 1, 64),
		"crit", strconv.FormatFloat(math.Min(s.rng.Float64(), 0.9999), 'f', 4, 64),
	}
	if r.Key != "" {
		fields = append(fields, "dedupe", r.Key)
	}
	stream, open := c.begin(r)
	if !open {
		return
	}
	// Repeats of a key must have the same body, so it states the mean work of the route.
	body := binary.BigEndian.AppendUint64(nil, uint64(max(work.Microseconds(), 1)))
	if r.Key != "" {
		body = binary.BigEndian.AppendUint64(nil, uint64(route.Work.Microseconds()))
	} else if route.Calls { // the deadline in the body lets the pool interrupt a blocked run
		body = binary.BigEndian.AppendUint64(append(body, 0), uint64(sent.Add(ttl).UnixMilli()))
	}
	if err := s.write(c, harness.Frame(harness.FrameRequest, stream, string(body), fields...)); err != nil {
		c.mu.Lock()
		delete(c.open, stream)
		c.ended = true
		c.mu.Unlock()
		return // the request was not written completely
	}
	s.history.update(func() {
		r.SentAt = time.Now() // a request in pieces is complete only now, and its deadline is no earlier than that
		r.Deadline = sent.Add(ttl)
		if r.Deadline.Before(r.SentAt) {
			r.Deadline = r.SentAt
		}
	})
	s.history.add(r)
	if s.rng.Float64() < resetShare {
		s.reset(c)
	}
}

// begin opens a stream for a request. open is false if the connection has ended: no reader would record the outcome of
// the request.
func (c *connection) begin(r *Request) (stream uint32, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, false
	}
	c.stream++
	c.open[c.stream] = r
	return c.stream, true
}

// reset ends a connection with a TCP reset. The server owes no answer on it from then on.
func (s *sender) reset(c *connection) {
	c.mu.Lock()
	c.resetByClient = true
	c.mu.Unlock()
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// draw returns a new request of a random route. A keyed one repeats an earlier key of the route with probability
// repeatShare.
func (s *sender) draw(incarnation *Incarnation) *Request {
	r := &Request{ID: fmt.Sprintf("%016x", s.rng.Uint64()), Route: s.rng.Intn(len(s.plan.Routes)), Incarnation: incarnation}
	if s.plan.Routes[r.Route].Idempotency != Keyed {
		return r
	}
	s.keysMade++
	r.Key = fmt.Sprintf("%d-%d-%d", s.number, r.Route, s.keysMade)
	if s.rng.Float64() < repeatShare {
		r.Key = s.reuseKey(r.Route, r.Key)
	}
	if s.keys = append(s.keys, r.Key); len(s.keys) > maxReusableKeys {
		s.keys = s.keys[1:]
	}
	return r
}

// reuseKey returns a random recent key of the route, or newKey if there is none.
func (s *sender) reuseKey(route int, newKey string) string {
	prefix := fmt.Sprintf("%d-%d-", s.number, route)
	for _, i := range s.rng.Perm(len(s.keys)) {
		if key := s.keys[i]; len(key) > len(prefix) && key[:len(prefix)] == prefix {
			return key
		}
	}
	return newKey
}

// write writes a frame, in pieces with delays if the sender is slow.
func (s *sender) write(c *connection, frame []byte) error {
	if !s.slow {
		_, err := c.Write(frame)
		return err
	}
	for len(frame) > 0 {
		n := 1 + s.rng.Intn(len(frame))
		if _, err := c.Write(frame[:n]); err != nil {
			return err
		}
		if frame = frame[n:]; len(frame) > 0 {
			time.Sleep(time.Duration(s.rng.Int63n(int64(maxPieceDelay))))
		}
	}
	return nil
}

// read records answers until the connection ends. It then records that end for every open request.
func (s *sender) read(c *connection) {
	defer func() { _ = c.Close() }()
	for {
		reply, err := harness.ReadReply(c)
		now := time.Now()
		c.mu.Lock()
		r := c.open[reply.Stream]
		switch {
		case err != nil:
			c.ended = true
			for _, r := range c.open {
				s.history.update(func() { r.ConnectionEnded, r.ResetByClient = now, c.resetByClient })
			}
			clear(c.open)
		case reply.Type == harness.FrameDrain:
			c.draining = true
		case reply.Type == harness.FrameAnswer && r != nil:
			delete(c.open, reply.Stream)
			s.history.update(func() { r.Answers = append(r.Answers, Answer{now, reply.Code}) })
		case reply.Type == harness.FrameAnswer:
			s.history.update(func() { s.history.strayAnswers++ })
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
