package middleware

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint"
)

// abortedBody is the body of the answer in a handler's place.
const abortedBody = "aborted: the time for this request is over\n"

// response is the handler's http.ResponseWriter. It buffers the response until it is complete, or until it has to be streamed.
// The handler and the gate, which may answer in its place, use it at the same time.
type response struct {
	gate        *quartzpoint.Gate
	bufferBytes int
	header      http.Header // of the handler; the one of w belongs to who answers

	mu       sync.Mutex
	w        http.ResponseWriter // of the server
	status   int                 // 0 before the handler states one
	body     bytes.Buffer        // empty once streamed
	streamed bool
	closed   bool // answered in the handler's place, sent, or the handler has ended
}

func newResponse(w http.ResponseWriter, gate *quartzpoint.Gate, bufferBytes int) *response {
	return &response{w: w, gate: gate, bufferBytes: bufferBytes, header: http.Header{}}
}

// Header implements http.ResponseWriter, as do the methods below it.
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
		return 0, http.ErrHandlerTimeout
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if !r.streamed && r.body.Len()+len(p) > r.bufferBytes {
		r.stream()
	}
	if r.streamed {
		return r.w.Write(p)
	}
	return r.body.Write(p)
}

// stream sends what is buffered; what follows is sent as it comes. The caller holds mu.
func (r *response) stream() {
	r.streamed = true
	r.writeBuffered()
	r.body.Reset()
}

// writeBuffered sends the header and what is buffered. The caller holds mu.
func (r *response) writeBuffered() {
	maps.Copy(r.w.Header(), r.header)
	r.w.Header().Set(ShedLevelHeader, shedLevel(r.gate))
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.w.WriteHeader(r.status)
	_, _ = r.w.Write(r.body.Bytes()) // the caller may be gone; a further write fails too
}

// Flush implements http.Flusher.
func (r *response) Flush() { _ = r.FlushError() }

// FlushError streams the response from here on, as http.ResponseController expects.
func (r *response) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return http.ErrHandlerTimeout
	}
	if !r.streamed {
		r.stream()
	}
	return http.NewResponseController(r.w).Flush()
}

// ReadFrom implements io.ReaderFrom by Write, so that io.Copy does not pass the buffer by.
func (r *response) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{r}, from)
}

// record is the response as it is stored for duplicates; empty where it was streamed.
func (r *response) record() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streamed {
		return nil
	}
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	raw, err := cbor.Marshal(recordedResponse{status, r.header, r.body.Bytes()})
	if err != nil {
		return nil
	}
	return raw
}

// send sends what is left of a complete response: all of it, or the trailers of a streamed one.
func (r *response) send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streamed {
		for name, values := range r.header {
			if strings.HasPrefix(name, http.TrailerPrefix) || r.w.Header().Get("Trailer") != "" {
				r.w.Header()[name] = values
			}
		}
		return
	}
	if r.closed {
		return
	}
	r.closed = true
	r.writeBuffered()
}

// close has further writes fail.
func (r *response) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// abort answers in the handler's place, unless the request is answered. A response that is streamed is cut off.
func (r *response) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	if r.streamed {
		return
	}
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(abortedBody)))
	header.Set("Connection", "close")
	header.Set(ShedLevelHeader, shedLevel(r.gate))
	r.w.WriteHeader(http.StatusGatewayTimeout)
	_, _ = io.WriteString(r.w, abortedBody)
	_ = http.NewResponseController(r.w).Flush() // complete by its length, though the handler runs on
}
