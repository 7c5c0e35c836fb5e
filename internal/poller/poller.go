// Package poller sets netpoll up for the whole process: one poller, and callbacks that run on the owner of
// whatever a connection belongs to.
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

// shortWait is how long the poller rests where there is no descriptor for a connection that waits in a listener.
const shortWait = 5 * time.Millisecond

// EventLoop takes what netpoll has to tell and runs it in its own turn, in the order in which it came.
type EventLoop interface{ Submit(f func()) }

// ownerKey finds the owner of a connection in its context.
type ownerKey struct{}

// netpoll reads these once its first poller runs, so its pages ask for them here.
func init() {
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: runOnOwner, LoggerOutput: complaints{}})
	if err != nil {
		panic(fmt.Errorf("netpoll: %w", err))
	}
}

// Context names the owner that the callbacks of a connection run on.
func Context(owner EventLoop) context.Context {
	return context.WithValue(context.Background(), ownerKey{}, owner)
}

// runOnOwner hands netpoll's callbacks to the owner, so that reading needs no locks and starts nothing. They
// can't run on the poller itself: a connection closed there waits for the poller to let go of it, for ever.
func runOnOwner(ctx context.Context, callback func()) {
	ctx.Value(ownerKey{}).(EventLoop).Submit(callback)
}

// Accept takes a connection from a listener, for the Accept of the one that netpoll is given. Where descriptors, or the
// system's memory for them, have run out it calls short and gives no connection and no error, as where none waits: the
// connection stays in the listener, and is asked for again shortly. Netpoll must not hear of it. It takes the listener
// from its poller for up to a second at a time then, but only the first time that this happens: from the second time on
// it asks again without rest, and starts a goroutine and writes two lines at each try. short must not wait. A failure of
// one connection is none of the listener, which would end the process.
func Accept(from netpoll.Listener, short func()) (net.Conn, error) {
	link, err := from.Accept()
	switch {
	case sysfault.IsExhausted(err):
		short()
		time.Sleep(shortWait)
	case sysfault.IsTransientAccept(err): // the connection is gone already, or was not asked for yet; the listener is as it was
	default:
		return link, err
	}
	return nil, nil
}

// complaints puts what netpoll logs into our log.
type complaints struct{}

func (complaints) Write(line []byte) (int, error) {
	_, said, _ := strings.Cut(strings.TrimSpace(string(line)), "NETPOLL: ")
	slog.Warn("netpoll", "said", said)
	return len(line), nil
}
