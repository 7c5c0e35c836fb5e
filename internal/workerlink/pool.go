// Package workerlink holds the link to the worker pool: commands out, notices in, and the link bound anew whenever
// it is lost.
package workerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/writequeue"
)

const (
	mostLine    = 64 << 10 // a result of 4 KiB takes 6 KiB; longer lines are nothing the pool would say
	mostNotices = 4096     // read ahead of the owner of decisions; then the pool waits
	firstWait   = 10 * time.Millisecond
	mostWait    = 500 * time.Millisecond
	dialWait    = time.Second
	settleWait  = 250 * time.Millisecond // for the old link of a move to tell that it read all commands
)

// line is a notice as the pool writes it.
type line struct {
	Verb     string    `json:"verb"`
	Index    uint64    `json:"index"`
	Task     string    `json:"task"`
	Outcome  string    `json:"outcome"`
	Spent    float64   `json:"spent"`
	Nonce    string    `json:"nonce"`
	Readings []float64 `json:"readings"`
	Bytes    string    `json:"bytes"`
}

// Link is the connection to the worker pool. Run keeps it up; all else is called by the one owner of
// decisions and never waits for the pool.
type Link struct {
	bound int
	log   *slog.Logger
	saw   func(what string)
	wake  func()
	moves chan struct{} // the address was stated anew

	mu      sync.Mutex
	address string
	taken   sync.Cond // the owner took what had been read
	socket  *net.TCPConn
	raw     syscall.RawConn
	out     *writequeue.Queue
	known   bool   // the pool has answered the bind
	synced  bool   // and a poll behind that
	syncAt  uint64 // nonce of the first such poll
	nonce   uint64 // of the last poll
	quitAt  uint64 // nonce of the poll behind the last command of a link about to be replaced, 0 without one
	quit    chan struct{}
	read    uint64 // number of the last notice read
	missing uint64 // number of a notice that did not come and was asked for by a new bind
	inbox   []workerapi.Notice
}

// New makes a link to a pool's address that holds at most bound bytes of commands. It calls wake when there
// are notices to take, and saw for what is to be counted.
func New(address string, bound int, log *slog.Logger, saw func(string), wake func()) *Link {
	l := &Link{address: address, bound: bound, log: log, saw: saw, wake: wake, moves: make(chan struct{}, 1)}
	l.taken.L = &l.mu
	return l
}

// Run dials, binds and reads until the context ends. A pool that is not there yet, or any more, is asked
// again in growing spans, as a loop of refused connections would cost cores that tasks need.
func (l *Link) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.socket != nil {
			l.socket.Close()
		}
		l.taken.Broadcast()
	})()
	wait, down := firstWait, false
	var next *net.TCPConn // what a move has opened already
	for ctx.Err() == nil {
		var err error
		if next == nil {
			next, err = l.dial(ctx)
		}
		if err == nil {
			begin := time.Now()
			next, err = l.hold(ctx, next)
			if down = false; time.Since(begin) > mostWait {
				wait = 0 // at once: cores run empty meanwhile. One that ends as soon as it is up is asked in growing spans
			}
		}
		if ctx.Err() != nil {
			break
		}
		if next != nil {
			l.log.Info("pool link moves", "to", next.RemoteAddr().String())
			continue
		}
		if !down { // once for each loss, not for each try to make it good
			down = true
			l.saw("pool link lost or refused")
			l.log.Warn("pool link down", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-l.moves: // the new address may well answer at once
			wait = firstWait
		case <-time.After(wait):
			wait = min(max(2*wait, firstWait), mostWait)
		}
	}
	if next != nil {
		next.Close()
	}
}

func (l *Link) dial(ctx context.Context) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: dialWait}
	c, err := dialer.DialContext(ctx, "tcp", l.target())
	if err != nil {
		return nil, fmt.Errorf("pool: %w", err)
	}
	return c.(*net.TCPConn), nil
}

func (l *Link) target() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// SetAddress has the link go on at another address of the same pool. Nothing of it waits here.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	l.address = address
	l.mu.Unlock()
	select {
	case l.moves <- struct{}{}:
	default:
	}
}

// hold serves a link to its end and gives the next one where a move has opened it.
func (l *Link) hold(ctx context.Context, socket *net.TCPConn) (next *net.TCPConn, ended error) {
	ctx, end := context.WithCancel(ctx)
	opened := make(chan *net.TCPConn, 1)
	go func() { opened <- l.follow(ctx, socket.RemoteAddr().String()) }()
	ended = l.serve(ctx, socket)
	l.drop()
	end()
	return <-opened, ended
}

