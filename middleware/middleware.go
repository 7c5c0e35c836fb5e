package middleware

import (
	"context"
	"errors"
	"maps"
	"math"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint"
)

// errUnfinished is the error of a run whose handler panicked or ended its goroutine.
var errUnfinished = errors.New("middleware: the handler did not return")

// New returns middleware that puts a gate in front of handlers.
func New(gate *quartzpoint.Gate, options Options) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Serve(gate, options, w, r, next.ServeHTTP)
		})
	}
}

// Serve passes one request through a gate and calls next if it is admitted. It is for middleware of other frameworks;
// New is based on it.
func Serve(
	gate *quartzpoint.Gate, options Options, w http.ResponseWriter, r *http.Request, next func(http.ResponseWriter, *http.Request),
) {
	options = options.withDefaults()
	request := options.request(r)
	response := newResponse(w, gate, options.BufferBytes)
	ticket, err := gate.Admit(r.Context(), request, response.abort)
	if err != nil {
		writeError(w, gate, err)
		return
	}
	if recorded, duplicate := ticket.Duplicate(); duplicate {
		replay(w, gate, recorded)
		return
	}
	returned := false
	detach := context.AfterFunc(r.Context(), ticket.Cancel)
	defer func() {
		detach()
		if returned {
			return
		}
		value := recover()
		ticket.Finish(nil, errUnfinished)
		response.close() // the server's writer must not be used after this function returns
		if value != nil {
			panic(value)
		}
		panic(http.ErrAbortHandler) // the handler ended its goroutine
	}()
	next(response, r.WithContext(ticket.Context()))
	returned = true
	var result []byte
	if request.IdempotencyKey != "" {
		result = response.record()
	}
	if ticket.Finish(result, nil) {
		response.send()
	} else {
		// The gate may not have called abort yet, and must not write to w after this function returns. For a canceled
		// request it does not call abort at all.
		response.abort()
	}
}

// writeError answers a request that was not admitted.
func writeError(w http.ResponseWriter, gate *quartzpoint.Gate, err error) {
	status := http.StatusGatewayTimeout
	var rejected *quartzpoint.RejectedError
	switch {
	case errors.As(err, &rejected):
		status = http.StatusServiceUnavailable
		w.Header().Set(retryAfterHeader, strconv.Itoa(max(1, int(math.Ceil(rejected.RetryAfter.Seconds())))))
		w.Header().Set(retryAfterMSHeader, strconv.FormatInt(rejected.RetryAfter.Milliseconds(), 10))
	case errors.Is(err, quartzpoint.ErrShutDown):
		status = http.StatusServiceUnavailable
		w.Header().Set("Connection", "close")
	case errors.Is(err, quartzpoint.ErrKeyConflict):
		status = http.StatusUnprocessableEntity
	}
	w.Header().Set(ShedLevelHeader, shedLevel(gate))
	http.Error(w, err.Error(), status)
}

// shedLevel returns the value of ShedLevelHeader.
func shedLevel(gate *quartzpoint.Gate) string {
	return strconv.FormatFloat(gate.ShedLevel(), 'f', 2, 64)
}

// recordedResponse is a response as stored for duplicates, encoded in CBOR.
type recordedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// replay answers a duplicate with the recorded response. If the original's response was too long to be recorded, the
// duplicate is answered as aborted, since the request must not run again.
func replay(w http.ResponseWriter, gate *quartzpoint.Gate, recorded []byte) {
	var response recordedResponse
	if err := cbor.Unmarshal(recorded, &response); err != nil || response.Status == 0 {
		writeError(w, gate, quartzpoint.ErrAborted)
		return
	}
	maps.Copy(w.Header(), response.Header)
	w.Header().Set(ShedLevelHeader, shedLevel(gate))
	w.Header().Set(replayedHeader, "true")
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails if the caller has disconnected
}
