package middleware

import (
	"net"
	"net/http"
	"time"
)

// cutOff ends a streamed response so that its caller can tell it from a complete one. The caller must hold mu.
//
// A panic with http.ErrAbortHandler would not do it in time if the handler continues, and not at all behind a
// middleware that recovers from panics. With HTTP/1.1 the connection is reset instead; with HTTP/2 a write deadline that
// has passed resets the stream. Only where neither is possible is a panic left.
func (r *response) cutOff() {
	if resetConnection(r.w) {
		return
	}
	r.mustFail = http.NewResponseController(r.w).SetWriteDeadline(expired) != nil
}

// resetConnection resets the connection of a response. It returns false if the connection can't be had, as with HTTP/2.
func resetConnection(w http.ResponseWriter) bool {
	hijacker, ok := innermost(w).(http.Hijacker)
	if !ok {
		return false
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Now()) // TLS would send a notice that the connection ends properly
	if tcp, ok := unwrapTo[interface{ SetLinger(seconds int) error }](conn); ok {
		_ = tcp.SetLinger(0) // reset: without a Content-Length, callers with HTTP/1.0 take a proper end for a complete response
	}
	_ = conn.Close() // an error leaves nothing to be done
	return true
}

// unwrapTo returns the first of a connection and those that it wraps, as TLS and limits do, that is a T.
func unwrapTo[T any](conn net.Conn) (found T, ok bool) {
	for {
		if found, ok = conn.(T); ok {
			return found, true
		}
		outer, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			return found, false
		}
		conn = outer.NetConn()
	}
}

// innermost returns the writer that w is based on. Frameworks wrap the writer, and may refuse to hijack once the response
// has begun.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}
