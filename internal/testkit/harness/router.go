package harness

import (
	"encoding/binary"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxConnections       = 32
	openBeforeDial       = 4                     // open requests on each connection at which another connection is opened
	maxOpenPerConnection = 32                    // requests
	answerSlack          = 50 * time.Millisecond // time after the deadline within which an answer is still in time
)

// pendingRequest is a request that waits for its final answer, across all its attempts.
type pendingRequest struct {
	arrival     *Arrival
	sentAt      time.Time // by the client: start of the first attempt
	effect      uint64
	attempts    int
	lastAttempt int // index in the router's result
	server      int // index in the fleet of the server of the last attempt
}

// connection is one connection of the router. A draining connection takes no further requests, because the server has
// asked for that or the connection has failed.
type connection struct {
	net.Conn
	open     map[uint32]*pendingRequest
	stream   uint32
	draining bool
}

// router sends requests to one server and records the answers.
type router struct {
	address  string
	routes   []Route
	sourceID int
	readers  sync.WaitGroup

	mu          sync.Mutex
	result      Result
	connections []*connection
	answered    chan struct{} // signals that a frame was received or a connection has ended
	// retry sends a request that was rejected, or whose connection was lost, to another server if that is allowed, and
	// reports whether it does; nil for never. It is called under the router's lock and must not block.
	retry func(p *pendingRequest, lost bool) bool
}

func (r *router) openRequests() (open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.connections {
		open += len(l.open)
	}
	return open
}

// connection returns the connection with the fewest open requests. It opens a new one if there is none, or if each has at
// least openBeforeDial open requests and there are fewer than maxConnections. Draining connections are left out.
func (r *router) connection() (*connection, error) {
	r.mu.Lock()
	var leastLoaded *connection
	alive := 0
	for _, l := range r.connections {
		if l.draining {
			continue
		}
		alive++
		if leastLoaded == nil || len(l.open) < len(leastLoaded.open) {
			leastLoaded = l
		}
	}
	use := leastLoaded != nil && (len(leastLoaded.open) < openBeforeDial || alive >= maxConnections)
	r.mu.Unlock()
	if use {
		return leastLoaded, nil
	}
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return nil, err
	}
	l := &connection{Conn: conn, open: map[uint32]*pendingRequest{}}
	r.mu.Lock()
	r.connections = append(r.connections, l)
	r.mu.Unlock()
	r.readers.Go(func() { r.read(l) })
	return l, nil
}

func (r *router) send(p *pendingRequest, id string) error {
	l, err := r.connection()
	if err != nil {
		return err
	}
	route := r.routes[p.arrival.Route]
	r.mu.Lock()
	if len(l.open) >= maxOpenPerConnection {
		r.mu.Unlock()
		return nil // counts as unanswered
	}
	l.stream++
	stream := l.stream
	l.open[stream] = p
	p.lastAttempt = len(r.result.attempts)
	r.result.attempts = append(r.result.attempts, attempt{id: id, effect: p.effect, sentAt: time.Now(), deadline: p.sentAt.Add(route.Deadline)})
	r.mu.Unlock()
	body := binary.BigEndian.AppendUint64(nil, uint64(max(p.arrival.Work.Microseconds(), 1)))
	_, err = l.Write(Frame(FrameRequest, stream, string(body),
		"op", route.Name, "call", id, "recv", strconv.FormatInt(p.sentAt.UnixMilli(), 10),
		"src", strconv.Itoa(r.sourceID), "ttl", strconv.FormatInt(route.Deadline.Milliseconds(), 10), "heap", "20.0",
		"crit", strconv.FormatFloat(min(p.arrival.Rank, 0.9999), 'f', 4, 64)))
	if err != nil {
		r.mu.Lock()
		if l.open[stream] == p {
			r.result.attempts[p.lastAttempt].connectionLost = true // the server may have read part of the request
			delete(l.open, stream)
		}
		l.draining = true
		r.mu.Unlock()
	}
	return err
}

// read records answers until the connection ends. A draining connection is closed once every request on it is answered.
func (r *router) read(l *connection) {
	defer func() { _ = l.Close() }()
	for {
		reply, err := ReadReply(l)
		now := time.Now()
		r.mu.Lock()
		if err == nil {
			r.handle(l, reply, now)
		} else {
			r.recordConnectionLoss(l)
		}
		done := err != nil || l.draining && len(l.open) == 0
		r.mu.Unlock()
		select {
		case r.answered <- struct{}{}:
		default:
		}
		if done {
			return
		}
	}
}

// handle records one frame from the server.
func (r *router) handle(l *connection, reply Reply, now time.Time) {
	switch p := l.open[reply.Stream]; {
	case reply.Type == FrameDrain:
		l.draining = true
	case reply.Type != FrameAnswer:
	case p == nil:
		r.result.DuplicateAnswers++
	default:
		delete(l.open, reply.Stream)
		attempt := &r.result.attempts[p.lastAttempt]
		attempt.answered, attempt.code = append(attempt.answered, now), reply.Code
		if reply.Code == StatusRejected && r.retry != nil && r.retry(p, false) {
			return
		}
		r.result.record(p, r.routes[p.arrival.Route], reply, now)
	}
}

// recordConnectionLoss records that a connection has ended. Requests that are not retried stay open and count as
// unanswered.
func (r *router) recordConnectionLoss(l *connection) {
	l.draining = true
	for _, stream := range slices.Sorted(maps.Keys(l.open)) {
		p := l.open[stream]
		r.result.attempts[p.lastAttempt].connectionLost = true
		if r.retry != nil && r.retry(p, true) {
			delete(l.open, stream)
		}
	}
}

func (r *router) close() {
	r.mu.Lock()
	for _, l := range r.connections {
		_ = l.Close()
	}
	r.mu.Unlock()
	r.readers.Wait()
}
