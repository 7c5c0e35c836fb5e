// Package ginmw puts a quartzpoint gate in front of gin's handlers, by the rules of package middleware. The traffic
// type is the route's full path unless the rules say otherwise.
package ginmw

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"

	"quartzpoint"
	"quartzpoint/middleware"
)

// New makes the middleware. Put it behind gin.Recovery, which then sees a handler's panic as always.
func New(gate *quartzpoint.Gate, rules middleware.Options) gin.HandlerFunc {
	return func(c *gin.Context) {
		of := rules
		if of.Route == nil {
			route := c.Request.Method + " " + c.FullPath()
			of.Route = func(*http.Request) string { return route }
		}
		to, asked, ran := c.Writer, c.Request, false
		defer func() {
			c.Writer, c.Request = to, asked
			if !ran {
				c.Abort() // it was answered without its handlers
			}
		}()
		middleware.Serve(gate, of, to, asked, func(w http.ResponseWriter, q *http.Request) {
			ran = true
			c.Writer, c.Request = &writer{to: w, under: to, size: -1, status: http.StatusOK}, q
			c.Next()
		})
	}
}

// writer is gin's kind of response writer over one that is held.
type writer struct {
	to     http.ResponseWriter
	under  gin.ResponseWriter
	status int
	size   int
}

// Header implements gin.ResponseWriter, as do the methods below it.
func (w *writer) Header() http.Header { return w.to.Header() }

func (w *writer) WriteHeader(status int) {
	if status > 0 && !w.Written() {
		w.status = status
	}
}

func (w *writer) WriteHeaderNow() {
	if !w.Written() {
		w.size = 0
		w.to.WriteHeader(w.status)
	}
}

func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeaderNow()
	n, err := w.to.Write(p)
	w.size += n
	return n, err
}

func (w *writer) WriteString(s string) (int, error) {
	w.WriteHeaderNow()
	n, err := io.WriteString(w.to, s)
	w.size += n
	return n, err
}

func (w *writer) Status() int   { return w.status }
func (w *writer) Size() int     { return w.size }
func (w *writer) Written() bool { return w.size != -1 }

func (w *writer) Flush() {
	w.WriteHeaderNow()
	w.to.(http.Flusher).Flush()
}

// Hijack is refused: a connection that is taken over can't be answered in time.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) { return nil, nil, http.ErrNotSupported }

// CloseNotify tells of the caller's end, as the request's context does.
func (w *writer) CloseNotify() <-chan bool { return w.under.CloseNotify() }

// Pusher is nil: what is pushed is no answer.
func (w *writer) Pusher() http.Pusher { return nil }
