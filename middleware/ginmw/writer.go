package ginmw

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"
)

// notWritten is gin's value for the size of a response to which nothing has been written.
const notWritten = -1

// writer implements gin.ResponseWriter on top of the response writer of package middleware.
type writer struct {
	w         http.ResponseWriter
	ginWriter gin.ResponseWriter // the original writer of the gin context
	status    int
	size      int
}

var _ gin.ResponseWriter = (*writer)(nil)

func newWriter(w http.ResponseWriter, ginWriter gin.ResponseWriter) *writer {
	return &writer{w: w, ginWriter: ginWriter, size: notWritten, status: http.StatusOK}
}

// Header implements gin.ResponseWriter, as do the methods below.
func (w *writer) Header() http.Header { return w.w.Header() }

func (w *writer) WriteHeader(status int) {
	if status > 0 && !w.Written() {
		w.status = status
	}
}

func (w *writer) WriteHeaderNow() {
	if !w.Written() {
		w.size = 0
		w.w.WriteHeader(w.status)
	}
}

func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeaderNow()
	n, err := w.w.Write(p)
	w.size += n
	return n, err
}

func (w *writer) WriteString(s string) (int, error) {
	w.WriteHeaderNow()
	n, err := io.WriteString(w.w, s)
	w.size += n
	return n, err
}

func (w *writer) Status() int   { return w.status }
func (w *writer) Size() int     { return w.size }
func (w *writer) Written() bool { return w.size != notWritten }

func (w *writer) Flush() {
	w.WriteHeaderNow()
	w.w.(http.Flusher).Flush()
}

// Hijack always fails, because the request of a hijacked connection could not be answered in time.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) { return nil, nil, http.ErrNotSupported }

// CloseNotify returns the channel of the original writer, which reports that the caller has disconnected.
func (w *writer) CloseNotify() <-chan bool { return w.ginWriter.CloseNotify() }

// Pusher returns nil: server push is not supported.
func (w *writer) Pusher() http.Pusher { return nil }
