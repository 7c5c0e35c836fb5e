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

// A recording file is gzipped. For each stream it contains the name, the length and the bytes. A stream contains the
// inputs and outputs of the controller of one server since its start: a header in JSON, then records. A record is a
// letter and its fields: integers and durations (in nanoseconds) as zigzag varints, floats as their 64 bits, texts and
// lists with their length first, flags as a byte. The time of a round, or of a record between rounds, is the difference
// from the time of the last round; the times within a round are the differences from its own time. The number of a
// request is the difference from the number read before it.
//
//	R  a route as configured in the settings, in their order; routes are numbered from 1 in the order of their records
//	p  a route added or changed: the number of the previous one or 0, and its configuration; it gets the next number
//	x  a route removed        t  a tenant's quota set        T  a tenant's quota, as returned
//	w  how long runs of a route wait for calls               s  a setting changed at run time
//	f  the schema of snapshots, as returned     l  a snapshot, as returned     b  a peer's snapshot that the controller uses
//	o  the occupancy, as returned
//	q  a request; requests are numbered from 1 in the order of their records
//	r  a round, then the decisions in their order, then e

// exact is a float by its bits, so that values are compared and printed exactly.
type exact uint64

func (e exact) float() float64 { return math.Float64frombits(uint64(e)) }
func (e exact) String() string { return fmt.Sprintf("%v(%016x)", e.float(), uint64(e)) }
func bits(v float64) exact     { return exact(math.Float64bits(v)) }

type header struct {
	Settings string // the platform's settings, in their flat form
	Seed     int64
	Commit   string // of the recorded code
	By       string // the recorded program
}

type route struct {
	name                                 string
	value, lateValueShare                exact
	latencyTarget, deadline, dedupWindow time.Duration
	idempotency                          byte // r retryable, k keyed, o at most once
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
	outcome byte // d succeeded, b failed, n not run, u unknown, s stopped, v never started
	took    time.Duration
}

type round struct {
	now, stopAt, notifiedAt, workersStartedAt time.Duration
	callsEnded                                []completion
	awaitingCall                              []int
	runsEnded                                 []completion
	canceled, arrived                         []int
	gauges                                    []float64 // busy fraction of the cores, runs that want a core, fraction of memory in use, open connections; nil for none
}

// decision is a decision with the fields that its kind uses: S start, P pause, D reject (duration: retry after, flag:
// no retry elsewhere, reason), G abort (reason), A answer from the original, M remember an idempotency key (duration),
// F forget it, C call (duration: timeout), K skip the call, H health (flag: healthy, secondFlag: without asking the
// workers), L shed level (value), I close idle connections (duration), W wake (duration), N log (message).
type decision struct {
	kind             byte
	request          int
	duration         time.Duration
	value            exact
	flag, secondFlag bool
	reason           int // admission.RejectReason, in the order of its constants
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
	origin, settingsDigest                     uint64
	routes                                     []routeEstimates
	hintRatio, calls, rejectRatio, returnRatio estimate
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

// stream is one stream of a recording file.
type stream struct {
	name string
	raw  []byte
}

// readFile returns the streams of a recording file.
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

// reader reads the fields of a stream. After an error all fields that it returns are empty.
type reader struct {
	raw         []byte
	err         error
	now         time.Duration
	lastRequest int // number of the request that was read last
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

// optionalTime reads a time that may be missing, which is returned as 0.
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

// request reads a request. Its times are relative to the round that follows it in the stream, so the returned function
// takes the time of that round.
func (r *reader) request() func(now time.Duration) request {
	optionalOffset := func() func(now time.Duration) time.Duration {
		if !r.flag() {
			return func(time.Duration) time.Duration { return 0 }
		}
		offset := r.duration()
		return func(now time.Duration) time.Duration { return now + offset }
	}
	q := request{route: r.count(), queuedKB: r.float(), costHint: r.duration()}
	arrived, lastByteAt, deadline := optionalOffset(), optionalOffset(), optionalOffset() // the deadline is relative to the arrival
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

// decisions reads the decisions of a round.
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
				r.err = fmt.Errorf("unknown kind of decision %q", d.kind)
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
	v.hintRatio, v.calls, v.rejectRatio, v.returnRatio = r.estimate(), r.estimate(), r.estimate(), r.estimate()
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
