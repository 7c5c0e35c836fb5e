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

// reasonNotReading is the reason for which a peer that does not read its answers is cut off.
const reasonNotReading = "peer does not read"

// verdictCodes maps verdicts to the protocol's codes.
var verdictCodes = map[server.Verdict]byte{
	server.Served:      frame.Served,
	server.Rejected:    frame.Rejected,
	server.Aborted:     frame.Aborted,
	server.KeyConflict: frame.Aborted, // the request that owns the key may have run, and a rejected request may be sent elsewhere
}

// Answer queues the answer to a request and removes the request from the open ones.
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

// ReportHealth queues the answer to a health check.
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

// shutWrite ends this side of a broken connection once all requests are answered and the answers written. The
// connection is closed when its router has read that end and closes it too, or by a timeout. Closing it at once, with
// bytes unread, would reset it and lose the answers just written.
func (c *conn) shutWrite() {
	if !c.broken || c.writeShut || c.dead || len(c.requests) > 0 || !c.out.Empty() {
		return
	}
	c.writeShut = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.activeAt = 0 // the next timeout check closes it
	}
}

// writeFailure returns the system's text for a failed write. The text is one of few, as events are counted by it.
func writeFailure(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	return "the connection is gone"
}

// enqueue queues pieces for the peer. A peer that has not read for so long that its queue is full is cut off: waiting
// for it would delay all others. If all queues together exceed their part of the memory, the connection with the
// longest queue is cut off.
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

// flush writes as much as the peer accepts. all reports whether nothing is left to be written.
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
