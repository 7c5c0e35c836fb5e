package middleware

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint"
)

const (
	// abortedBody is the body of the response to an aborted request.
	abortedBody         = "aborted: the time for this request is over\n"
	abortedWriteTimeout = time.Second // of that response
)

// expired is a deadline that makes reads and writes fail at once.
var expired = time.Unix(1, 0)

// response is the http.ResponseWriter that the handler gets. It buffers the response until it is complete or has to be
// streamed. It is used concurrently by the handler and by the gate, which may answer instead of the handler.
type response struct {
	gate        *quartzpoint.Gate
	bufferBytes int
	header      http.Header  // set by the handler; copied to w only when its response is sent, as abort sends headers of its own
	recorded    bool         // duplicates get the response, so the handler may complete it after an abort
	body        *requestBody // of the request; nil without one

	// serving is held by abort, and by detach when the middleware is about to return: w must not be used afterwards.
	serving  sync.Mutex
	detached bool

	// The handler sets streamed and then checks aborted, the gate sets aborted and then checks streamed: either the
	// handler does not write to the caller, or the gate ends a write that a slow caller blocks.
	streamed atomic.Bool
	aborted  atomic.Bool

	mu       sync.Mutex
	w        http.ResponseWriter // writer of the HTTP server
	status   int                 // 0 until the handler sets it
	buffer   bytes.Buffer        // buffered part; empty once streamed
	closed   bool                // answered or sent, or the handler has panicked or ended its goroutine
	tooLong  bool                // the part written after an abort exceeds bufferBytes
	mustFail bool                // the response could not be cut off, other than by a panic
}

func newResponse(w http.ResponseWriter, r *http.Request, gate *quartzpoint.Gate, bufferBytes int, recorded bool) *response {
	return &response{
		w: w, gate: gate, bufferBytes: bufferBytes, header: http.Header{}, recorded: recorded, body: newRequestBody(r),
	}
}

// Header implements http.ResponseWriter, as do the methods below.
func (r *response) Header() http.Header { return r.header }

func (r *response) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		return // informational responses are not sent
	}
	if r.status == 0 {
		r.status = status
	}
}

func (r *response) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return r.writeAfterAbort(p)
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if !r.streamed.Load() && r.buffer.Len()+len(p) <= r.bufferBytes {
		return r.buffer.Write(p)
	}
	if !r.stream() {
		return r.writeAfterAbort(p)
	}
	return r.w.Write(p)
}

// writeAfterAbort records what the handler writes after an abort, if duplicates may get it. The caller must hold mu.
func (r *response) writeAfterAbort(p []byte) (int, error) {
	if !r.recorded || r.streamed.Load() || !r.aborted.Load() {
		return 0, http.ErrHandlerTimeout
	}
	if r.buffer.Len()+len(p) > r.bufferBytes {
		r.tooLong = true
		return 0, http.ErrHandlerTimeout
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.buffer.Write(p)
}

// stream sends the buffered part, unless that is done; later writes are sent immediately. It returns false if the request
// is being aborted. The caller must hold mu.
func (r *response) stream() bool {
	if r.streamed.Load() {
		return true
	}
	r.streamed.Store(true)
	if r.aborted.Load() {
		r.streamed.Store(false)
		return false
	}
	r.writeBuffered()
	r.buffer.Reset()
	return true
}

// writeBuffered sends the header and the buffered part. The caller must hold mu.
func (r *response) writeBuffered() {
	maps.Copy(r.w.Header(), r.header)
	r.w.Header().Set(ShedLevelHeader, shedLevel(r.gate))
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.w.WriteHeader(r.status)
	_, _ = r.w.Write(r.buffer.Bytes()) // if the caller has disconnected, later writes fail too
}

// Flush implements http.Flusher.
func (r *response) Flush() { _ = r.FlushError() }

// FlushError implements the flusher interface of http.ResponseController. The response is streamed from here on.
func (r *response) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.stream() {
		return http.ErrHandlerTimeout
	}
	return http.NewResponseController(r.w).Flush()
}

// ReadFrom implements io.ReaderFrom. It uses Write, so that io.Copy does not bypass the buffer.
func (r *response) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{r}, from)
}

// interrupted reports whether an abort may have kept the handler from reading the request.
func (r *response) interrupted() bool { return r.aborted.Load() && r.body.readFailed() }

// record returns the response in the form that is stored for duplicates, or nil if it was streamed or is too long.
func (r *response) record() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streamed.Load() || r.tooLong {
		return nil
	}
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	raw, err := cbor.Marshal(recordedResponse{status, r.header, r.buffer.Bytes()})
	if err != nil {
		return nil
	}
	return raw
}

// send completes the response of a handler that has returned: it sends a buffered response, or the trailers of a
// streamed one.
func (r *response) send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	if !r.streamed.Load() {
		r.body.endReads(r.w)
		r.writeBuffered()
		return
	}
	for name, values := range r.header {
		if strings.HasPrefix(name, http.TrailerPrefix) || r.w.Header().Get("Trailer") != "" {
			r.w.Header()[name] = values
		}
	}
}

// fail makes further writes fail, and cuts off a streamed response. The HTTP server or framework answers if the response
// was not streamed.
func (r *response) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed && r.streamed.Load() {
		r.cutOff()
	}
	r.closed = true
}

// abort answers with status 504 instead of the handler, unless the request is already answered. A streamed response is
// cut off. Neither waits for a handler that reads from the caller or writes to it.
func (r *response) abort() {
	r.serving.Lock()
	defer r.serving.Unlock()
	if r.detached {
		return
	}
	r.aborted.Store(true)
	r.unblockHandler()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return
	case r.streamed.Load():
		r.cutOff()
	default:
		r.sendAborted()
	}
	r.closed = true
}

// unblockHandler makes the handler's reads from the caller fail, and its writes if the response is streamed: a caller
// that stops sending or reading must not keep the run in flight.
func (r *response) unblockHandler() {
	r.body.endReads(r.w)
	if r.streamed.Load() {
		_ = http.NewResponseController(r.w).SetWriteDeadline(expired) // not supported by some writers
	}
}

// sendAborted sends the response to an aborted request. The handler's writes wait meanwhile, so a caller that does not
// read it must not block it for long. The caller must hold mu.
func (r *response) sendAborted() {
	connection := http.NewResponseController(r.w)
	_ = connection.SetWriteDeadline(time.Now().Add(abortedWriteTimeout))
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(abortedBody)))
	header.Set("Connection", "close")
	header.Set(ShedLevelHeader, shedLevel(r.gate))
	r.w.WriteHeader(http.StatusGatewayTimeout)
	_, _ = io.WriteString(r.w, abortedBody)
	_ = connection.Flush()                       // the response is complete by its Content-Length even if the handler continues
	_ = connection.SetWriteDeadline(time.Time{}) // with HTTP/2 the stream ends only with the handler
}

// detach ends the use of the HTTP server's writer, and reports whether the caller must panic to cut off the response.
func (r *response) detach() (mustFail bool) {
	r.serving.Lock()
	defer r.serving.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached, r.closed, r.recorded = true, true, false
	return r.mustFail
}
