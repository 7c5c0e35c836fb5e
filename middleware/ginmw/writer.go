package ginmw

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"
)

// notWritten is the size of a response of which nothing is written, as gin has it.
const notWritten = -1

// writer is a gin.ResponseWriter over the response writer of package middleware.
type writer struct {
	w         http.ResponseWriter
	ginWriter gin.ResponseWriter // the server's
	status    int
	size      int
}

var _ gin.ResponseWriter = (*writer)(nil)

func newWriter(w http.ResponseWriter, ginWriter gin.ResponseWriter) *writer {
	return &writer{w: w, ginWriter: ginWriter, size: notWritten, status: http.StatusOK}
}

// Header implements gin.ResponseWriter, as do the methods below it.
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

// Hijack fails: the request of a connection that is taken over can't be answered in time.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) { return nil, nil, http.ErrNotSupported }

// CloseNotify reports that the caller is gone, as the request's context does.
func (w *writer) CloseNotify() <-chan bool { return w.ginWriter.CloseNotify() }

// Pusher is nil: server push is not supported.
func (w *writer) Pusher() http.Pusher { return nil }
