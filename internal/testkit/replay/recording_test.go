package replay_test

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"
)

// A file of recordings is gzipped: for each stream its name, its length and its bytes. A stream is what one server's
// decisions were told and answered, from their start on: a header in JSON, then records. A record is a letter and its
// fields: integers and spans (nanoseconds) as zigzag varints, floats by their 64 bits, texts and lists behind their
// length, flags as a byte. Moments are told as the difference from the last round's.
//
//	R  a route as the settings state it, in their order; routes are numbered from 1 as they come
//	p  a route put in service: the one before it or 0, what is stated; the new one gets the next number
//	x  a route removed        t  a tenant's rate stated       T  a tenant's rate, as answered
//	w  how long runs of a route wait for calls               s  a setting that moved in service
//	f  the frame of views, as answered     l  a view, as answered     b  a view that was borrowed
//	o  what is on the books, as answered
//	q  a request; they are numbered from 1 as they come
//	r  a round, then the decisions in their order, then e

// exact is a float by its bits.
type exact uint64

func (e exact) float() float64 { return math.Float64frombits(uint64(e)) }
func (e exact) String() string { return fmt.Sprintf("%v(%016x)", e.float(), uint64(e)) }
func bits(v float64) exact     { return exact(math.Float64bits(v)) }

type header struct {
	Settings string // the platform's, in its flat form
	Seed     int64
	Commit   string // of the code that decided
	By       string // the program that was recorded
}

type route struct {
	name                                 string
	value, lateValueShare                exact
	latencyTarget, deadline, dedupWindow time.Duration
	idempotency                          byte // r may be repeated, k has an idempotency key, o runs at most once
	callsDependency                      bool
	skipValueShare                       exact
	callWait                             time.Duration
}

type request struct {
	route                                   int
	queuedKB                                float64
	costHint, arrived, lastByteAt, deadline time.Duration
	rank                                    float64
	tenant                                  int
	router                                  uint32
	duplicate                               bool
}

type completion struct {
	request int
	outcome byte // d done, b broken, n not run, u unclear, s stopped, v void
	took    time.Duration
}

type round struct {
	now, stopAt, notifiedAt, workersStartedAt time.Duration
	callsEnded                                []completion
	awaitingCall                              []int
	runsEnded                                 []completion
	canceled, arrived                         []int
	gauges                                    []float64 // share of the cores, what wants one, share of memory, links; nil for none
}

// decision is one, with what it needs of the fields: S start, P pause, D reject (span, yes: no other server), G abort, A
// answer from the first, M remember an idempotency key, F forget it, C call (span), K go on without the call, H health
// (yes, secondFlag: without asking the pool), L level, I close idle connections, W wake, N note.
type decision struct {
	kind             byte
	request          int
	duration         time.Duration
	value            exact
	flag, secondFlag bool
	reason           int // in the order in which the code states them
	message          string
}

func (d decision) String() string {
	return fmt.Sprintf("%c request=%d span=%v value=%v %t %t reason=%d %q",
		d.kind, d.request, d.duration, d.value, d.flag, d.secondFlag, d.reason, d.message)
}

type estimate struct {
	mean, spread, samples exact
	age                   time.Duration
}

type routeEstimates struct {
	name      string
	core, run estimate
}

type snapshot struct {
	origin, settingsDigest                uint64
	routes                                []routeEstimates
	pace, calls, rejectRatio, returnRatio estimate
}

type schema struct {
	settingsDigest, origin uint64
	dynamic                bool
	routes                 []string
	deadlines              []time.Duration
}

type occupancy struct {
	queued, onCores, inFlight, answered  int
	limit, maxConcurrency, usedKB, maxKB exact
}

// stream is one of a file.
type stream struct {
	name string
	raw  []byte
}

// readFile takes the streams off a file.
func readFile(path string) (all []stream, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	unpacked, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	if raw, err = io.ReadAll(unpacked); err != nil {
		return nil, err
	}
	for r := (reader{raw: raw}); len(r.raw) > 0; {
		name := r.text()
		body := r.take(int(r.int()))
		if r.err != nil {
			return nil, r.err
		}
		all = append(all, stream{name, body})
	}
	return all, nil
}

var errTruncated = errors.New("the recording ends in the middle of a record")

// reader takes fields off a stream. Behind an error all are empty.
type reader struct {
	raw         []byte
	err         error
	now         time.Duration
	lastRequest int // request that was told last
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.raw) {
		r.err, r.raw = errTruncated, nil
		return nil
	}
	b := r.raw[:n]
	r.raw = r.raw[n:]
	return b
}

