package fanout

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/frame"
	"quartzpoint/internal/writequeue"
)

const (
	maxInFlight     = 32        // calls on a connection, as the protocol says
	maxResult       = 4 << 10   // bytes
	writeQueueLimit = 256 << 10 // bytes
	readSize        = 16 << 10  // bytes
	dialTimeout     = time.Second
	minBackoff      = 50 * time.Millisecond // between dials; doubles with each
	maxBackoff      = 2 * time.Second
)

// errResponseTooLong ends a connection: what follows can't be found in the stream any more.
var errResponseTooLong = fmt.Errorf("answer of over %d bytes", frame.MaxBuffered)

// connection is one connection of a transport, dialled again whenever it is lost. Its goroutine is run; transport.mu
// guards all fields but transport.
type connection struct {
	transport  *frameTransport
	socket     net.Conn // nil while there is none, as are raw, writes, inFlight and streams
	raw        syscall.RawConn
	writes     *writequeue.Queue
	inFlight   map[uint32]*Attempt // by stream
	streams    map[*Attempt]uint32
	lastStream uint32
	draining   bool // the dependency asked for no more calls here
	lastReadAt time.Time
}

// run dials, serves the connection to its end, and dials again after a backoff with jitter: when a dependency restarts,
// all servers lose it at the same moment and must not return together.
func (c *connection) run(ctx context.Context) {
	t := c.transport
	backoff, down := minBackoff, false
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		socket, err := dialer.DialContext(ctx, "tcp", t.address)
		if err == nil {
			begin := time.Now()
			err = c.serve(socket)
			down = false
			if time.Since(begin) > maxBackoff {
				backoff = minBackoff
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			down = true
			t.count("connection to a dependency lost or refused")
			t.log.Warn("dependency connection down", "dependency", t.name, "error", err)
		}
		t.mu.Lock()
		jitter := time.Duration(t.rng.Int63n(int64(backoff)))
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + jitter):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// serve reads a connection to its end. Attempts in flight then are lost. The error says why it ended, and is never nil.
func (c *connection) serve(socket net.Conn) error {
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return errors.Join(fmt.Errorf("descriptor: %w", err), socket.Close())
	}
	t := c.transport
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		_ = socket.Close()
		return net.ErrClosed
	}
	c.socket, c.raw, c.writes = socket, raw, writequeue.New(writeQueueLimit)
	c.inFlight, c.streams = map[uint32]*Attempt{}, map[*Attempt]uint32{}
	c.lastStream, c.draining, c.lastReadAt = 0, false, time.Now()
	t.mu.Unlock()
	t.log.Info("dependency connection up", "dependency", t.name)
	err = c.read(socket)
	t.mu.Lock()
	_ = socket.Close()
	c.socket, c.raw = nil, nil
	for _, attempt := range c.inFlight { // in any order: Composer.Advance sorts them
		t.respond(attempt, budget.Lost, nil)
	}
	c.inFlight, c.streams, c.writes = nil, nil, nil
	t.mu.Unlock()
	t.wake()
	return err
}

// read reads frames until the connection ends.
func (c *connection) read(socket net.Conn) error {
	t := c.transport
	var unread []byte // begins with a frame that is not complete yet
	chunk := make([]byte, readSize)
	for {
		n, err := socket.Read(chunk)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		unread = append(unread, chunk[:n]...)
		t.mu.Lock()
		c.lastReadAt = time.Now()
		rest, err := c.receiveAll(unread)
		if err != nil {
			t.mu.Unlock()
			t.count("dependency answers what can't be read")
			return err
		}
		for len(t.inbox) >= maxInbox && !t.closed {
			t.wake()
			t.inboxEmptied.Wait()
		}
		t.mu.Unlock()
		t.wake()
		unread = unread[:copy(unread, rest)]
	}
}

// receiveAll receives all complete frames of a buffer and returns the rest of it.
func (c *connection) receiveAll(buffer []byte) (rest []byte, err error) {
	for {
		f, after, complete, err := frame.ParseAnswer(buffer)
		if err != nil {
			return nil, fmt.Errorf("cutting a frame: %w", err)
		}
		if complete && f.SkipBytes > 0 {
			return nil, errResponseTooLong
		}
		if !complete {
			return buffer, nil
		}
		buffer = after
		c.receive(f)
	}
}

// receive takes one frame. A response to no call in flight is counted and dropped; one that can't be understood fails
// the call it answers.
func (c *connection) receive(f frame.Frame) {
	t := c.transport
	if f.Type == frame.GoAway {
		c.draining = true
		c.closeDrained()
		return
	}
	attempt := c.inFlight[f.Stream]
	if attempt == nil {
		t.count("dependency answers no open call")
		return
	}
	delete(c.inFlight, f.Stream)
	delete(c.streams, attempt)
	c.closeDrained()
	var body []byte
	if len(f.Payload) > 1 {
		var err error
		if _, body, err = frame.SplitPayload(f.Payload[1:]); err != nil {
			t.count("dependency answers what can't be read")
			t.respond(attempt, budget.Failed, nil)
			return
		}
	}
	switch {
	case len(f.Payload) > 0 && f.Payload[0] == frame.Served && len(body) <= maxResult:
		t.respond(attempt, budget.Succeeded, append([]byte{}, body...)) // a copy: the buffer is reused
	case len(f.Payload) > 0 && f.Payload[0] == frame.Rejected:
		t.respond(attempt, budget.Rejected, nil)
	default:
		t.respond(attempt, budget.Failed, nil)
	}
}

// closeDrained closes a draining connection once all its calls have ended.
func (c *connection) closeDrained() {
	if c.draining && len(c.inFlight) == 0 {
		_ = c.socket.Close()
	}
}

// available reports whether the connection takes another call.
func (c *connection) available() bool {
	return c.socket != nil && !c.draining && len(c.inFlight) < maxInFlight
}
