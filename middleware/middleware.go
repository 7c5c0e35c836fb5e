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

// Errors of runs that have no result.
var (
	errUnfinished  = errors.New("middleware: the handler panicked or ended its goroutine")
	errInterrupted = errors.New("middleware: the handler may have returned before its work was done")
)

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
	response := newResponse(w, r, gate, options.BufferBytes, request.IdempotencyKey != "")
	ticket, err := gate.Admit(r.Context(), request, response.abort)
	if err != nil {
		response.body.endReads(w)
		writeError(w, gate, err)
		return
	}
	if recorded, duplicate := ticket.Duplicate(); duplicate {
		response.body.endReads(w)
		replay(w, gate, recorded)
		return
	}
	stopCanceling := context.AfterFunc(r.Context(), ticket.Cancel)
	defer stopCanceling()
	runHandler(ticket, response, r, next)
	if response.detach() && r.Context().Value(http.ServerContextKey) != nil {
		panic(http.ErrAbortHandler) // recovered by the HTTP server
	}
}

// runHandler executes the run of a ticket: it calls next, ends the run and completes the response. A panic of next is
// passed on.
func runHandler(
	ticket *quartzpoint.Ticket, response *response, r *http.Request, next func(http.ResponseWriter, *http.Request),
) {
	returned := false
	defer func() {
		if returned {
			return
		}
		value := recover()
		ticket.Finish(nil, errUnfinished)
		response.fail()
		response.detach() // the HTTP server's writer must not be used after Serve has ended
		if value != nil {
			panic(value)
		}
		panic(http.ErrAbortHandler) // the handler ended its goroutine
	}()
	inner := r.WithContext(ticket.Context())
	if response.body != nil {
		inner.Body = response.body
	}
	next(response, inner)
	returned = true
	if finish(ticket, response) {
		response.send()
		return
	}
	// The gate may not have called abort yet. For a canceled request it does not call abort at all.
	response.abort()
}

// finish ends the run of a handler that has returned, and reports whether its response is the answer.
//
// A handler can't state whether it has done its work. One that was interrupted may have returned for that reason, with an
// empty or partial response, which must not be stored as the result of the request.
func finish(ticket *quartzpoint.Ticket, response *response) (answers bool) {
	if ticket.Interrupted() || response.interrupted() {
		ticket.Finish(nil, errInterrupted)
		return false
	}
	var result []byte
	if response.recorded {
		result = response.record()
	}
	return ticket.Finish(result, nil)
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
