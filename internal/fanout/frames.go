package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/frame"
	"quartzpoint/internal/writequeue"
)

const (
	mostOpen   = 32 // calls on a connection, as the protocol says
	mostResult = 4 << 10
	mostInbox  = 1024 // answers read ahead of the owner of decisions; then the dependency waits
	outBound   = 256 << 10
	dialWait   = time.Second
	firstPause = 50 * time.Millisecond
	mostPause  = 2 * time.Second
	readSize   = 16 << 10
)

// Sent is one attempt of a call, from its sending to its end.
type Sent struct {
	Op     string
	Number string // the same for all attempts of a numbered call
	Body   []byte
	Within time.Duration

	flight        *budget.Execution
	call, attempt int
	dependency    int
	cancelled     bool
	at            time.Time
}

// Back is how an attempt ended.
type Back struct {
	Sent *Sent
	How  budget.Outcome
	Body []byte
}

// Transport carries calls to one dependency. All but its own goroutines' work is called by the owner of
// decisions, and nothing of it waits. Each Sent that was taken is given back at most once.
type Transport interface {
	// Send takes a call, or tells that there is no way to the dependency now: then nothing was sent.
	Send(s *Sent) bool
	// Cancel tells the dependency that nobody waits any more. The end, if it comes, is given back all the same.
	Cancel(s *Sent)
	Take(into []Back) []Back
	// Turn lets go of connections that owe answers and say nothing.
	Turn(now time.Time)
	Flush()
	// Up is the number of connections that take calls.
	Up() int
}

// frames carries calls in the routers' frames over a few connections, each with many calls open. They are plain
// sockets with one goroutine that reads: netpoll gives connections that it dials no context, so their callbacks
// could not be brought to their owner.
type frames struct {
	name    string
	address string
	silence time.Duration
	linger  time.Duration
	log     *slog.Logger
	saw     func(string)
	wake    func()

	mu    sync.Mutex
	rng   *rand.Rand
	taken sync.Cond
	over  bool
	links []*link
	inbox []Back
}

// link is one connection, dialled anew whenever it is lost.
type link struct {
	of      *frames
	socket  net.Conn
	raw     syscall.RawConn
	out     *writequeue.Queue
	open    map[uint32]*Sent
	streams map[*Sent]uint32
	stream  uint32
	closing bool // the dependency asked for no more calls here
	heard   time.Time
}

// Dial keeps connections to a dependency up until the context ends; over is done once all of them have.
func Dial(
	ctx context.Context, d Dependency, seed int64, log *slog.Logger, saw func(string), wake func(), over *sync.WaitGroup,
) Transport {
	f := &frames{
		name: d.Name, address: d.Address, silence: d.Silence, linger: d.Linger, log: log, saw: saw, wake: wake,
		rng: rand.New(rand.NewSource(seed)),
	}
	f.taken.L = &f.mu
	for range d.Connections {
		l := &link{of: f}
		f.links = append(f.links, l)
		over.Add(1)
		go func() {
			defer over.Done()
			l.run(ctx)
		}()
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.over = true
		for _, l := range f.links {
			if l.socket != nil {
				l.socket.Close()
			}
		}
		f.taken.Broadcast()
	})
	return f
}

// run dials, reads to the end, and dials again after a pause that grows, with jitter: all servers lose a
// dependency that restarts at the same moment.
func (l *link) run(ctx context.Context) {
	pause, down := firstPause, false
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialWait}
		socket, err := dialer.DialContext(ctx, "tcp", l.of.address)
		if err == nil {
			begin := time.Now()
			err = l.hold(socket)
			down = false
			if time.Since(begin) > mostPause {
				pause = firstPause
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			down = true
			l.of.saw("connection to a dependency lost or refused")
			l.of.log.Warn("dependency connection down", "dependency", l.of.name, "error", err)
		}
		l.of.mu.Lock()
		jitter := time.Duration(l.of.rng.Int63n(int64(pause)))
		l.of.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + jitter):
			pause = min(2*pause, mostPause)
		}
	}
}

// hold serves a connection to its end.
func (l *link) hold(socket net.Conn) error {
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		socket.Close()
		return fmt.Errorf("descriptor: %w", err)
	}
	f := l.of
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		socket.Close()
		return net.ErrClosed
	}
	l.socket, l.raw, l.out = socket, raw, writequeue.New(outBound)
	l.open, l.streams = map[uint32]*Sent{}, map[*Sent]uint32{}
	l.stream, l.closing, l.heard = 0, false, time.Now()
	f.mu.Unlock()
	f.log.Info("dependency connection up", "dependency", f.name)
	err = l.read(socket)
	f.mu.Lock()
	socket.Close()
	l.socket, l.raw = nil, nil
	for _, s := range l.open { // each by itself; the owner sorts them by when they were sent
		f.inbox = append(f.inbox, Back{Sent: s, How: budget.Lost})
	}
	l.open, l.streams, l.out = nil, nil, nil
	f.mu.Unlock()
	f.wake()
	return err
}

