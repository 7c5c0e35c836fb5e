package frontend

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/events"
	"quartzpoint/internal/frame"
	"quartzpoint/internal/poller"
	"quartzpoint/internal/server"
	"quartzpoint/internal/sysfault"
	"quartzpoint/internal/writequeue"
)

const deaf = "peer does not read"

const (
	mostOpen   = 32      // tasks on a connection
	mostBody   = 2 << 10 // bytes of a task
	mostAnswer = 4<<10 + 256
	mostHeap   = 2000.0 // KB booked for a task
	mostNumber = 256    // bytes of the number of a task
	mostWaits  = 24 * time.Hour
)

// connKey finds a connection in its context.
type connKey struct{}

// conn is one connection of a router. It belongs to the owner of decisions, but for what mu guards.
type conn struct {
	front *Frontend
	link  netpoll.Connection

	mu   sync.Mutex
	gone bool // the descriptor may already stand for another file
	fd   int
	half bool        // its peer has ended its side, and fd is our own duplicate: netpoll has let go of the connection
	ours atomic.Bool // the end of the connection was asked for here

	open    map[uint32]*server.Request // nil values never stand in it
	highest uint32                     // stream so far; they go from 1 up, so no list of those used is needed
	part    []byte                     // the beginning of a frame whose rest has not come
	beyond  int                        // bytes to pass over
	out     *writequeue.Queue
	dirty   bool
	dead    bool
	retired bool
	spoke   bool // it has sent a frame that was understood
	crowds  bool // it came where the whole table was in use
	broken  bool // nothing more is read from it; what is open on it is still answered
	hushed  bool // and its router was told that nothing more comes
	born    time.Duration
	begun   time.Duration // when the frame that has not ended yet began, 0 without one
	last    time.Duration // when it last carried a whole frame
	askedAt time.Duration // to send nothing more

	closing poller.DeferredClose
}

func newConn(f *Frontend, link netpoll.Connection) *conn {
	return &conn{
		front: f, link: link, fd: link.(netpoll.Conn).Fd(),
		open: map[uint32]*server.Request{}, out: writequeue.New(mostOpen * mostAnswer),
		born: f.server.Now(), last: f.server.Now(),
	}
}

// join is the connection's first turn with the owner.
func (c *conn) join() { c.front.joined(c) }

// ended is netpoll's callback for the end of a connection, from whichever goroutine noticed it. It comes
// before the descriptor is closed and used again for another file.
func (c *conn) ended(netpoll.Connection) error {
	c.mu.Lock()
	c.half = !c.ours.Load() && c.keepWriting()
	c.gone = !c.half
	half := c.half
	c.mu.Unlock()
	if half {
		c.front.server.Submit(c.halfClosed)
	} else {
		c.front.server.Submit(c.leave)
	}
	return nil
}

// leave tells the server that nobody waits for what is open here.
func (c *conn) leave() {
	c.mu.Lock()
	if c.half && !c.gone {
		_ = unix.Close(c.fd) // our own duplicate
	}
	c.gone = true
	c.mu.Unlock()
	c.die()
	c.front.left(c)
	for _, stream := range slices.Sorted(maps.Keys(c.open)) {
		c.front.server.Cancel(c.open[stream])
	}
	clear(c.open)
}

// close ends the connection at once.
func (c *conn) close(reason string) {
	c.front.server.Events().Record(events.ConnectionClosed, reason, slog.String("peer", c.link.RemoteAddr().String()),
		slog.Int("open", len(c.open)), slog.Int("unread", c.out.Size()), slog.Duration("idle", c.front.server.Now()-c.last))
	if c.isHalf() {
		c.leave()
		return
	}
	c.die()
	c.ours.Store(true)
	c.closing.Close(c.link)
}

// closingOf finds what closes a connection in its context.
func closingOf(ctx context.Context) *poller.DeferredClose {
	return &ctx.Value(connKey{}).(*conn).closing
}

// die lets go of what waits for the peer.
func (c *conn) die() {
	c.dead = true
	c.front.waiting -= c.out.Size()
	c.out = writequeue.New(0)
}

// quiet tells whether nothing waits to be read: neither with netpoll nor with the system.
func (c *conn) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// In this order: bytes leave the system for netpoll, never back.
	return c.gone || c.half || !c.sent() && c.link.Reader().Len() == 0
}

