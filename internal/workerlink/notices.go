package workerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"quartzpoint/internal/workerapi"
	"quartzpoint/saturate"
)

// maxLineBytes is the maximum length of a line that is read. A result of 4 KiB takes 6 KiB.
const maxLineBytes = 64 << 10

// errMissed ends a link on which a notice is missing. The next bind makes the pool send it again.
var errMissed = errors.New("notices missed, to be sent again")

// line is a notice as the pool writes it.
type line struct {
	Verb       string    `json:"verb"`
	Index      uint64    `json:"index"` // 0 for notices without one
	RequestID  string    `json:"task"`
	Outcome    string    `json:"outcome"` // for verbUnknown the verb of the failed command, for verbBound the state of the pool
	DurationMS float64   `json:"spent"`   // for verbBound the uptime of the pool
	Nonce      string    `json:"nonce"`
	Readings   []float64 `json:"readings"`
	Body       string    `json:"bytes"` // base64
}

// Verbs of notices.
const (
	verbBound    = "bound"
	verbFinished = "finished"
	verbBlocked  = "blocked"
	verbPolled   = "polled"
	verbVerified = "verified"
	verbUnknown  = "unknown"
)

func (n *line) duration() time.Duration {
	return saturate.Nanoseconds(n.DurationMS * float64(time.Millisecond))
}

// readNotices reads a link to its end. A line that can't be parsed is skipped. If it was a notice, its index is missing
// before that of the next one, and the pool is asked to send it again.
func (l *Link) readNotices(ctx context.Context, conn *net.TCPConn) error {
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		text, err := l.readLine(in)
		if err != nil {
			return fmt.Errorf("read notices: %w", err)
		}
		if text == nil {
			continue
		}
		var notice line
		if err := json.Unmarshal(text, &notice); err != nil {
			l.count("pool line that is no notice")
			continue
		}
		buffered, _ := in.Peek(in.Buffered())
		if err := l.receive(ctx, &notice, bytes.IndexByte(buffered, '\n') < 0); err != nil {
			return err
		}
		if notice.Verb == verbBound {
			l.Flush()
		}
	}
}

// readLine returns the next line, or nil for a line that is too long.
func (l *Link) readLine(in *bufio.Reader) (text []byte, err error) {
	text, err = in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		l.count("pool line that is no notice")
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = in.ReadSlice('\n')
		}
		text = nil
	}
	return text, err
}

// receive puts a line's notice into the inbox, and wakes the event loop after the last line received so far. It waits
// while the inbox is full.
func (l *Link) receive(ctx context.Context, notice *line, last bool) error {
	l.mu.Lock()
	for len(l.inbox) >= maxQueuedNotices && ctx.Err() == nil {
		l.wake()
		l.inboxTaken.Wait()
	}
	err := l.handleLine(notice)
	waiting := len(l.inbox) > 0
	l.mu.Unlock()
	if last && waiting {
		l.wake()
	}
	return err
}

// acceptIndex records the index of a notice and reports whether the notice is new. If an earlier notice is missing, it
// is requested again once, by an error that ends the link. A pool that no longer stores it leaves it out again, so the
// second time the later notice is accepted.
func (l *Link) acceptIndex(index uint64) (isNew bool, err error) {
	next := l.lastIndex + 1
	switch {
	case index < next:
		l.count("pool notice repeated")
		return false, nil
	case index > next && l.missingIndex != next:
		l.count("pool notices missed, asked for again")
		l.missingIndex = next
		return false, errMissed
	case index > next:
		l.count("pool notices missed")
	}
	l.lastIndex = index
	return true, nil
}

// handleLine puts the notice of a line into the inbox. l.mu must be held.
func (l *Link) handleLine(in *line) error {
	if in.Index > 0 {
		if isNew, err := l.acceptIndex(in.Index); !isNew {
			return err
		}
	}
	n := workerapi.Notice{RequestID: in.RequestID}
	switch in.Verb {
	case verbBound:
		l.handleBound(in)
		n.Kind, n.Duration = workerapi.LinkBound, in.duration()
	case verbFinished:
		l.parseFinished(in, &n)
	case verbBlocked:
		n.Kind = workerapi.RunBlocked
		var err error
		if n.Result, err = base64.StdEncoding.DecodeString(in.Body); err != nil {
			l.count("pool call that can't be read") // the notice is kept, as the run waits and may continue without the call
		}
	case verbPolled, verbVerified:
		nonce, err := strconv.ParseUint(in.Nonce, 10, 64)
		if err != nil {
			l.count("pool line that is no notice")
			return nil
		}
		n.Nonce = nonce
		if in.Verb == verbVerified {
			n.Kind, n.Healthy = workerapi.Verified, in.Outcome == wireSucceeded
		} else {
			n.Kind, n.Readings = workerapi.Polled, in.Readings
			l.handlePolled(nonce)
		}
	case verbUnknown:
		n.Kind = workerapi.CommandFailed
		if in.Outcome == verbSpawn {
			n.Command = workerapi.StartCommand
		}
	default:
		return nil // informational lines, and verbs that a later pool may add
	}
	l.inbox = append(l.inbox, n)
	return nil
}

// handleBound handles the answer to the bind, and polls after it.
func (l *Link) handleBound(in *line) {
	l.bound = true
	l.syncNonce = l.pollLocked()
	l.log.Info("pool link bound", "pool", in.Outcome, "up_ms", in.DurationMS, "after_notice", l.lastIndex)
}

// handlePolled handles the answer to a poll. The poll may be the one after a bind, whose answer makes the link synced,
// or the last one of a link that is being replaced.
func (l *Link) handlePolled(nonce uint64) {
	switch {
	case l.bound && !l.synced && nonce >= l.syncNonce:
		l.synced = true
		l.inbox = append(l.inbox, workerapi.Notice{Kind: workerapi.LinkSynced})
	case l.drainNonce > 0 && nonce >= l.drainNonce && l.drained != nil:
		close(l.drained)
		l.drained = nil
	}
}

// wireSucceeded is the pool's outcome of a successful run or health check.
const wireSucceeded = "success"

// wireOutcomes maps the pool's outcomes of runs to those of workerapi.
var wireOutcomes = map[string]string{
	wireSucceeded: workerapi.OutcomeSucceeded,
	"failure":     workerapi.OutcomeFailed,
	"interrupted": workerapi.OutcomeStopped,
	"nothing":     workerapi.OutcomeNeverStarted,
}

// parseFinished parses the end of a run.
func (l *Link) parseFinished(in *line, n *workerapi.Notice) {
	n.Kind, n.Duration = workerapi.RunFinished, in.duration()
	n.Outcome = in.Outcome
	if outcome, known := wireOutcomes[in.Outcome]; known {
		n.Outcome = outcome
	}
	var err error
	if n.Result, err = base64.StdEncoding.DecodeString(in.Body); err != nil {
		// The notice is kept. If it were dropped, the link would be bound again and end at this line each time.
		l.count("pool result that can't be read")
		n.Outcome, n.Result = workerapi.OutcomeFailed, nil
	}
}
