// Package middleware puts a quartzpoint gate in front of net/http handlers. A request is a task: it waits for its
// turn in its own goroutine, is answered 503 with Retry-After where it is dismissed, and 504 where it is given up on
// while its handler runs on.
//
// Rules: a handler's response is held until its first Flush or until it passes Buffer bytes, and then streamed; one
// that is given up on before that is answered for it, and what it writes from there on is an error,
// http.ErrHandlerTimeout. One that is given up on while it streams is cut off. Hijacking is refused with
// http.ErrNotSupported. A numbered request (Number, by default from Idempotency-Key) runs once within its window; a
// repeat gets the recorded response, or 422 where method, path or body length differ. Trailers that are declared
// before the response is complete go out with it; a recorded response has none. The caller's end is seen from the
// request's context. A panic is a broken run and is raised again.
//
// Over HTTP/1.1 an answer for a handler that runs on is whole in time; the connection then ends with the handler. Over
// HTTP/2 its head and body come in time, and the end of its stream with the handler.
package middleware

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"quartzpoint"
)

const (
	defaultBuffer = 64 << 10
	mostRemaining = 24 * time.Hour
	mostNumber    = 255 // bytes of a number
	// ShedLevelHeader tells the rank under which callers should stay away.
	ShedLevelHeader = "X-Quartzpoint-Level"
)

// Options are how requests become tasks. The zero value works.
type Options struct {
	Route          func(*http.Request) string  // traffic type (the route's pattern, else the method)
	TimeoutHeader  string                      // header with the time that is left (X-Remaining-Time)
	IdempotencyKey func(*http.Request) string  // (the header Idempotency-Key)
	Rank           func(*http.Request) float64 // (0)
	CallerID       func(*http.Request) uint32  // (from the remote address)
	BufferBytes    int                         // bytes of a response that are held (64 KiB); below 0 all is streamed
}

// filled is the rules with their defaults.
func (r Options) filled() Options {
	if r.Route == nil {
		r.Route = func(q *http.Request) string {
			if q.Pattern != "" {
				return q.Pattern
			}
			return q.Method
		}
	}
	if r.TimeoutHeader == "" {
		r.TimeoutHeader = "X-Remaining-Time"
	}
	if r.IdempotencyKey == nil {
		r.IdempotencyKey = func(q *http.Request) string { return q.Header.Get("Idempotency-Key") }
	}
	if r.Rank == nil {
		r.Rank = func(*http.Request) float64 { return 0 }
	}
	if r.CallerID == nil {
		r.CallerID = func(q *http.Request) uint32 {
			host, _, _ := strings.Cut(q.RemoteAddr, ":")
			return uint32(xxhash.Sum64String(host))
		}
	}
	if r.BufferBytes == 0 {
		r.BufferBytes = defaultBuffer
	}
	return r
}

// Request makes a task of a request.
func (r Options) Request(q *http.Request) quartzpoint.Request { return r.filled().task(q) }

// task does the same for rules that are filled.
func (r Options) task(q *http.Request) quartzpoint.Request {
	number := r.IdempotencyKey(q)
	if len(number) > mostNumber {
		number = number[:mostNumber] + strconv.FormatUint(xxhash.Sum64String(number), 16)
	}
	t := quartzpoint.Request{
		Route: r.Route(q), IdempotencyKey: number, Rank: min(max(r.Rank(q), 0), math.Nextafter(1, 0)), CallerID: r.CallerID(q),
		Fingerprint: xxhash.Sum64String(fmt.Sprintf("%s %s %d %s", q.Method, q.URL.RequestURI(), q.ContentLength, q.Header.Get("Content-Type"))),
	}
	if left, stated := ParseTimeout(q.Header.Get(r.TimeoutHeader), time.Now()); stated {
		t.Deadline = time.Now().Add(left)
	}
	return t
}