// sent tells whether the system holds bytes of the peer's. That it has ended its side is none.
func (c *conn) sent() bool {
	n, err := peek(c.fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		return sysfault.IsTransient(err) // not known: a close over bytes would lose them
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

// read is netpoll's callback for bytes that came; the poller brings it to the owner. It must take all there
// is: netpoll calls again at once for as long as anything is left.
func read(ctx context.Context, link netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	in := link.Reader()
	if in.Len() > c.front.ahead && !c.dead {
		c.cutOff("sends faster than can be read") // netpoll reads on whether or not its callbacks keep up
	}
	bytes, err := in.Next(in.Len())
	if err != nil {
		return err
	}
	if !c.dead && !c.broken {
		c.take(bytes)
	}
	return in.Release()
}

// take goes through what was read. Frames are parsed in place; only the beginning of one whose rest has not
// come is copied.
func (c *conn) take(bytes []byte) {
	now := c.front.server.Now()
	inPieces := len(c.part) > 0 // the first frame
	if inPieces {
		c.part = append(c.part, bytes...)
		bytes = c.part
	}
	for !c.dead && !c.broken {
		over := min(c.beyond, len(bytes))
		bytes, c.beyond = bytes[over:], c.beyond-over
		f, rest, ok, err := frame.Parse(bytes)
		if err != nil {
			c.fail(err.Error())
			return
		}
		if !ok {
			break
		}
		bytes, c.beyond = rest, f.SkipBytes
		c.last, c.begun = now, 0
		switch {
		case f.Type == frame.HealthCheck:
			c.check(f)
		case f.Type == frame.Request:
			c.task(f, inPieces)
		case c.front.tells && f.SkipBytes == 0:
			c.cancel(f)
		default:
			c.fail(frame.ErrUnknownType.Error())
		}
		inPieces = false
	}
	if c.dead || c.broken {
		return
	}
	kept := c.part[:0]
	if len(bytes) == 0 || cap(kept) > 2*frame.MaxBuffered {
		kept = nil // neither an idle connection nor one that once sent much at a time holds a buffer of that size
	}
	c.part = append(kept, bytes...)
	if len(c.part) == 0 && c.beyond == 0 {
		c.begun = 0
	} else if c.begun == 0 {
		c.begun = now
	}
}

func (c *conn) check(f frame.Frame) {
	fields, _, err := frame.SplitPayload(f.Payload)
	if err != nil {
		c.fail(err.Error())
		return
	}
	c.spoke = true
	deep, _ := fields.Get("e2e")
	c.front.server.CheckHealth(c, f.Stream, string(deep) == "1")
}

// cancel takes that nobody waits for a task any longer. It may cross the answer.
func (c *conn) cancel(f frame.Frame) {
	if request := c.open[f.Stream]; request != nil {
		delete(c.open, f.Stream)
		c.front.server.Cancel(request)
	}
}

// task takes a task. What breaks the framing ends the connection; what is whole but can't be
// understood is dismissed, as then the router knows that it never ran.
func (c *conn) task(f frame.Frame, inPieces bool) {
	switch {
	case f.Stream <= c.highest:
		c.fail("stream used before")
		return
	case len(c.open) >= mostOpen:
		c.fail("too many open tasks")
		return
	case f.SkipBytes > 0:
		c.highest = f.Stream
		c.dismiss(f.Stream, "length")
		return
	}
	c.highest = f.Stream
	fields, body, err := frame.SplitPayload(f.Payload)
	if err != nil {
		c.fail(err.Error())
		return
	}
	asked, err := c.asked(fields, body)
	if err != nil {
		c.dismiss(f.Stream, err.Error())
		return
	}
	asked.Caller, asked.Stream = c, f.Stream
	if inPieces { // its last byte may have come long after its stamp
		asked.LastByteAt = c.last
	}
	c.crowds = c.crowds && !c.front.makeRoom(c)
	asked.OverLimit = c.crowds && c.front.inUse() >= c.front.most
	if request := c.front.server.Receive(asked); request != nil {
		c.open[f.Stream], c.spoke = request, true
	}
}

func (c *conn) dismiss(stream uint32, why string) {
	c.front.counts.Count("task not understood: " + why)
	c.front.server.RejectUnparsed(c, stream, "not understood: "+why)
}

// asked reads a task's fields. Nothing of it points into what was read.
func (c *conn) asked(fields frame.Fields, body []byte) (in server.Incoming, err error) {
	text := func(name string) string {
		value, _ := fields.Get(name)
		return string(value)
	}
	in.Route, in.ID = text("op"), text("call")
	if !isCall(in.ID) {
		return in, errors.New("call")
	}
	if len(body) > mostBody {
		return in, errors.New("body")
	}
	came, err := strconv.ParseInt(text("recv"), 10, 64)
	if err != nil || !c.front.server.PlausibleStamp(came) {
		return in, errors.New("recv")
	}
	if left := text("ttl"); left != "" {
		ms, err := strconv.ParseInt(left, 10, 64)
		if err != nil || ms <= 0 || ms > mostWaits.Milliseconds() {
			return in, errors.New("ttl")
		}
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	in.HeldKB, err = strconv.ParseFloat(text("heap"), 64)
	if err != nil || !(in.HeldKB > 0 && in.HeldKB < mostHeap) {
		return in, errors.New("heap")
	}
	// Rank and router only steer: without them the task is the first to be kept away, of an unnamed router.
	in.Rank, err = strconv.ParseFloat(text("crit"), 64)
	if err != nil || !(in.Rank >= 0 && in.Rank < 1) {
		in.Rank = 0
	}
	customer := text("org")
	in.Tenant = c.front.server.TenantIndex(customer)
	if number := text("dedupe"); number != "" {
		if len(number) > mostNumber {
			return in, errors.New("number")
		}
		// A customer's number is never another's. A repeat with another body asks for something else.
		in.Key, in.Fingerprint = customer+"\x00"+number, xxhash.Sum64(body)
	}
	router, _ := strconv.ParseUint(text("src"), 10, 32)
	in.Router, in.SentUnixMS = uint32(router), came
	in.Body = append([]byte(nil), body...)
	return in, nil
}

// isCall tells whether a name is sixteen hexadecimal digits.
func isCall(name string) bool {
	for i := range len(name) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", rune(name[i])) {
			return false
		}
	}
	return len(name) == 16
}

// codes are the protocol's codes for verdicts.
var codes = map[server.Verdict]byte{
	server.Served:      frame.Served,
	server.Rejected:    frame.Rejected,
	server.Aborted:     frame.Aborted,
	server.KeyConflict: frame.Aborted, // the other one may have run: what is dismissed may be sent elsewhere
}

// Answer puts the one answer to a task behind what waits to be written.
func (c *conn) Answer(stream uint32, a server.Answer) {
	delete(c.open, stream)
	fields := withLevel(a.ShedLevel)
	if a.RetryAfter > 0 {
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		fields = append(fields, frame.Field{Name: "pushback", Value: strconv.FormatInt(int64(ms), 10)})
	}
	if a.NoRetryElsewhere {
		fields = append(fields, frame.Field{Name: "stop", Value: "1"})
	}
	c.put(frame.AppendHead(nil, frame.Answer, stream, codes[a.Verdict], fields, len(a.Result)), a.Result)
}

// ReportHealth answers a health check.
func (c *conn) ReportHealth(stream uint32, good bool, level string) {
	code := byte(frame.Healthy)
	if !good {
		code = frame.Unhealthy
	}
	c.put(frame.AppendHead(nil, frame.HealthStatus, stream, code, withLevel(level), 0))
}

func withLevel(level string) []frame.Field {
	if level == "" {
		return nil
	}
	return []frame.Field{{Name: "load", Value: level}}
}

// retire asks the router to send nothing more here and to close once all is answered.
func (c *conn) retire(reason string) {
	if c.retired || c.broken {
		return
	}
	c.front.server.Events().Record(events.ConnectionDraining, reason, slog.String("peer", c.link.RemoteAddr().String()),
		slog.Int("open", len(c.open)))
	c.retired = true
	c.last = c.front.server.Now()
	c.askedAt = c.last
	c.put(frame.AppendHead(nil, frame.GoAway, 0, 0, nil, 0))
}

// fail tells of an error that belongs to no task and reads nothing more. Whoever sent what is open here waits still,
// so the connection ends once that is answered.
func (c *conn) fail(why string) {
	c.front.counts.Count("connection closed: " + why)
	c.front.server.Events().Record(events.ConnectionClosed, "broken: "+why,
		slog.String("peer", c.link.RemoteAddr().String()), slog.Int("open", len(c.open)))
	c.broken, c.part, c.begun, c.beyond = true, nil, 0, 0
	c.last = c.front.server.Now()
	c.put(frame.AppendHead(nil, frame.Answer, 0, frame.Aborted, nil, len(why)), []byte(why))
}

// cutOff ends a connection at once, with all that is open on it: its peer takes what all others need.
func (c *conn) cutOff(why string) {
	c.front.counts.Count("connection closed: " + why)
	c.close(why)
}

// hush ends our side of a broken connection once all is answered and written. It is closed when its router has read
// that and closes too, or by time: closed at once, with bytes unread, it would be reset, and what was just written
// lost with it.
func (c *conn) hush() {
	if !c.broken || c.hushed || c.dead || len(c.open) > 0 || !c.out.Empty() {
		return
	}
	c.hushed = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone && unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.last = 0 // closed when next looked at
	}
}

