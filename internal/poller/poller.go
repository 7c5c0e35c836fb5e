// Package poller configures netpoll for the whole process: one poller, and callbacks that run on it or on the event loop
// to which a connection belongs.
package poller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/sysfault"
)

// acceptPause is the pause of the poller if no descriptor is available for a connection that waits to be accepted.
const acceptPause = 5 * time.Millisecond

// EventLoop runs submitted functions on its goroutine, in the order of their submission.
type EventLoop interface{ Submit(f func()) }

// eventLoopKey is the context key of a connection's event loop.
type eventLoopKey struct{}

// netpoll reads its configuration when its first poller starts, so its documentation asks for the configuration in an
// init function.
func init() {
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: runCallback, LoggerOutput: logWriter{}})
	if err != nil {
		panic(fmt.Errorf("netpoll: %w", err))
	}
}

// Context returns the context of a connection whose callbacks run on loop.
func Context(loop EventLoop) context.Context {
	return context.WithValue(context.Background(), eventLoopKey{}, loop)
}

// runCallback submits netpoll's callback to the event loop of its connection, so that reads need neither locks nor extra
// goroutines. If the context names no event loop, the callback runs on the poller, after each single read. Such a
// connection must not be closed by netpoll's Close, which would make the poller wait for itself forever.
func runCallback(ctx context.Context, callback func()) {
	if loop, onLoop := ctx.Value(eventLoopKey{}).(EventLoop); onLoop {
		loop.Submit(callback)
		return
	}
	callback()
}

// Accept accepts a connection; it implements the Accept method of the listener that is passed to netpoll.
//
// If no descriptors, or no kernel memory for them, are left, it calls exhausted, which must not block, and returns
// neither a connection nor an error, as if no connection were waiting. The connection stays in the listener's queue,
// and netpoll retries shortly. Netpoll must not see this error: from the second one on it would retry without a pause,
// with a goroutine and two log lines for each attempt. An error of a single connection is not returned either, because
// netpoll would stop serving the listener.
func Accept(from netpoll.Listener, exhausted func()) (net.Conn, error) {
	conn, err := from.Accept()
	switch {
	case sysfault.IsExhausted(err):
		exhausted()
		time.Sleep(acceptPause)
	case sysfault.IsTransientAccept(err): // the listener is unaffected
	default:
		return conn, err
	}
	return nil, nil
}

// logWriter forwards the log lines of netpoll to slog.
type logWriter struct{}

func (logWriter) Write(line []byte) (int, error) {
	_, message, _ := strings.Cut(strings.TrimSpace(string(line)), "NETPOLL: ")
	slog.Warn("message from netpoll", "said", message)
	return len(line), nil
}