// follow waits for a new address and opens it while the old link still works; only then is the old one let
// go, so that an address that does not answer costs nothing until the old one ends. The pool drops the
// commands that it has not read from a link once another one is bound, so the last command on the old one
// is a poll, and until its answer none follows: then nothing is in doubt. A pool that leaves that poll
// unanswered costs settleWait, in which tasks are held, and the doubts of a lost link.
func (l *Link) follow(ctx context.Context, from string) *net.TCPConn {
	var again <-chan time.Time // to try a new address that did not answer
	wait := firstWait
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.moves:
			wait = firstWait
		case <-again:
			wait = min(2*wait, mostWait)
		}
		again = nil
		if l.target() == from { // moved back, or a signal of the move that led here
			continue
		}
		next, err := l.dial(ctx)
		if err == nil {
			l.settle(ctx)
			return next
		}
		again = time.After(wait)
	}
}

// settle ends a link that works behind the answer to its last poll.
func (l *Link) settle(ctx context.Context) {
	l.mu.Lock()
	quit := make(chan struct{})
	if l.synced {
		l.quit, l.quitAt = quit, l.poll()
	} else {
		close(quit)
	}
	l.mu.Unlock()
	l.Flush()
	select {
	case <-ctx.Done():
	case <-quit:
	case <-time.After(settleWait):
		l.saw("pool did not answer the last poll of a link that moved")
	}
	l.mu.Lock()
	if l.socket != nil {
		l.socket.Close()
	}
	l.mu.Unlock()
}

// serve binds a new link and reads it to its end.
func (l *Link) serve(ctx context.Context, socket *net.TCPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("descriptor of the link: %w", err)
	}
	l.mu.Lock()
	l.socket, l.raw, l.out = socket, raw, writequeue.New(l.bound)
	bind := append(strconv.AppendUint([]byte(`{"verb":"bind","index":`), l.read, 10), "}\n"...)
	err = l.out.Add(bind)
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	l.Flush()
	in := bufio.NewReaderSize(socket, mostLine)
	for {
		// A line that can't be read is passed over. If it was a notice, its number is missing before the next one,
		// and the pool is asked to tell it again.
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			l.saw("pool line that is no notice")
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = in.ReadSlice('\n')
			}
			text = nil
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		if text == nil {
			continue
		}
		var told line
		if err := json.Unmarshal(text, &told); err != nil {
			l.saw("pool line that is no notice")
			continue
		}
		ahead, _ := in.Peek(in.Buffered())
		if err := l.file(ctx, &told, bytes.IndexByte(ahead, '\n') < 0); err != nil {
			return err
		}
		if told.Verb == "bound" {
			l.Flush()
		}
	}
}

// errMissed ends a link on which a notice did not come, so that the next one is bound to have it told again.
var errMissed = errors.New("notices missed, to be told again")

// file puts a line's notice into the inbox and wakes the owner behind the last one at hand.
func (l *Link) file(ctx context.Context, told *line, last bool) error {
	l.mu.Lock()
	for len(l.inbox) >= mostNotices && ctx.Err() == nil {
		l.wake()
		l.taken.Wait()
	}
	err := l.sort(told)
	waiting := len(l.inbox) > 0
	l.mu.Unlock()
	if last && waiting {
		l.wake()
	}
	return err
}

// number takes the number of a notice, and tells whether it is a new one. One that did not come before it is asked for
// once: a pool that does not keep it any more leaves it out again.
func (l *Link) number(index uint64) (fresh bool, err error) {
	next := l.read + 1
	switch {
	case index < next:
		l.saw("pool notice told again")
		return false, nil
	case index > next && l.missing != next:
		l.saw("pool notices missed, asked for again")
		l.missing = next
		return false, errMissed
	case index > next:
		l.saw("pool notices missed")
	}
	l.read = index
	return true, nil
}

func (l *Link) sort(told *line) error {
	if told.Index > 0 {
		if fresh, err := l.number(told.Index); !fresh {
			return err
		}
	}
	n := workerapi.Notice{RequestID: told.Task, Outcome: told.Outcome}
	switch told.Verb {
	case "bound":
		// Only now: a pool that is not up yet answers the bind late and takes no other command before.
		l.known = true
		l.syncAt = l.poll()
		l.log.Info("pool link bound", "pool", told.Outcome, "up_ms", told.Spent, "after_notice", l.read)
		n.Kind, n.Duration = workerapi.LinkBound, time.Duration(told.Spent*float64(time.Millisecond))
	case "finished":
		n.Kind, n.Duration = workerapi.RunFinished, time.Duration(told.Spent*float64(time.Millisecond))
		var err error
		if n.Result, err = base64.StdEncoding.DecodeString(told.Bytes); err != nil {
			// The notice is kept: without it the link would be bound, and end, at this line again and again.
			l.saw("pool result that can't be read")
			n.Outcome, n.Result = "failure", nil
		}
	case "blocked":
		n.Kind = workerapi.RunBlocked
		var err error
		if n.Result, err = base64.StdEncoding.DecodeString(told.Bytes); err != nil {
			l.saw("pool call that can't be read") // kept: the run stands there, and may do without
		}
	case "polled", "verified":
		nonce, err := strconv.ParseUint(told.Nonce, 10, 64)
		if err != nil {
			l.saw("pool line that is no notice")
			return nil
		}
		n.Kind, n.Nonce, n.Readings = workerapi.Polled, nonce, told.Readings
		if told.Verb == "verified" {
			n.Kind = workerapi.Verified
		} else if l.known && !l.synced && nonce >= l.syncAt {
			l.synced = true
			l.inbox = append(l.inbox, workerapi.Notice{Kind: workerapi.LinkSynced})
		} else if l.quitAt > 0 && nonce >= l.quitAt && l.quit != nil {
			close(l.quit)
			l.quit = nil
		}
	case "unknown":
		n.Kind = workerapi.CommandFailed
	default:
		return nil // remarks, and whatever a later pool may say beside these
	}
	l.inbox = append(l.inbox, n)
	return nil
}