// reasonOf is the system's word for a failed write, which is one of few.
func reasonOf(err error) string {
	var number syscall.Errno
	if errors.As(err, &number) {
		return number.Error()
	}
	return "the connection is gone"
}

// put adds pieces to what waits for the peer. One that has not read for so long that its box is full is cut off:
// waiting for it would cost all others. Where the share of memory that all boxes have is full, the one goes for which
// most waits.
func (c *conn) put(pieces ...[]byte) {
	if c.dead {
		return
	}
	before := c.out.Size()
	err := c.out.Add(pieces...)
	c.front.waiting += c.out.Size() - before
	if err != nil {
		c.cutOff(deaf)
		return
	}
	if c.front.waiting > c.front.bound {
		c.front.relieve()
	}
	if !c.dirty {
		c.dirty = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

// flush writes what the peer takes and tells whether that was all.
func (c *conn) flush() (all bool) {
	if c.dead {
		return true
	}
	before := c.out.Size()
	c.mu.Lock()
	var err error
	if !c.gone {
		err = c.out.Flush(c.fd)
	}
	c.mu.Unlock()
	c.front.waiting += c.out.Size() - before
	if before > c.out.Size() {
		c.last = c.front.server.Now()
	}
	if err != nil {
		c.close("answers can't be written: " + reasonOf(err))
		return true
	}
	return c.out.Empty()
}