// ParseTimeout reads the time that is left: "250m" or "2S" as grpc-timeout has it (n, u, m, S, M, H), a Go duration
// ("250ms"), or a moment (RFC 3339, or Unix milliseconds behind an @). What can't be read, and what is over a day, is
// as if it were not stated: a caller's word must not make a task wait longer than its type does.
func ParseTimeout(text string, now time.Time) (left time.Duration, stated bool) {
	switch {
	case text == "":
		return 0, false
	case text[0] == '@':
		ms, err := strconv.ParseInt(text[1:], 10, 64)
		if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
			return 0, false
		}
		left = time.UnixMilli(ms).Sub(now)
	default:
		units := map[byte]time.Duration{
			'n': 1, 'u': time.Microsecond, 'm': time.Millisecond, 'S': time.Second, 'M': time.Minute, 'H': time.Hour,
		}
		if n, err := strconv.ParseInt(text[:len(text)-1], 10, 32); err == nil && units[text[len(text)-1]] > 0 && n >= 0 {
			left = time.Duration(n) * units[text[len(text)-1]]
		} else if d, err := time.ParseDuration(text); err == nil {
			left = d
		} else if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			left = at.Sub(now)
		} else {
			return 0, false
		}
	}
	if left > mostRemaining {
		return 0, false
	}
	return max(left, time.Nanosecond), true // one whose time is over is dismissed, not run without an end
}

// New puts a gate in front of handlers.
func New(gate *quartzpoint.Gate, rules Options) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			Serve(gate, rules, w, q, next.ServeHTTP)
		})
	}
}

// recorded is a response as a repeat gets it.
type recorded struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Serve runs one request through a gate; it is what New is made of, and middleware for other frameworks.
func Serve(gate *quartzpoint.Gate, rules Options, w http.ResponseWriter, q *http.Request, next func(http.ResponseWriter, *http.Request)) {
	rules = rules.filled()
	task := rules.task(q)
	h := &held{to: w, gate: gate, most: rules.BufferBytes, header: http.Header{}}
	ticket, err := gate.Admit(q.Context(), task, h.giveUp)
	if err != nil {
		refuse(w, gate, err)
		return
	}
	if result, repeat := ticket.Duplicate(); repeat {
		replay(w, gate, result)
		return
	}
	settled := false
	stop := context.AfterFunc(q.Context(), ticket.Cancel)
	defer func() {
		stop()
		if settled {
			return
		}
		p := recover()
		ticket.Finish(nil, errBroken)
		h.seal() // nothing is written any more once this returns
		if p != nil {
			panic(p)
		}
		panic(http.ErrAbortHandler) // the handler ended its goroutine
	}()
	next(h, q.WithContext(ticket.Context()))
	settled = true
	var result []byte
	if task.IdempotencyKey != "" {
		result = h.record()
	}
	if ticket.Finish(result, nil) {
		h.finish()
	} else {
		h.giveUp() // where the gate left without a word to this one; else it was said already
	}
}

var errBroken = errors.New("middleware: the handler did not return")

// refuse answers a request that does not run.
func refuse(w http.ResponseWriter, gate *quartzpoint.Gate, err error) {
	var dismissed *quartzpoint.RejectedError
	status := http.StatusGatewayTimeout
	switch {
	case errors.As(err, &dismissed):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(dismissed.RetryAfter.Seconds())))))
		w.Header().Set("X-Come-Back-Ms", strconv.FormatInt(dismissed.RetryAfter.Milliseconds(), 10))
	case errors.Is(err, quartzpoint.ErrShutDown):
		status = http.StatusServiceUnavailable
		w.Header().Set("Connection", "close")
	case errors.Is(err, quartzpoint.ErrKeyConflict):
		status = http.StatusUnprocessableEntity
	}
	w.Header().Set(ShedLevelHeader, level(gate))
	http.Error(w, err.Error(), status)
}

func level(gate *quartzpoint.Gate) string { return strconv.FormatFloat(gate.ShedLevel(), 'f', 2, 64) }

