package middleware

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// requestBody is the body of a request. It records how far the handler has read it.
type requestBody struct {
	io.ReadCloser
	ended  atomic.Bool // read to its end
	failed atomic.Bool // a read has failed
}

// newRequestBody returns nil for a request without a body.
func newRequestBody(r *http.Request) *requestBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &requestBody{ReadCloser: r.Body}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// endReads makes reads fail that would wait for the caller. net/http reads the rest of a body before it sends a response,
// and the caller may never send it. A body that was received already is still read, and its connection kept.
func (b *requestBody) endReads(w http.ResponseWriter) {
	if b != nil && !b.ended.Load() {
		_ = http.NewResponseController(w).SetReadDeadline(expired) // not supported by some writers
	}
}

// readFailed reports whether a read has failed.
func (b *requestBody) readFailed() bool { return b != nil && b.failed.Load() }
