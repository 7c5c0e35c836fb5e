// Package events logs decisions about requests, runs and connections, with their reasons, at a bounded rate. If the
// process is killed, these lines are the only record of its decisions.
package events

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxLinesPerSecond is the number of events of one kind and reason that are logged individually in a second.
	// Further events of that second are only counted; one line in the next second logs the totals since the start.
	maxLinesPerSecond = 2
	// maxCounters bounds the pairs of kind and reason that are counted separately. Beyond it, events are counted by
	// kind only. Kinds and reasons are texts of this program, so a peer can't add any.
	maxCounters = 256
)

// Kind is a kind of event.
type Kind string

// The kinds of events.
const (
	RequestRejected    Kind = "request rejected"        // answered without having run
	RequestAborted     Kind = "request aborted"         // answered without a result after it may have run
	RunOverdue         Kind = "run overdue"             // no report of its start or end within the expected time
	RunEndedLate       Kind = "run ended late"          // the end of an overdue run was reported
	RunReleased        Kind = "run released"            // counted as ended without a report, as the gauges prove it
	RunRetried         Kind = "run retried"             // sent to the worker pool again
	CallRetried        Kind = "call retried"            // the call to the dependency was made again
	ConnectionClosed   Kind = "connection closed"       // by this side
	ConnectionDraining Kind = "connection draining"     // the peer was asked to send no new requests
	Overcommitted      Kind = "overcommitted"           // the gauges exceed this process's count of runs, or counted runs may have ended
	LimitReduced       Kind = "in-flight limit reduced" // by a backoff event
	SlowRound          Kind = "slow round"              // a round of the event loop delayed answers
)

// Log writes events to a logger. It is safe for concurrent use.
type Log struct {
	log *slog.Logger
	now func() time.Time

	mu          sync.Mutex
	secondStart time.Time
	counters    map[key]*counter
	dropped     int64 // events of all counters that were not logged individually in this second
}

// key identifies a counter.
type key struct {
	kind   Kind
	reason string
}

// counter counts the events of one key.
type counter struct {
	total   int64 // events since the start
	lines   int   // lines logged in this second
	dropped int64 // events counted but not logged in this second
}

// New returns a Log that writes to log.
func New(log *slog.Logger) *Log {
	return &Log{log: log, now: time.Now, counters: map[key]*counter{}}
}

// Record logs an event, or only counts it if maxLinesPerSecond is reached for its kind and reason. reason must be a
// text of this program; external data belongs in the attributes.
func (l *Log) Record(kind Kind, reason string, attributes ...slog.Attr) {
	l.mu.Lock()
	l.flush()
	c := l.counterFor(kind, reason)
	c.total++
	if c.lines >= maxLinesPerSecond {
		c.dropped++
		l.dropped++
		l.mu.Unlock()
		return
	}
	c.lines++
	total := c.total
	l.mu.Unlock()
	attributes = append(attributes, slog.String("reason", reason), slog.Int64("times", total))
	l.log.LogAttrs(context.Background(), level(kind), string(kind), attributes...)
}

// Times returns the number of times that an event was recorded.
func (l *Log) Times(kind Kind, reason string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.counters[key{kind, reason}]; c != nil {
		return c.total
	}
	return 0
}

// Flush logs the totals of the events that were only counted, once their second has passed. Record does so too; Flush
// is for a process that records no more events.
func (l *Log) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flush()
}

// flush starts a new second if the current one has passed, and logs the totals of the events that it only counted. The
// caller must hold l.mu.
func (l *Log) flush() {
	now := l.now()
	if passed := now.Sub(l.secondStart); passed >= 0 && passed < time.Second {
		return
	}
	l.secondStart = now
	if l.dropped > 0 {
		l.log.LogAttrs(context.Background(), slog.LevelInfo, "events", l.droppedTotals()...)
	}
	l.dropped = 0
	for _, c := range l.counters {
		c.lines, c.dropped = 0, 0
	}
}

// droppedTotals returns the totals, since the start, of the counters with events that were not logged individually in
// the last second.
func (l *Log) droppedTotals() (attributes []slog.Attr) {
	for at, c := range l.counters {
		if c.dropped > 0 {
			attributes = append(attributes, slog.Int64(string(at.kind)+": "+at.reason, c.total))
		}
	}
	slices.SortFunc(attributes, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	return attributes
}

func (l *Log) counterFor(kind Kind, reason string) *counter {
	at := key{kind, reason}
	if l.counters[at] == nil && len(l.counters) >= maxCounters {
		at.reason = ""
	}
	if l.counters[at] == nil {
		l.counters[at] = &counter{}
	}
	return l.counters[at]
}

// level returns the log level of a kind: a warning if the workers may be running more or fewer runs than this process
// counts.
func level(kind Kind) slog.Level {
	switch kind {
	case RunOverdue, RunEndedLate, RunReleased, Overcommitted:
		return slog.LevelWarn
	default:
		return slog.LevelInfo
	}
}
