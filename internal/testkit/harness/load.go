package harness

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"quartzpoint/emulator"
	"quartzpoint/rulecheck"
)

// What is played in real time is what the emulator plays in simulated time.
type (
	// Route is a traffic type with the work of its tasks.
	Route = emulator.Route
	// Arrival is one task of a load.
	Arrival = emulator.Arrival
	// Machine is what a worker pool runs on.
	Machine = emulator.Machine
)

// BookingRoutes are the emulator's, as are those below.
func BookingRoutes() []Route { return emulator.BookingRoutes() }

// Arrivals draws a load.
func Arrivals(types []Route, rate float64, span time.Duration, seed int64) []Arrival {
	return emulator.Arrivals(types, rate, span, seed)
}

// Rate is that of a load which asks for a share of what a machine can do.
func Rate(types []Route, m Machine, share float64) float64 { return emulator.Rate(types, m, share) }

// Result is what became of a load.
type Result struct {
	Goodput          float64 // importance of what was honoured within its contract time; of a partial one, its worth
	Partial          int
	GoodputByRoute   []float64 // the same by type
	OfferedValue     float64   // importance of all
	Requests         int
	Codes            map[byte]int
	LateAnswers      int // answered past their due time
	Unanswered       int
	DuplicateAnswers int
	Latencies        []time.Duration // of answers that honoured

	attempts []attempt // tasks at servers, with what became of each
}

// attempt is one task at one server.
type attempt struct {
	id             string
	effect         uint64 // of a task that must not run twice, the same at all servers; 0 for others
	at, due        time.Time
	answered       []time.Time
	code           byte
	connectionLost bool // its connection ended before it was answered
}

// Check holds what happened, as it was sent, begun and answered, against the four rules. The pools are all that ran
// anything of it.
func (r *Result) Check(pools ...*Workers) rulecheck.Report {
	var first time.Time
	starts := map[string][]time.Time{}
	for _, w := range pools {
		w.mu.Lock()
		for _, s := range w.runStarts {
			starts[s.ID] = append(starts[s.ID], s.At)
		}
		w.mu.Unlock()
	}
	var events []rulecheck.Event
	for i, s := range r.attempts {
		if first.IsZero() || s.at.Before(first) {
			first = s.at
		}
		try := uint64(i + 1)
		event := func(kind rulecheck.Kind, at time.Time) rulecheck.Event {
			return rulecheck.Event{Kind: kind, At: at.Sub(first), Try: try, Effect: s.effect, Due: s.due.Sub(first), Dismissed: s.code == 50}
		}
		events = append(events, event(rulecheck.Read, s.at))
		for _, at := range starts[s.id] {
			events = append(events, event(rulecheck.Started, at))
		}
		for _, at := range s.answered {
			events = append(events, event(rulecheck.Answered, at))
		}
		if s.connectionLost {
			events = append(events, event(rulecheck.Gone, s.due))
		}
	}
	slices.SortStableFunc(events, func(a, b rulecheck.Event) int { return cmp.Compare(a.At, b.At) })
	checker := rulecheck.New(answerSlack)
	last := time.Duration(0)
	for _, e := range events {
		checker.Take(e)
		last = max(last, e.At, e.Due)
	}
	return checker.End(last + 2*answerSlack)
}

const (
	maxConnections       = 32 // connections of a load
	openBeforeDial       = 4  // tasks on each before another connection is opened
	maxOpenPerConnection = 32 // tasks on a connection
	answerSlack          = 50 * time.Millisecond
)

type pendingRequest struct {
	arrival     *Arrival
	sentAt      time.Time // by the router, or when it was meant to be where that was later
	effect      uint64
	attempts    int
	lastAttempt int // of its latest sending, in the router's result
	server      int // of a fleet, that it was sent to last
}

// connection is one connection of the router. It takes nothing new once the server has asked for that, or is gone.
type connection struct {
	net.Conn
	open     map[uint32]*pendingRequest
	stream   uint32
	draining bool
}

// router sends a load and keeps what comes back.
type router struct {
	address  string
	routes   []Route
	sourceID int
	readers  sync.WaitGroup

	mu          sync.Mutex
	result      Result
	connections []*connection
	answered    chan struct{}
	// again takes a task that was dismissed, or whose connection was lost, and tells whether it goes elsewhere; nil for
	// never. It must not wait, and is called under the router's lock.
	retry func(p *pendingRequest, lost bool) (goes bool)
}

