package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/frame"
	"quartzpoint/internal/sysfault"
)

// inputEmpty reports whether no bytes wait to be parsed, neither on this side nor in the kernel. It returns true if the
// connection is closed or the peer has ended its side.
func (c *conn) inputEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The order of the checks is that in which bytes move: from the kernel to netpoll and on to received.
	return c.closed || c.halfClosed || !c.unreadInKernel() && c.transport.Reader().Len() == 0 && c.received.Len() == 0
}

// unreadInKernel reports whether the kernel holds unread bytes from the peer. The end of the peer's side does not
// count.
func (c *conn) unreadInKernel() bool {
	n, err := peek(c.fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		// After a transient error it is unknown whether bytes wait. They are assumed to, because a connection without
		// unread bytes may be closed, which would lose them.
		return sysfault.IsTransient(err)
	}
	return n > 0
}

// peek checks for a byte in the kernel's buffer without consuming it. n is 0 and err nil if the peer has ended its
// side.
func peek(fd int) (n int, err error) {
	var first [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// onReadable is netpoll's callback for received bytes. It runs on the poller after each read, before the next one, and
// must consume all bytes: netpoll calls it again at once while any are left. Netpoll itself reads as long as a peer sends,
// whether or not its callbacks keep up, so the bytes are bounded here.
func onReadable(ctx context.Context, transport netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	in := transport.Reader()
	bytes, err := in.Peek(in.Len())
	if err != nil {
		return err
	}
	// They are added before they are consumed, so that inputEmpty finds them at any time.
	if c.frontend.readAhead.acquire(len(bytes)) && c.received.Add(bytes) {
		c.frontend.server.Submit(c.parseReceived)
	}
	if err := in.Skip(len(bytes)); err != nil {
		return err
	}
	return in.Release()
}

// parseReceived parses the received bytes, on the event loop. The bytes of a connection that has ended are dropped.
func (c *conn) parseReceived() {
	bytes := c.received.Take()
	if !c.dead && !c.broken {
		c.parse(bytes)
	}
	c.frontend.readAhead.release(len(bytes))
}

// parse handles all frames in bytes. They are parsed in place; only the beginning of an incomplete frame is copied.
func (c *conn) parse(bytes []byte) {
	now := c.frontend.server.Now()
	inPieces := len(c.partial) > 0 // the first frame arrived in more than one read
	if inPieces {
		c.partial = append(c.partial, bytes...)
		bytes = c.partial // counted by keepPartial, once it is known how much of it remains
	}
	for !c.dead && !c.broken {
		skipped := min(c.skipBytes, len(bytes))
		bytes, c.skipBytes = bytes[skipped:], c.skipBytes-skipped
		f, rest, ok, err := frame.Parse(bytes)
		if err != nil {
			c.fail(err.Error())
			return
		}
		if !ok {
			break
		}
		bytes, c.skipBytes = rest, f.SkipBytes
		c.activeAt, c.frameBegunAt = now, 0
		c.handle(f, inPieces)
		inPieces = false
	}
	if !c.dead && !c.broken {
		c.keepPartial(bytes, now)
	}
}

// handle handles one frame. inPieces states that it arrived in more than one read.
func (c *conn) handle(f frame.Frame, inPieces bool) {
	switch {
	case f.Type == frame.HealthCheck:
		c.handleCheck(f)
	case f.Type == frame.Request:
		c.handleRequest(f, inPieces)
	case c.frontend.routersCancel && f.SkipBytes == 0:
		c.handleCancel(f)
	default:
		c.fail(frame.ErrUnknownType.Error())
	}
}

// keepPartial copies the beginning of an incomplete frame.
func (c *conn) keepPartial(bytes []byte, now time.Duration) {
	kept := c.partial[:0]
	if len(bytes) == 0 || cap(kept) > 2*frame.MaxBuffered {
		kept = nil // an idle connection, or one after a large read, must not keep a large buffer
	}
	c.setPartial(append(kept, bytes...))
	if len(c.partial) == 0 && c.skipBytes == 0 {
		c.frameBegunAt = 0
	} else if c.frameBegunAt == 0 {
		c.frameBegunAt = now
	}
}

// setPartial sets the beginning of an incomplete frame. If those of all connections exceed their part of the memory, the
// connection with the longest one fails: requests are much shorter than the longest frame.
func (c *conn) setPartial(bytes []byte) {
	c.partial = bytes
	c.frontend.partialBytes += cap(bytes) - c.partialSize
	c.partialSize = cap(bytes)
	if c.frontend.partialBytes > c.frontend.maxPartialBytes {
		c.frontend.failLongestPartial()
	}
}

func (c *conn) handleCheck(f frame.Frame) {
	fields, _, err := frame.SplitPayload(f.Payload)
	if err != nil {
		c.fail(err.Error())
		return
	}
	c.sawFrame = true
	deep, _ := fields.Get(frame.FieldDeep)
	c.frontend.server.CheckHealth(c, f.Stream, string(deep) == "1")
}

// handleCancel cancels a request that nobody waits for any longer. The cancellation may cross the answer, so an unknown
// stream is ignored.
func (c *conn) handleCancel(f frame.Frame) {
	if request := c.requests[f.Stream]; request != nil {
		delete(c.requests, f.Stream)
		c.frontend.server.Cancel(request)
	}
}

// handleRequest passes a request to the event loop. A violation of the framing fails the connection. A complete frame
// that is not a valid request is rejected, so that the router knows that it never ran.
func (c *conn) handleRequest(f frame.Frame, inPieces bool) {
	switch {
	case f.Stream <= c.lastStream:
		c.fail("stream used before")
		return
	case len(c.requests) >= maxOpenRequests:
		c.fail("too many open tasks")
		return
	case f.SkipBytes > 0:
		c.lastStream = f.Stream
		c.reject(f.Stream, "length")
		return
	}
	c.lastStream = f.Stream
	fields, body, err := frame.SplitPayload(f.Payload)
	if err != nil {
		c.fail(err.Error())
		return
	}
	in, err := c.parseRequest(fields, body)
	if err != nil {
		c.reject(f.Stream, err.Error())
		return
	}
	in.Caller, in.Stream = c, f.Stream
	if inPieces { // its last byte may have arrived long after its timestamp
		in.LastByteAt = c.activeAt
	}
	c.overLimit = c.overLimit && !c.frontend.evictIfOverLimit(c)
	in.OverLimit = c.overLimit && c.frontend.inUse() >= c.frontend.maxConns
	if request := c.frontend.server.Receive(in); request != nil {
		c.requests[f.Stream], c.sawFrame = request, true
	}
}

func (c *conn) reject(stream uint32, reason string) {
	c.frontend.counters.Count("request not understood: " + reason)
	c.frontend.server.RejectUnparsed(c, stream, "not understood: "+reason)
}
