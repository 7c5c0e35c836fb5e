// Package dependency carries the calls that the pool's runs make to the one dependency of all servers, over HTTP: a
// POST for each, the task's id and what time is left in its head, what the run asks in its body.
package dependency

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

const (
	path     = "/lookup"
	maxReply = 16 << 10 // bytes of a reply's body; the pool takes 4 KiB
	maxHead  = 16 << 10 // and of what stands before it
	maxHeads = 4        // of a reply; all but the last only say that it will come
	dialWait = time.Second
	idleWait = 5 * time.Second // that a connection is kept without a call
)

// Caller makes calls over connections that are opened as they are needed, one call at a time on each. Its methods
// never wait.
type Caller struct {
	max  int
	log  *slog.Logger
	saw  func(what string)
	tell func(end workerapi.CallEnd)

	mu      sync.Mutex
	address string
	idle    []*link // the one used last at the end
	busy    map[uint64]*link
	failing bool // the last connection could not be opened
}

// link is one connection. Its goroutine makes call after call until it has been idle for long.
type link struct {
	caller *Caller
	calls  chan call          // one at a time; closed where no more is to come
	cancel context.CancelFunc // of the call in hand

	address string
	conn    net.Conn
	head    io.LimitedReader
	in      *bufio.Reader
}

// call is one with the end of its time.
type call struct {
	workerapi.Call
	ctx context.Context
}

// New makes a caller that holds at most max connections to an address. It gives tell how each call ended, once, from any
// goroutine, and saw what is to be counted; neither may call it back.
func New(address string, max int, log *slog.Logger, saw func(string), tell func(workerapi.CallEnd)) *Caller {
	return &Caller{address: address, max: max, log: log, saw: saw, tell: tell, busy: map[uint64]*link{}}
}

// Call makes a call, or ends it at once as never made where all connections are in use.
func (c *Caller) Call(asked workerapi.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l *link
	switch last := len(c.idle) - 1; {
	case last >= 0:
		l, c.idle = c.idle[last], c.idle[:last]
	case len(c.busy) < c.max:
		l = &link{caller: c, calls: make(chan call, 1)}
		go l.run()
	default:
		c.saw("call without a free connection")
		c.tell(workerapi.CallEnd{Call: asked, Outcome: admission.NotRun})
		return
	}
	c.busy[asked.CallID] = l
	ctx, cancel := context.WithTimeout(context.Background(), asked.Timeout)
	l.cancel = cancel
	l.calls <- call{asked, ctx}
}

// Abandon ends a call that nobody waits for any more; its end is still told.
func (c *Caller) Abandon(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.busy[number]; l != nil {
		l.cancel()
	}
}

// Move has all further calls go to another address. Those under way end where they began.
func (c *Caller) Move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	for _, l := range c.idle {
		close(l.calls)
	}
	c.idle = nil
}

// run makes the calls of a connection.
func (l *link) run() {
	idle := time.NewTimer(idleWait)
	defer idle.Stop()
	for {
		select {
		case call, more := <-l.calls:
			if !more {
				l.close()
				return
			}
			begin := time.Now()
			outcome, result := l.make(call)
			l.caller.ended(l, call.CallID)
			l.caller.tell(workerapi.CallEnd{Call: call.Call, Outcome: outcome, Duration: time.Since(begin), Result: result})
			idle.Reset(idleWait)
		case <-idle.C:
			l.caller.retire(l)
		}
	}
}

// ended books that a link is free, and has it end where it leads to an address that is no longer in force.
func (c *Caller) ended(l *link, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.cancel()
	delete(c.busy, number)
	if l.conn != nil && l.address != c.address {
		close(l.calls)
		return
	}
	c.idle = append(c.idle, l)
}

// retire ends a link that is still idle.
func (c *Caller) retire(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.idle {
		if other == l {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			close(l.calls)
			return
		}
	}
}

// make makes a call. It never ran where no connection could be opened for it, or where the dependency says so; where it
// was written and nothing came back in time, that is not known.
func (l *link) make(call call) (admission.Outcome, []byte) {
	if l.conn != nil && l.stale() {
		l.close()
	}
	if l.conn == nil {
		if err := l.dial(call.ctx); err != nil {
			return admission.NotRun, nil
		}
	}
	conn := l.conn
	over := context.AfterFunc(call.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	outcome, result, keep := l.exchange(call)
	if !over() || !keep {
		l.close()
	}
	return outcome, result
}

// dial opens the connection.
func (l *link) dial(ctx context.Context) error {
	c := l.caller
	c.mu.Lock()
	l.address = c.address
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: dialWait}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	c.mu.Lock()
	failed := err != nil && ctx.Err() == nil
	if turned := failed != c.failing; turned && (failed || err == nil) {
		c.failing = failed // once for each loss, not for each call
		c.log.Warn("dependency", "reached", !failed, "address", l.address, "error", err)
	}
	c.mu.Unlock()
	if err != nil {
		c.saw("dependency not reached")
		return fmt.Errorf("dependency: %w", err)
	}
	l.conn = conn
	l.head = io.LimitedReader{R: conn}
	l.in = bufio.NewReader(&l.head)
	return nil
}

// stale tells whether an idle connection has ended, or says what nobody asked.
func (l *link) stale() bool {
	raw, err := l.conn.(syscall.Conn).SyscallConn()
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

// exchange writes a call and reads its reply. keep tells whether the connection can carry another.
func (l *link) exchange(call call) (outcome admission.Outcome, result []byte, keep bool) {
	c := l.caller
	left := time.Millisecond
	if until, stated := call.ctx.Deadline(); stated {
		left = max(left, time.Until(until))
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Parent-Id: %s\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, l.address, call.RequestID, left.Milliseconds(), len(call.Body))
	if _, err := l.conn.Write(append(text, call.Body...)); err != nil {
		return admission.Unknown, nil, false
	}
	l.head.N = maxHead + maxReply
	var reply *http.Response
	for range maxHeads {
		var err error
		if reply, err = http.ReadResponse(l.in, nil); err != nil {
			if call.ctx.Err() == nil {
				c.saw("call broken off")
			}
			return admission.Unknown, nil, false
		}
		if reply.StatusCode >= http.StatusOK {
			break
		}
	}
	defer reply.Body.Close()
	result, err := io.ReadAll(io.LimitReader(reply.Body, maxReply+1))
	switch {
	case err != nil:
		return admission.Unknown, nil, false
	case len(result) > maxReply:
		c.saw("reply of a call too long")
		return admission.Failed, nil, false
	}
	return outcomeOf(reply), result, !reply.Close && l.in.Buffered() == 0
}

// outcomeOf reads a reply's head. What is turned away unseen says so by a header of its own, whatever its status is.
func outcomeOf(reply *http.Response) admission.Outcome {
	shed := reply.Header.Get("X-Shed")
	if turnedAway, err := strconv.ParseBool(shed); shed != "" && (turnedAway || err != nil) {
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

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
