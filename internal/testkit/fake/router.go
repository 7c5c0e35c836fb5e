package fake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// Router is one connection from a router to a server.
type Router struct {
	net.Conn
}

// Reply is a frame that a server wrote.
type Reply = harness.Reply

// Dial connects to a server. Every read and write fails after WaitLimit. The connection is closed when the test ends.
func Dial(t testing.TB, address string) *Router {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(WaitLimit)))
	return &Router{Conn: conn}
}

// Frame builds a frame. fields contains names and values alternately.
func Frame(kind byte, stream uint32, body string, fields ...string) []byte {
	return harness.Frame(kind, stream, body, fields...)
}

// RequestID returns the request ID (field call) of the request that a test sends on a stream.
func RequestID(stream uint32) string { return fmt.Sprintf("%016x", 0xabc0000+uint64(stream)) }

// RequestFrame builds a request of a route. The fields in more precede the default fields and take precedence over
// them.
func RequestFrame(stream uint32, route, body string, more ...string) []byte {
	fields := append(more, "op", route, "call", RequestID(stream), "recv", strconv.FormatInt(time.Now().UnixMilli(), 10),
		"src", "2", "ttl", "15000", "heap", "20.5", "crit", "0.9000")
	return Frame(10, stream, body, fields...)
}

// Send writes frames, or parts of frames, unchanged.
func (r *Router) Send(t testing.TB, parts ...[]byte) {
	t.Helper()
	for _, part := range parts {
		_, err := r.Write(part)
		require.NoError(t, err)
	}
}

// Next reads the next frame.
func (r *Router) Next(t testing.TB) Reply {
	t.Helper()
	reply, err := harness.ReadReply(r)
	require.NoError(t, err)
	return reply
}

// ReadAll reads every frame until the connection ends. A reset or a truncated frame fails the test.
func (r *Router) ReadAll(t testing.TB) (replies []Reply) {
	t.Helper()
	for {
		reply, err := harness.ReadReply(r)
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "the connection was reset, or an answer was truncated, after %v", replies)
			return replies
		}
		replies = append(replies, reply)
	}
}

// WaitClosed waits until the server closes the connection, with or without a reset.
func (r *Router) WaitClosed(t testing.TB) {
	t.Helper()
	_, err := io.Copy(io.Discard, r)
	var netError net.Error
	if errors.As(err, &netError) {
		require.False(t, netError.Timeout(), "the connection stays open")
	}
}
