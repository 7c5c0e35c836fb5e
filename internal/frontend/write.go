package frontend

import (
	"errors"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/frame"
	"quartzpoint/internal/server"
)

// reasonNotReading is why a peer is cut off that does not read its answers.
const reasonNotReading = "peer does not read"

// verdictCodes are the protocol's codes for verdicts.
var verdictCodes = map[server.Verdict]byte{
	server.Served:      frame.Served,
	server.Rejected:    frame.Rejected,
	server.Aborted:     frame.Aborted,
	server.KeyConflict: frame.Aborted, // the other one may have run, and what is rejected may be sent elsewhere
}

// Answer queues the one answer to a request.
func (c *conn) Answer(stream uint32, a server.Answer) {
	delete(c.requests, stream)
	fields := shedLevelField(a.ShedLevel)
	if a.RetryAfter > 0 {
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		fields = append(fields, frame.Field{Name: frame.FieldRetryAfterMS, Value: strconv.FormatInt(int64(ms), 10)})
	}
	if a.NoRetryElsewhere {
		fields = append(fields, frame.Field{Name: frame.FieldNoRetryElsewhere, Value: "1"})
	}
	c.enqueue(frame.AppendHead(nil, frame.Answer, stream, verdictCodes[a.Verdict], fields, len(a.Result)), a.Result)
}

// ReportHealth answers a health check.
func (c *conn) ReportHealth(stream uint32, healthy bool, shedLevel string) {
	code := byte(frame.Healthy)
	if !healthy {
		code = frame.Unhealthy
	}
	c.enqueue(frame.AppendHead(nil, frame.HealthStatus, stream, code, shedLevelField(shedLevel), 0))
}

func shedLevelField(level string) []frame.Field {
	if level == "" {
		return nil
	}
	return []frame.Field{{Name: frame.FieldShedLevel, Value: level}}
}

// shutWrite ends our side of a broken connection once all is answered and written. It is closed when its router has read that
// and closes too, or by a timeout: closed at once, with bytes unread, it would be reset, and what was just written lost.
func (c *conn) shutWrite() {
	if !c.broken || c.writeShut || c.dead || len(c.requests) > 0 || !c.out.Empty() {
		return
	}
	c.writeShut = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.activeAt = 0 // closed by the next sweep
	}
}

// writeFailure is the system's text for a failed write, one of few: it is a reason that events are counted by.
func writeFailure(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	return "the connection is gone"
}

// enqueue queues pieces for the peer. A peer that has not read for so long that its queue is full is cut off: waiting for it
// would cost all others. Where all queues together use up their part of the memory, the one with the longest queue is.
func (c *conn) enqueue(pieces ...[]byte) {
	if c.dead {
		return
	}
	before := c.out.Size()
	err := c.out.Add(pieces...)
	c.frontend.queuedBytes += c.out.Size() - before
	if err != nil {
		c.cutOff(reasonNotReading)
		return
	}
	if c.frontend.queuedBytes > c.frontend.maxQueuedBytes {
		c.frontend.cutOffLargestQueue()
	}
	if !c.unflushed {
		c.unflushed = true
		c.frontend.unflushed = append(c.frontend.unflushed, c)
	}
}

// flush writes what the peer takes; all is whether nothing is left.
func (c *conn) flush() (all bool) {
	if c.dead {
		return true
	}
	before := c.out.Size()
	c.mu.Lock()
	var err error
	if !c.closed {
		err = c.out.Flush(c.fd)
	}
	c.mu.Unlock()
	c.frontend.queuedBytes += c.out.Size() - before
	if before > c.out.Size() {
		c.activeAt = c.frontend.server.Now()
	}
	if err != nil {
		c.close("answers can't be written: " + writeFailure(err))
		return true
	}
	return c.out.Empty()
}
