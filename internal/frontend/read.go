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

// inputEmpty is whether nothing waits to be read, neither with netpoll nor with the system.
func (c *conn) inputEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// In this order: bytes leave the system for netpoll, never back.
	return c.closed || c.halfClosed || !c.unreadInSystem() && c.transport.Reader().Len() == 0
}

// unreadInSystem is whether the system holds bytes of the peer's. That it has ended its side is none.
func (c *conn) unreadInSystem() bool {
	n, err := peek(c.fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		return sysfault.IsTransient(err) // where that is not known: a close over bytes would lose them
	}
	return n > 0
}

// peek looks for a byte that the system holds, and leaves it there. Nothing and no error is the end of the peer's side.
func peek(fd int) (n int, err error) {
	var first [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// onReadable is netpoll's callback for bytes that came; it runs on the event loop. It must take all there is: netpoll calls
// again at once for as long as anything is left.
func onReadable(ctx context.Context, transport netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	in := transport.Reader()
	if in.Len() > c.frontend.maxReadAhead && !c.dead {
		c.cutOff("sends faster than can be read") // netpoll reads on whether or not its callbacks keep up
	}
	bytes, err := in.Next(in.Len())
	if err != nil {
		return err
	}
	if !c.dead && !c.broken {
		c.parse(bytes)
	}
	return in.Release()
}

// parse handles all frames that were read. They are parsed in place; only the beginning of one whose rest has not come is
// copied.
func (c *conn) parse(bytes []byte) {
	now := c.frontend.server.Now()
	inPieces := len(c.partial) > 0 // the first frame
	if inPieces {
		c.partial = append(c.partial, bytes...)
		bytes = c.partial
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

// handle handles one frame; inPieces says that it did not come at once.
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

// keepPartial copies the beginning of a frame whose rest has not come.
func (c *conn) keepPartial(bytes []byte, now time.Duration) {
	kept := c.partial[:0]
	if len(bytes) == 0 || cap(kept) > 2*frame.MaxBuffered {
		kept = nil // neither an idle connection nor one that once sent much at a time holds a buffer of that size
	}
	c.partial = append(kept, bytes...)
	if len(c.partial) == 0 && c.skipBytes == 0 {
		c.frameBegunAt = 0
	} else if c.frameBegunAt == 0 {
		c.frameBegunAt = now
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

// handleCancel takes that nobody waits for a request any longer. It may cross the answer.
func (c *conn) handleCancel(f frame.Frame) {
	if request := c.requests[f.Stream]; request != nil {
		delete(c.requests, f.Stream)
		c.frontend.server.Cancel(request)
	}
}

// handleRequest hands a request to the event loop. What breaks the framing fails the connection; a complete frame that is no
// valid request is rejected, as then the router knows that it never ran.
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
	if inPieces { // its last byte may have come long after its stamp
		in.LastByteAt = c.activeAt
	}
	c.overLimit = c.overLimit && !c.frontend.makeRoom(c)
	in.OverLimit = c.overLimit && c.frontend.inUse() >= c.frontend.maxConns
	if request := c.frontend.server.Receive(in); request != nil {
		c.requests[f.Stream], c.sawFrame = request, true
	}
}

func (c *conn) reject(stream uint32, reason string) {
	c.frontend.counters.Count("request not understood: " + reason)
	c.frontend.server.RejectUnparsed(c, stream, "not understood: "+reason)
}