func (r *reader) byte() byte {
	if b := r.take(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *reader) int() int64 {
	v, n := binary.Varint(r.raw)
	if n <= 0 {
		r.err, r.raw = errTruncated, nil
		return 0
	}
	r.raw = r.raw[n:]
	return v
}

func (r *reader) u64() uint64 {
	if b := r.take(8); len(b) == 8 {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) count() int              { return int(r.int()) }
func (r *reader) duration() time.Duration { return time.Duration(r.int()) }
func (r *reader) flag() bool              { return r.byte() != 0 }
func (r *reader) exact() exact            { return exact(r.u64()) }
func (r *reader) float() float64          { return r.exact().float() }
func (r *reader) text() string            { return string(r.take(r.count())) }

// optionalTime is one that may not be stated.
func (r *reader) optionalTime() time.Duration {
	if !r.flag() {
		return 0
	}
	return r.now + r.duration()
}

func (r *reader) header() (h header) {
	if text := r.text(); r.err == nil {
		r.err = json.Unmarshal([]byte(text), &h)
	}
	return h
}

func (r *reader) route() route {
	return route{
		name: r.text(), value: r.exact(), lateValueShare: r.exact(), latencyTarget: r.duration(), deadline: r.duration(), dedupWindow: r.duration(),
		idempotency: r.byte(), callsDependency: r.flag(), skipValueShare: r.exact(), callWait: r.duration(),
	}
}

// request reads one whose moments are told as the difference from those of the round behind it.
func (r *reader) request() func(now time.Duration) request {
	optionalOffset := func() func(now time.Duration) time.Duration {
		if !r.flag() {
			return func(time.Duration) time.Duration { return 0 }
		}
		offset := r.duration()
		return func(now time.Duration) time.Duration { return now + offset }
	}
	q := request{route: r.count(), queuedKB: r.float(), costHint: r.duration()}
	arrived, lastByteAt, deadline := optionalOffset(), optionalOffset(), optionalOffset() // the last from the first
	q.rank, q.tenant, q.router, q.duplicate = r.float(), r.count(), uint32(r.int()), r.flag()
	return func(now time.Duration) request {
		q.arrived, q.lastByteAt = arrived(now), lastByteAt(now)
		q.deadline = deadline(q.arrived)
		return q
	}
}

func (r *reader) requestNumber() int {
	r.lastRequest += r.count()
	return r.lastRequest
}

func (r *reader) requestNumbers() (all []int) {
	for n := r.count(); n > 0 && r.err == nil; n-- {
		all = append(all, r.requestNumber())
	}
	return all
}

func (r *reader) completions() (all []completion) {
	for n := r.count(); n > 0 && r.err == nil; n-- {
		all = append(all, completion{r.requestNumber(), r.byte(), r.duration()})
	}
	return all
}

func (r *reader) round() (parsed round) {
	r.now += r.duration()
	parsed = round{
		now: r.now, stopAt: r.optionalTime(), notifiedAt: r.optionalTime(), workersStartedAt: r.optionalTime(), callsEnded: r.completions(), awaitingCall: r.requestNumbers(),
		runsEnded: r.completions(), canceled: r.requestNumbers(), arrived: r.requestNumbers(),
	}
	if r.flag() {
		parsed.gauges = []float64{r.float(), r.float(), r.float(), r.float()}
	}
	return parsed
}

// controller are those of a round.
func (r *reader) decisions() (all []decision) {
	for r.err == nil {
		d := decision{kind: r.byte()}
		switch d.kind {
		case 'e':
			return all
		case 'S', 'P', 'A', 'F', 'K':
			d.request = r.requestNumber()
		case 'D':
			d.request, d.duration, d.flag, d.reason = r.requestNumber(), r.duration(), r.flag(), r.count()
		case 'G':
			d.request, d.reason = r.requestNumber(), r.count()
		case 'M', 'C':
			d.request, d.duration = r.requestNumber(), r.duration()
		case 'H':
			d.flag, d.secondFlag = r.flag(), r.flag()
		case 'L':
			d.value = r.exact()
		case 'I', 'W':
			d.duration = r.duration()
		case 'N':
			d.message = r.text()
		default:
			if r.err == nil {
				r.err = fmt.Errorf("a decision of the kind %q", d.kind)
			}
		}
		all = append(all, d)
	}
	return all
}

func (r *reader) estimate() (e estimate) {
	if r.flag() {
		e = estimate{r.exact(), r.exact(), r.exact(), r.duration()}
	}
	return e
}

func (r *reader) snapshot() (v snapshot) {
	v.origin, v.settingsDigest = r.u64(), r.u64()
	for n := r.count(); n > 0 && r.err == nil; n-- {
		v.routes = append(v.routes, routeEstimates{r.text(), r.estimate(), r.estimate()})
	}
	v.pace, v.calls, v.rejectRatio, v.returnRatio = r.estimate(), r.estimate(), r.estimate(), r.estimate()
	return v
}

func (r *reader) schema() (f schema) {
	f.settingsDigest, f.origin, f.dynamic = r.u64(), r.u64(), r.flag()
	for n := r.count(); n > 0 && r.err == nil; n-- {
		f.routes = append(f.routes, r.text())
		f.deadlines = append(f.deadlines, r.duration())
	}
	return f
}

func (r *reader) occupancy() occupancy {
	return occupancy{r.count(), r.count(), r.count(), r.count(), r.exact(), r.exact(), r.exact(), r.exact()}
}