// Run sends a load to a server and waits for what it owes: everything by its outer limit. Tasks that found all
// connections full are counted as unanswered; none should be.
func Run(address string, types []Route, load []Arrival, number int) (Result, error) {
	r := &router{
		address: address, routes: types, sourceID: number, result: Result{Codes: map[byte]int{}, GoodputByRoute: make([]float64, len(types))},
		answered: make(chan struct{}, 1),
	}
	defer r.close()
	begin := time.Now()
	ids := rand.New(rand.NewSource(int64(number)<<32 + begin.UnixNano()))
	last := begin
	for n := range load {
		time.Sleep(time.Until(begin.Add(load[n].At)))
		p := &pendingRequest{arrival: &load[n], sentAt: time.Now()}
		if types[load[n].Type].Once {
			p.effect = uint64(n) + 1
		}
		last = p.sentAt.Add(types[load[n].Type].Deadline)
		r.result.Requests++
		r.result.OfferedValue += types[load[n].Type].Value
		id := fmt.Sprintf("%016x", ids.Uint64())
		if err := r.send(p, id); err != nil { // a connection that closed as the task crossed it: once more
			if err := r.send(p, id); err != nil {
				return r.result, fmt.Errorf("router: %w", err)
			}
		}
	}
	for end := time.After(time.Until(last.Add(time.Second))); r.openRequests() > 0; {
		select {
		case <-r.answered:
			continue
		case <-end:
		}
		break
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unanswered = r.result.Requests
	for _, n := range r.result.Codes {
		r.result.Unanswered -= n
	}
	slices.Sort(r.result.Latencies)
	done := r.result
	done.Codes = maps.Clone(done.Codes) // readers may still see a stray answer
	done.attempts = slices.Clone(done.attempts)
	return done, nil
}

func (r *router) openRequests() (open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.connections {
		open += len(l.open)
	}
	return open
}

// connection is the one with the fewest open tasks, or a new one.
func (r *router) connection() (*connection, error) {
	r.mu.Lock()
	var least *connection
	alive := 0
	for _, l := range r.connections {
		if l.draining {
			continue
		}
		alive++
		if least == nil || len(l.open) < len(least.open) {
			least = l
		}
	}
	use := least != nil && (len(least.open) < openBeforeDial || alive >= maxConnections)
	r.mu.Unlock()
	if use {
		return least, nil
	}
	made, err := net.Dial("tcp", r.address)
	if err != nil {
		return nil, err
	}
	l := &connection{Conn: made, open: map[uint32]*pendingRequest{}}
	r.mu.Lock()
	r.connections = append(r.connections, l)
	r.mu.Unlock()
	r.readers.Add(1)
	go func() {
		defer r.readers.Done()
		r.read(l)
	}()
	return l, nil
}

func (r *router) send(p *pendingRequest, id string) error {
	l, err := r.connection()
	if err != nil {
		return err
	}
	t := r.routes[p.arrival.Type]
	r.mu.Lock()
	if len(l.open) >= maxOpenPerConnection {
		r.mu.Unlock()
		return nil // stays without an answer, which the result tells
	}
	l.stream++
	stream := l.stream
	l.open[stream] = p
	p.lastAttempt = len(r.result.attempts)
	r.result.attempts = append(r.result.attempts, attempt{id: id, effect: p.effect, at: time.Now(), due: p.sentAt.Add(t.Deadline)})
	r.mu.Unlock()
	body := binary.BigEndian.AppendUint64(nil, uint64(max(p.arrival.Work.Microseconds(), 1)))
	_, err = l.Write(Frame(10, stream, string(body),
		"op", t.Name, "call", id, "recv", strconv.FormatInt(p.sentAt.UnixMilli(), 10),
		"src", strconv.Itoa(r.sourceID), "ttl", strconv.FormatInt(t.Deadline.Milliseconds(), 10), "heap", "20.0",
		"crit", strconv.FormatFloat(min(p.arrival.Rank, 0.9999), 'f', 4, 64)))
	if err != nil {
		r.mu.Lock()
		if l.open[stream] == p {
			r.result.attempts[p.lastAttempt].connectionLost = true // part of it may have been read
			delete(l.open, stream)
		}
		l.draining = true
		r.mu.Unlock()
	}
	return err
}

// read takes answers until the connection ends. One that the server asked to let go is closed once all on it
// is answered.
func (r *router) read(l *connection) {
	defer l.Close()
	for {
		reply, err := ReadReply(l)
		now := time.Now()
		r.mu.Lock()
		switch {
		case err != nil || reply.Type == 30:
			l.draining = true
		case reply.Type == 11 && l.open[reply.Stream] == nil:
			r.result.DuplicateAnswers++
		case reply.Type == 11:
			p := l.open[reply.Stream]
			delete(l.open, reply.Stream)
			one := &r.result.attempts[p.lastAttempt]
			one.answered, one.code = append(one.answered, now), reply.Code
			if reply.Code == 50 && r.retry != nil && r.retry(p, false) {
				break
			}
			r.result.record(p, r.routes[p.arrival.Type], reply, now)
		}
		if err != nil {
			for _, stream := range slices.Sorted(maps.Keys(l.open)) {
				p := l.open[stream]
				r.result.attempts[p.lastAttempt].connectionLost = true
				if r.retry != nil && r.retry(p, true) {
					delete(l.open, stream)
				}
			}
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

func (r *router) close() {
	r.mu.Lock()
	for _, l := range r.connections {
		l.Close()
	}
	r.mu.Unlock()
	r.readers.Wait()
}

func (r *Result) record(p *pendingRequest, t Route, reply Reply, now time.Time) {
	r.Codes[reply.Code]++
	took := now.Sub(p.sentAt)
	if took > t.Deadline+answerSlack {
		r.LateAnswers++
	}
	if reply.Code != 20 {
		return
	}
	r.Latencies = append(r.Latencies, took)
	worth := 1.0
	if t.Composed {
		var told struct {
			Whole bool    `json:"whole"`
			Worth float64 `json:"worth"`
		}
		if json.Unmarshal([]byte(reply.Body), &told) != nil {
			return // no answer in the stated form is worth nothing
		}
		if worth = told.Worth; !told.Whole {
			r.Partial++
		}
	}
	if took <= t.LatencyTarget {
		r.Goodput += worth * t.Value
		r.GoodputByRoute[p.arrival.Type] += worth * t.Value
	}
}