func (l *link) read(socket net.Conn) error {
	var part []byte
	chunk := make([]byte, readSize)
	for {
		n, err := socket.Read(chunk)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		part = append(part, chunk[:n]...)
		rest := part
		l.of.mu.Lock()
		l.heard = time.Now()
		for {
			f, after, ok, err := frame.ParseAnswer(rest)
			if err == nil && ok && f.SkipBytes > 0 {
				err = fmt.Errorf("answer of over %d bytes", frame.MaxBuffered)
			}
			if err != nil {
				l.of.mu.Unlock()
				l.of.saw("dependency answers what can't be read")
				return err
			}
			if !ok {
				break
			}
			rest = after
			l.take(f)
		}
		for len(l.of.inbox) >= mostInbox && !l.of.over {
			l.of.wake()
			l.of.taken.Wait()
		}
		l.of.mu.Unlock()
		l.of.wake()
		part = part[:copy(part, rest)]
	}
}

// take files an answer. What can't be understood, or answers no open call, is counted and changes nothing but
// that the call it answers has failed.
func (l *link) take(f frame.Frame) {
	if f.Type == frame.GoAway {
		l.closing = true
		l.end()
		return
	}
	s := l.open[f.Stream]
	if s == nil {
		l.of.saw("dependency answers no open call")
		return
	}
	delete(l.open, f.Stream)
	delete(l.streams, s)
	l.end()
	back := Back{Sent: s, How: budget.Failed}
	var body []byte
	if len(f.Payload) > 1 {
		var err error
		if _, body, err = frame.SplitPayload(f.Payload[1:]); err != nil {
			l.of.saw("dependency answers what can't be read")
			l.of.inbox = append(l.of.inbox, back)
			return
		}
	}
	switch {
	case len(f.Payload) > 0 && f.Payload[0] == frame.Served && len(body) <= mostResult:
		back.How, back.Body = budget.Succeeded, append([]byte{}, body...)
	case len(f.Payload) > 0 && f.Payload[0] == frame.Rejected:
		back.How = budget.Rejected
	}
	l.of.inbox = append(l.of.inbox, back)
}

// end closes a connection that takes no more calls once all on it are answered.
func (l *link) end() {
	if l.closing && len(l.open) == 0 {
		l.socket.Close()
	}
}

func (l *link) takes() bool {
	return l.socket != nil && !l.closing && len(l.open) < mostOpen
}

// Send puts a call on the connection with the fewest.
func (f *frames) Send(s *Sent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var least *link
	for _, l := range f.links {
		if l.takes() && (least == nil || len(l.open) < len(least.open)) {
			least = l
		}
	}
	if least == nil {
		return false
	}
	s.at = time.Now()
	ms := max(s.Within.Milliseconds(), 1)
	fields := []frame.Field{
		{Name: "op", Value: s.Op}, {Name: "call", Value: fmt.Sprintf("%016x", f.rng.Uint64())},
		{Name: "recv", Value: strconv.FormatInt(s.at.UnixMilli(), 10)},
		{Name: "ttl", Value: strconv.FormatInt(ms, 10)}, {Name: "heap", Value: "1"},
	}
	if s.Number != "" {
		fields = append(fields, frame.Field{Name: "num", Value: s.Number})
	}
	head := frame.AppendHead(nil, frame.Request, least.stream+1, 0, fields, len(s.Body))
	if least.out.Add(head, s.Body) != nil { // it does not read: all on it is in doubt, but not this one
		least.socket.Close()
		return false
	}
	least.stream++
	least.open[least.stream], least.streams[s] = s, least.stream
	return true
}

// Cancel tells the dependency that a call is not waited for.
func (f *frames) Cancel(s *Sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if stream, open := l.streams[s]; open {
			_ = l.out.Add(frame.AppendHead(nil, frame.Cancel, stream, 0, nil, 0)) // a full box ends the link with the next call
			return
		}
	}
}

// Take gives all answers read since the last call, behind into.
func (f *frames) Take(into []Back) []Back {
	f.mu.Lock()
	defer f.mu.Unlock()
	into = append(into, f.inbox...)
	clear(f.inbox)
	f.inbox = f.inbox[:0]
	f.taken.Broadcast()
	return into
}

// Turn forgets calls that nobody has waited for since long, and closes connections that have owed an answer for
// longer than a live dependency is silent.
func (f *frames) Turn(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if l.socket == nil {
			continue
		}
		waited := time.Duration(0)
		for stream, s := range l.open { // each by itself
			age := now.Sub(s.at)
			if s.cancelled && age > f.linger+f.silence {
				delete(l.open, stream)
				delete(l.streams, s)
				continue
			}
			waited = max(waited, age)
		}
		if min(waited, now.Sub(l.heard)) > f.silence {
			f.saw("dependency connection silent, dialled anew")
			l.socket.Close()
		}
	}
}

// Flush writes what waits, as far as the dependency reads.
func (f *frames) Flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if l.socket == nil || l.out.Empty() {
			continue
		}
		if l.out.FlushTo(l.raw) != nil {
			l.socket.Close()
		}
	}
}

// Up is the number of connections that take calls.
func (f *frames) Up() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if l.takes() {
			n++
		}
	}
	return n
}
