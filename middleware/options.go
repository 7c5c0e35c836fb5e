package middleware

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzpoint"
)

// Headers of requests and responses.
const (
	// ShedLevelHeader carries the rank, from 0.00 to 1.00, below which callers should send no requests. Each response
	// that passes through a gate has it.
	ShedLevelHeader = "X-Quartzpoint-Level"

	timeoutHeader        = "X-Remaining-Time"
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "Idempotent-Replayed"
	retryAfterHeader     = "Retry-After"    // delay in seconds
	retryAfterMSHeader   = "X-Come-Back-Ms" // the same delay in milliseconds
)

const (
	otherMethods       = "other methods" // no method, as it has a space
	defaultBufferBytes = 64 << 10
	maxKeyBytes        = 255 // of an idempotency key; a longer one is truncated and its hash appended
)

// Options define how HTTP requests become requests of a gate. The zero value is valid; defaults are given in
// parentheses. The functions must be safe for concurrent use.
type Options struct {
	Route          func(*http.Request) string  // name of the route (the matched pattern, or the method if there is none)
	TimeoutHeader  string                      // name of the header with the remaining time, in a format of ParseTimeout (X-Remaining-Time)
	IdempotencyKey func(*http.Request) string  // the empty string means no key (the header Idempotency-Key)
	Rank           func(*http.Request) float64 // from 0 to under 1; other values are clamped (0)
	CallerID       func(*http.Request) uint32  // identifies the caller (a hash of the remote host, without its port)
	BufferBytes    int                         // maximum size of a buffered response (64 KiB); negative for no buffering
}

// withDefaults returns a copy in which zero values are replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.Route == nil {
		o.Route = patternOrMethod
	}
	if o.TimeoutHeader == "" {
		o.TimeoutHeader = timeoutHeader
	}
	if o.IdempotencyKey == nil {
		o.IdempotencyKey = func(r *http.Request) string { return r.Header.Get(idempotencyKeyHeader) }
	}
	if o.Rank == nil {
		o.Rank = func(*http.Request) float64 { return 0 }
	}
	if o.CallerID == nil {
		o.CallerID = hashOfRemoteHost
	}
	if o.BufferBytes == 0 {
		o.BufferBytes = defaultBufferBytes
	}
	return o
}

func patternOrMethod(r *http.Request) string {
	if r.Pattern != "" {
		return r.Pattern
	}
	return MethodName(r)
}

// MethodName returns the method of a request for use in the name of a route. Callers may send any text as a method, and
// the number of routes that a gate adopts is bounded, so all methods that net/http does not name share one name.
func MethodName(r *http.Request) string {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		http.MethodConnect, http.MethodOptions, http.MethodTrace:
		return r.Method
	default:
		return otherMethods
	}
}

func hashOfRemoteHost(r *http.Request) uint32 {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr // without a port, as on a Unix socket
	}
	return uint32(xxhash.Sum64String(host))
}

// Request returns the gate's request for an HTTP request.
func (o Options) Request(r *http.Request) quartzpoint.Request { return o.withDefaults().request(r) }

// request implements Request for options that have their defaults.
func (o Options) request(r *http.Request) quartzpoint.Request {
	key := o.IdempotencyKey(r)
	if len(key) > maxKeyBytes {
		key = key[:maxKeyBytes] + strconv.FormatUint(xxhash.Sum64String(key), 16)
	}
	request := quartzpoint.Request{
		Route: o.Route(r), IdempotencyKey: key, Fingerprint: fingerprint(r),
		Rank: min(max(o.Rank(r), 0), math.Nextafter(1, 0)), CallerID: o.CallerID(r),
	}
	if timeout, ok := ParseTimeout(r.Header.Get(o.TimeoutHeader), time.Now()); ok {
		request.Deadline = time.Now().Add(timeout)
	}
	return request
}

// fingerprint returns a hash of the request's method, URI, body length and content type. It is stored with idempotency
// keys and must not change between versions.
func fingerprint(r *http.Request) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %s %d %s", r.Method, r.URL.RequestURI(), r.ContentLength, r.Header.Get("Content-Type")))
}
