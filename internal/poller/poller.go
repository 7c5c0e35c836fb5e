// Package poller configures netpoll for the whole process: one poller, on which the callbacks run. They pass what they
// received to the event loop to which a connection belongs.
package poller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/sysfault"
)

// acceptPause is the pause of the poller if no descriptor is available for a connection that waits to be accepted.
const acceptPause = 5 * time.Millisecond

// netpoll reads its configuration when its first poller starts, so its documentation asks for the configuration in an
// init function.
func init() {
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: runOnPoller, LoggerOutput: logWriter{}})
	if err != nil {
		panic(fmt.Errorf("netpoll: %w", err))
	}
}

// runOnPoller runs netpoll's callback at once, on the poller, after each single read. Netpoll reads as long as a peer sends,
// so this is where received bytes can be bounded: while a callback waits, the poller reads nothing.
func runOnPoller(_ context.Context, callback func()) { callback() }

// Shutdown ends both sides of a connection, upon which the poller closes its descriptor and reports that by netpoll's
// callback. It must be used instead of the connection's own Close, for two reasons. Called while a callback of the
// connection runs on the poller, Close leaves the rest to the poller, which then waits for itself forever. And netpoll
// announces a connection before it registers it: closed in between, it uses freed memory and panics.
func Shutdown(fd int) {
	_ = unix.Shutdown(fd, unix.SHUT_RDWR) // fails if the connection was reset, which the poller notices as well
}

// ResetOnClose makes the close of a connection a reset: what was written and not sent is dropped, and a peer that waits to
// send more learns of the close at once. As the poller reads all input before it closes, the kernel does not send a
// reset by itself, and such a peer might learn of the close only after a minute.
func ResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) // fails if the peer has reset it
}

// SetReceiveBuffer sets the size of the kernel's receive buffer of the connections that a listener accepts from now on. It
// bounds how much netpoll reads at once, which is twice as many bytes at most.
func SetReceiveBuffer(listener netpoll.Listener, bytes int) error {
	if err := unix.SetsockoptInt(listener.Fd(), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
		return fmt.Errorf("set the receive buffer: %w", err)
	}
	return nil
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
