package dependency

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

const (
	path           = "/lookup"
	maxBodyBytes   = 16 << 10 // of a reply; above the worker pool's 4 KiB, so that the pool enforces its own limit
	maxHeaderBytes = 16 << 10 // of a reply and the interim replies before it
	maxResponses   = 4        // per call; all but the last are interim (1xx)
	dialTimeout    = time.Second
	idleTimeout    = 5 * time.Second  // an idle connection is closed after this time
	minTimeLeft    = time.Millisecond // so that X-Budget-Ms is never below 1
)

// expiredDeadline is a deadline that interrupts reads and writes immediately.
var expiredDeadline = time.Unix(1, 0)

// connection carries one call after another until it has been idle for idleTimeout. run is its goroutine.
type connection struct {
	caller *Caller
	calls  chan timedCall     // at most one; closed under caller.mu when no more calls will follow
	cancel context.CancelFunc // cancels the call in flight; guarded by caller.mu

	address string
	conn    net.Conn         // nil while not connected
	limited io.LimitedReader // limits the header and body of a reply together
	reader  *bufio.Reader
}

func (c *connection) run() {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case call, more := <-c.calls:
			if !more {
				c.close()
				return
			}
			startedAt := time.Now()
			outcome, result := c.perform(call)
			c.caller.release(c, call.CallID)
			c.caller.report(workerapi.CallEnd{Call: call.Call, Outcome: outcome, Duration: time.Since(startedAt), Result: result})
			idle.Reset(idleTimeout)
		case <-idle.C:
			c.caller.closeIdle(c)
		}
	}
}

// perform makes a call. The outcome is NotRun if no connection could be opened or the dependency states that the call
// did not run. Once the call's write has begun, the outcome is Unknown if no valid reply arrives in time or the
// dependency reports a timeout.
func (c *connection) perform(call timedCall) (admission.Outcome, []byte) {
	if c.conn != nil && c.stale() {
		c.close()
	}
	if c.conn == nil {
		if err := c.dial(call.ctx); err != nil {
			return admission.NotRun, nil
		}
	}
	conn := c.conn
	stop := context.AfterFunc(call.ctx, func() { _ = conn.SetDeadline(expiredDeadline) })
	outcome, result, reusable := c.exchange(call)
	if !stop() || !reusable {
		c.close()
	}
	return outcome, result
}

// dial opens the connection.
func (c *connection) dial(ctx context.Context) error {
	c.address = c.caller.currentAddress()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	c.caller.recordDial(c.address, err, ctx.Err() != nil)
	if err != nil {
		c.caller.count("dependency not reached")
		return fmt.Errorf("dial dependency: %w", err)
	}
	c.conn = conn
	c.limited = io.LimitedReader{R: conn}
	c.reader = bufio.NewReader(&c.limited)
	return nil
}

// stale reports whether the dependency has closed an idle connection or sent bytes on it that belong to no call.
// Without this check, a call on a connection that the dependency closed while it was idle would be lost with an unknown
// outcome.
func (c *connection) stale() bool {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = !errors.Is(err, unix.EAGAIN)
		return true
	})
	return stale || err != nil
}

// exchange writes a call and reads its reply. reusable reports whether the connection can carry another call.
func (c *connection) exchange(call timedCall) (outcome admission.Outcome, result []byte, reusable bool) {
	timeLeft := minTimeLeft
	if deadline, set := call.ctx.Deadline(); set {
		timeLeft = max(timeLeft, time.Until(deadline))
	}
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Parent-Id: %s\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, c.address, call.RequestID, timeLeft.Milliseconds(), len(call.Body))
	if _, err := c.conn.Write(append(request, call.Body...)); err != nil {
		return admission.Unknown, nil, false
	}
	reply, err := c.readReply()
	if err != nil {
		if call.ctx.Err() == nil {
			c.caller.count("call broken off")
		}
		return admission.Unknown, nil, false
	}
	defer func() { _ = reply.Body.Close() }() // after a reply that was not read to its end, the connection is not reusable
	result, err = io.ReadAll(io.LimitReader(reply.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return admission.Unknown, nil, false
	case len(result) > maxBodyBytes:
		c.caller.count("reply of a call too long")
		return admission.Failed, nil, false
	}
	return outcomeOf(reply), result, !reply.Close && c.reader.Buffered() == 0
}

// readReply reads the header of the final reply and skips interim ones. If there are too many of them, it returns the
// last one read.
func (c *connection) readReply() (reply *http.Response, err error) {
	c.limited.N = maxHeaderBytes + maxBodyBytes
	for range maxResponses {
		if reply, err = http.ReadResponse(c.reader, nil); err != nil {
			return nil, fmt.Errorf("read reply: %w", err)
		}
		if reply.StatusCode >= http.StatusOK {
			break
		}
	}
	return reply, nil
}

// outcomeOf returns the outcome stated by a reply's header. A call that was shed did not run, regardless of the status.
// An invalid value of X-Shed counts as shed.
func outcomeOf(reply *http.Response) admission.Outcome {
	header := reply.Header.Get("X-Shed")
	if shed, err := strconv.ParseBool(header); header != "" && (shed || err != nil) {
		return admission.NotRun
	}
	switch {
	case reply.StatusCode/100 == 2:
		return admission.Succeeded
	case reply.StatusCode == http.StatusRequestTimeout || reply.StatusCode == http.StatusGatewayTimeout:
		return admission.Unknown
	}
	return admission.Failed
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
