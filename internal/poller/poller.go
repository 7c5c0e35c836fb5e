// Package poller sets netpoll up for the whole process: one poller, and callbacks that run on the event loop that a connection
// belongs to.
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

// acceptPause is how long the poller pauses where there is no descriptor for a connection that waits in a listener.
const acceptPause = 5 * time.Millisecond

// EventLoop runs functions on its own goroutine, in the order in which they were submitted.
type EventLoop interface{ Submit(f func()) }

// eventLoopKey finds the event loop of a connection in its context.
type eventLoopKey struct{}

// netpoll reads its configuration once its first poller runs, so its documentation asks for it here.
func init() {
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: runOnEventLoop, LoggerOutput: logWriter{}})
	if err != nil {
		panic(fmt.Errorf("netpoll: %w", err))
	}
}

// Context is the context of a connection whose callbacks run on an event loop.
func Context(loop EventLoop) context.Context {
	return context.WithValue(context.Background(), eventLoopKey{}, loop)
}

// runOnEventLoop submits netpoll's callbacks to the event loop, so that reading needs no locks and no goroutine. They can't run
// on the poller itself: a connection closed there would wait for the poller, for ever.
func runOnEventLoop(ctx context.Context, callback func()) {
	ctx.Value(eventLoopKey{}).(EventLoop).Submit(callback)
}

// Accept accepts a connection, for the Accept of the listener that netpoll is given. Where descriptors, or the system's memory
// for them, have run out it calls exhausted, which must not block, and returns no connection and no error, as where none
// waits: the connection stays in the listener, and netpoll tries again shortly. Netpoll must not see that error: from the
// second time on it would try again without a pause, with a goroutine and two log lines at each attempt. An error of one
// connection is not returned either, as netpoll would stop serving the listener.
func Accept(from netpoll.Listener, exhausted func()) (net.Conn, error) {
	conn, err := from.Accept()
	switch {
	case sysfault.IsExhausted(err):
		exhausted()
		time.Sleep(acceptPause)
	case sysfault.IsTransientAccept(err): // the connection is gone already
	default:
		return conn, err
	}
	return nil, nil
}

// logWriter writes what netpoll logs to our log.
type logWriter struct{}

func (logWriter) Write(line []byte) (int, error) {
	_, message, _ := strings.Cut(strings.TrimSpace(string(line)), "NETPOLL: ")
	slog.Warn("netpoll", "said", message)
	return len(line), nil
}
