package middleware

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzpoint"
)

// Headers of requests and responses.
const (
	// ShedLevelHeader carries the rank under which callers should send nothing, from 0.00 to 1.00. Each response of a gate has
	// it.
	ShedLevelHeader = "X-Quartzpoint-Level"

	timeoutHeader        = "X-Remaining-Time"
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "Idempotent-Replayed"
	retryAfterHeader     = "Retry-After"    // in seconds
	retryAfterMSHeader   = "X-Come-Back-Ms" // the same in milliseconds
)

const (
	defaultBufferBytes = 64 << 10
	maxKeyBytes        = 255 // of an idempotency key; a longer one is cut, and its hash appended
)

// Options say how HTTP requests become requests of a gate. The zero value works; defaults stand in parentheses. The functions
// may be called from many goroutines at once.
type Options struct {
	Route          func(*http.Request) string  // (the pattern that matched, or else the method)
	TimeoutHeader  string                      // header with the time that is left, as ParseTimeout reads it (X-Remaining-Time)
	IdempotencyKey func(*http.Request) string  // empty for none (the header Idempotency-Key)
	Rank           func(*http.Request) float64 // from 0 to under 1; other values are cut to that (0)
	CallerID       func(*http.Request) uint32  // (a hash of the remote address)
	BufferBytes    int                         // of a response that are buffered (64 KiB); below 0 for none
}

// withDefaults returns a copy whose zero values are replaced by the defaults.
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
	return r.Method
}

func hashOfRemoteHost(r *http.Request) uint32 {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return uint32(xxhash.Sum64String(host))
}

// Request makes the gate's request of an HTTP request.
func (o Options) Request(r *http.Request) quartzpoint.Request { return o.withDefaults().request(r) }

// request is Request for options that have their defaults.
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

// fingerprint is stored with idempotency keys, and must not change between versions.
func fingerprint(r *http.Request) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %s %d %s", r.Method, r.URL.RequestURI(), r.ContentLength, r.Header.Get("Content-Type")))
}