// replay answers a repeat from the first.
func replay(w http.ResponseWriter, gate *quartzpoint.Gate, result []byte) {
	var r recorded
	if err := cbor.Unmarshal(result, &r); err != nil || r.Status == 0 {
		refuse(w, gate, quartzpoint.ErrAborted) // too long to be recorded: it ran, and is not run again
		return
	}
	maps.Copy(w.Header(), r.Header)
	w.Header().Set(ShedLevelHeader, level(gate))
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // the caller may be gone
}

// held is a handler's response: held until it is complete, or streamed from a point on. mu parts the handler from
// the gate, which may answer in its place.
type held struct {
	to   http.ResponseWriter
	gate *quartzpoint.Gate
	most int

	mu       sync.Mutex
	header   http.Header // the handler's own; the map of to must not be touched while it may be answered from elsewhere
	status   int
	body     bytes.Buffer
	streamed bool
	long     bool // too long to be recorded
	over     bool // answered in its place
}

// Header implements http.ResponseWriter, as do the methods below it.
func (h *held) Header() http.Header { return h.header }

func (h *held) WriteHeader(status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		return // what comes before the answer is not held, and is left out
	}
	if h.status == 0 {
		h.status = status
	}
}

func (h *held) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return 0, http.ErrHandlerTimeout
	}
	if h.status == 0 {
		h.status = http.StatusOK
	}
	if !h.streamed && h.body.Len()+len(p) > h.most {
		h.stream()
	}
	if h.streamed {
		return h.to.Write(p)
	}
	return h.body.Write(p)
}

// stream sends what is held and all that follows as it comes.
func (h *held) stream() {
	h.streamed, h.long = true, true
	h.head()
	_, _ = h.to.Write(h.body.Bytes()) // the next write tells
	h.body.Reset()
}

func (h *held) head() {
	maps.Copy(h.to.Header(), h.header)
	h.to.Header().Set(ShedLevelHeader, level(h.gate))
	if h.status == 0 {
		h.status = http.StatusOK
	}
	h.to.WriteHeader(h.status)
}

// Flush streams from here on.
func (h *held) Flush() { _ = h.FlushError() }

// FlushError does the same and tells what went wrong.
func (h *held) FlushError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return http.ErrHandlerTimeout
	}
	if !h.streamed {
		h.stream()
	}
	return http.NewResponseController(h.to).Flush()
}

// ReadFrom keeps io.Copy to the same rules.
func (h *held) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{h}, from)
}

// record is the response for repeats, empty where it was streamed.
func (h *held) record() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.long {
		return nil
	}
	status := h.status
	if status == 0 {
		status = http.StatusOK
	}
	raw, err := cbor.Marshal(recorded{status, h.header, h.body.Bytes()})
	if err != nil {
		return nil
	}
	return raw
}

// finish sends what is held.
func (h *held) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streamed {
		for name, values := range h.header { // trailers that were set since
			if strings.HasPrefix(name, http.TrailerPrefix) || h.to.Header().Get("Trailer") != "" {
				h.to.Header()[name] = values
			}
		}
		return
	}
	if h.over {
		return
	}
	h.over = true
	h.head()
	_, _ = h.to.Write(h.body.Bytes()) // the caller may be gone
}

// seal ends the response as it is.
func (h *held) seal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
}

// giveUp answers in the handler's place. What it had begun to send can only be cut off.
func (h *held) giveUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return
	}
	h.over = true
	if h.streamed {
		return
	}
	const words = "given up: the time for this request is over\n"
	head := h.to.Header()
	head.Set("Content-Type", "text/plain; charset=utf-8")
	head.Set("Content-Length", strconv.Itoa(len(words)))
	head.Set("Connection", "close")
	head.Set(ShedLevelHeader, level(h.gate))
	h.to.WriteHeader(http.StatusGatewayTimeout)
	_, _ = io.WriteString(h.to, words)
	_ = http.NewResponseController(h.to).Flush() // whole with its length, though the handler runs on
}