// drop forgets a link that has ended and tells the owner.
func (l *Link) drop() {
	l.mu.Lock()
	l.socket.Close()
	l.socket, l.raw, l.out, l.known, l.synced, l.quitAt, l.quit = nil, nil, nil, false, false, 0, nil
	l.inbox = append(l.inbox, workerapi.Notice{Kind: workerapi.LinkDown})
	l.mu.Unlock()
	l.wake()
}

// AppendNotices moves all notices read since the last call behind into.
func (l *Link) AppendNotices(into []workerapi.Notice) []workerapi.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	into = append(into, l.inbox...)
	clear(l.inbox)
	l.inbox = l.inbox[:0]
	l.taken.Broadcast()
	return into
}

// NextPollNonce is the nonce that the next poll will carry. Once that is answered, the pool has read all commands
// given before it.
func (l *Link) NextPollNonce() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nonce + 1
}

// Start asks the pool to run a task. It tells whether a link took the command; the same holds below.
func (l *Link) Start(r workerapi.Run) bool {
	text := append(quoted(append(quoted([]byte(`{"verb":"spawn","task":`), r.ID), `,"handler":`...), r.Route), `,"bytes":"`...)
	text = base64.StdEncoding.AppendEncode(text, r.Body)
	return l.send(append(text, "\"}\n"...))
}

// Pause stops a run in the way that the settings name.
func (l *Link) Pause(task string) bool {
	return l.send(append(quoted([]byte(`{"verb":"suspend","task":`), task), "}\n"...))
}

// Resume lets a stopped run go on.
func (l *Link) Resume(task string) bool {
	return l.send(append(quoted([]byte(`{"verb":"proceed","task":`), task), "}\n"...))
}

// ReplyToCall has a run go on from its call with the reply.
func (l *Link) ReplyToCall(task string, reply []byte) bool {
	text := append(quoted([]byte(`{"verb":"supply","task":`), task), `,"bytes":"`...)
	return l.send(append(base64.StdEncoding.AppendEncode(text, reply), "\"}\n"...))
}

// Poll asks for the gauges.
func (l *Link) Poll() (nonce uint64, sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return 0, false
	}
	return l.poll(), l.synced && l.quitAt == 0 // before, it is asked again in case the first was not answered
}

func (l *Link) poll() uint64 {
	l.nonce++
	l.put(fmt.Appendf(nil, "{\"verb\":\"poll\",\"nonce\":\"%d\"}\n", l.nonce))
	return l.nonce
}

// Verify asks for the work of a deep check.
func (l *Link) Verify(nonce uint64) bool {
	return l.send(fmt.Appendf(nil, "{\"verb\":\"verify\",\"nonce\":\"%d\"}\n", nonce))
}

func (l *Link) send(text []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced && l.quitAt == 0 && l.put(text)
}

// put adds a command. A pool that reads none for so long that the box is full loses its link; what it had
// not read is sorted out once it is bound again.
func (l *Link) put(text []byte) bool {
	err := l.out.Add(text)
	if err != nil {
		l.saw("pool link closed: it does not read its commands")
		l.synced = false
		l.socket.Close()
	}
	return err == nil
}

// Flush writes what waits, as far as the pool reads.
func (l *Link) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil || l.out.Empty() {
		return
	}
	if err := l.out.FlushTo(l.raw); err != nil {
		l.log.Warn("pool link closed", "error", err)
		l.synced = false
		l.socket.Close()
	}
}

// quoted appends a JSON string.
func quoted(to []byte, text string) []byte {
	plain := true
	for i := range len(text) {
		plain = plain && text[i] >= ' ' && text[i] < 0x7f && text[i] != '"' && text[i] != '\\'
	}
	if plain {
		return append(append(append(to, '"'), text...), '"')
	}
	escaped, _ := json.Marshal(text) // a string always has a form
	return append(to, escaped...)
}
