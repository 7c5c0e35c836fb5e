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
	maxInFlight     = 32        // calls in flight per connection, as specified by the protocol
	maxResult       = 4 << 10   // bytes of a response's body
	writeQueueLimit = 256 << 10 // bytes
	readSize        = 16 << 10  // bytes
	dialTimeout     = time.Second
	minBackoff      = 50 * time.Millisecond // between dials; doubles until a connection lasts longer than maxBackoff
	maxBackoff      = 2 * time.Second
)

// errResponseTooLong closes the connection, because the transport does not skip frames that are too long.
var errResponseTooLong = fmt.Errorf("response of over %d bytes", frame.MaxBuffered)

// connection is one connection of a transport. It is dialled again whenever it is lost. run is its goroutine.
// transport.mu guards all fields except transport.
type connection struct {
	transport  *frameTransport
	socket     net.Conn // nil while not connected, as are raw, writes, inFlight and streams
	raw        syscall.RawConn
	writes     *writequeue.Queue
	inFlight   map[uint32]*Attempt // by stream
	streams    map[*Attempt]uint32
	lastStream uint32
	draining   bool // the dependency has sent a go-away
	lastReadAt time.Time
}

// run dials, serves the connection until it ends, and dials again after a backoff with jitter: when a dependency
// restarts, all servers lose their connections at the same time and must not reconnect at the same time.
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

// serve reads from a connection until it ends. Attempts that are in flight at the end are lost. The returned error
// states why the connection ended and is never nil.
func (c *connection) serve(socket net.Conn) error {
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return errors.Join(fmt.Errorf("get descriptor: %w", err), socket.Close())
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
	for _, attempt := range c.inFlight { // in any order: Composer.Advance sorts the responses
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
	var unparsed []byte // the beginning of an incomplete frame
	chunk := make([]byte, readSize)
	for {
		n, err := socket.Read(chunk)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		unparsed = append(unparsed, chunk[:n]...)
		t.mu.Lock()
		c.lastReadAt = time.Now()
		rest, err := c.receiveAll(unparsed)
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
		unparsed = unparsed[:copy(unparsed, rest)]
	}
}

// receiveAll handles all complete frames of a buffer and returns the rest of it.
func (c *connection) receiveAll(buffer []byte) (rest []byte, err error) {
	for {
		f, after, complete, err := frame.ParseAnswer(buffer)
		if err != nil {
			return nil, fmt.Errorf("parse frame: %w", err)
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

// receive handles one frame. A response to no call in flight is counted and dropped; a response that cannot be decoded
// fails its call.
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
		t.respond(attempt, budget.Succeeded, append([]byte{}, body...)) // copied, because the buffer is reused
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

// available reports whether the connection can accept another call.
func (c *connection) available() bool {
	return c.socket != nil && !c.draining && len(c.inFlight) < maxInFlight
}
