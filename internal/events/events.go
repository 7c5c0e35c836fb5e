// Package events logs what becomes of requests, runs and connections, with the reason for each, at a bounded rate. A process
// that is killed leaves these lines as the only record of what it decided.
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
	// maxLinesPerSecond is how many events of one kind and reason are logged one by one in a second; the others of that second
	// are counted, and logged in one line in the next.
	maxLinesPerSecond = 2
	// maxCounters bounds the kinds and reasons that are counted apart; past it an event is counted by its kind alone. Both are
	// the program's own texts, so that a peer can't add to them.
	maxCounters = 256
)

// Kind is what happened.
type Kind string

// The kinds of events.
const (
	RequestRejected    Kind = "request rejected"        // answered as never run
	RequestAborted     Kind = "request aborted"         // answered without a result after it may have run
	RunOverdue         Kind = "run overdue"             // not reported to have ended, or to have begun, in its time
	RunEndedLate       Kind = "run ended late"          // the end of one that was overdue
	RunReleased        Kind = "run released"            // counted as ended without a report of its end
	RunRetried         Kind = "run retried"             // sent to the worker pool again
	CallRetried        Kind = "call retried"            // made to the dependency again
	ConnectionClosed   Kind = "connection closed"       // by this side
	ConnectionDraining Kind = "connection draining"     // asked to send no new request
	Overcommitted      Kind = "overcommitted"           // the workers' gauges exceed what this process has running
	LimitReduced       Kind = "in-flight limit reduced" // by a backoff event
	SlowRound          Kind = "slow round"              // a turn of the event loop kept answers waiting
)

// Log writes events to a logger. It is safe for concurrent use.
type Log struct {
	log *slog.Logger
	now func() time.Time

	mu          sync.Mutex
	secondStart time.Time
	counters    map[key]*counter
	dropped     int64 // in this second, of all counters
}

// key is what events are counted by.
type key struct {
	kind   Kind
	reason string
}

// counter counts the events of one key.
type counter struct {
	total   int64
	lines   int   // logged in this second
	dropped int64 // counted only, in this second
}

// New makes a log that writes to log.
func New(log *slog.Logger) *Log {
	return &Log{log: log, now: time.Now, counters: map[key]*counter{}}
}

// Record logs an event, or counts it where its second already has enough lines of its kind and reason. reason is one of the
// program's own texts; what comes from outside belongs into attributes, as for slog.
func (l *Log) Record(kind Kind, reason string, attributes ...slog.Attr) {
	l.mu.Lock()
	l.flush()
	t := l.counterFor(kind, reason)
	t.total++
	if t.lines >= maxLinesPerSecond {
		t.dropped++
		l.dropped++
		l.mu.Unlock()
		return
	}
	t.lines++
	total := t.total
	l.mu.Unlock()
	attributes = append(attributes, slog.String("reason", reason), slog.Int64("times", total))
	l.log.LogAttrs(context.Background(), level(kind), string(kind), attributes...)
}

// Times is how often an event was recorded.
func (l *Log) Times(kind Kind, reason string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.counters[key{kind, reason}]; t != nil {
		return t.total
	}
	return 0
}

// Flush logs the totals of what the last second only counted, once it is over. Record does the same; Flush is for a process in
// which nothing more happens.
func (l *Log) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flush()
}

// flush begins a new second where the last one is over. l.mu is held.
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
	for _, t := range l.counters {
		t.lines, t.dropped = 0, 0
	}
}

// droppedTotals are the totals of what the last second did not log one by one.
func (l *Log) droppedTotals() (attributes []slog.Attr) {
	for at, t := range l.counters {
		if t.dropped > 0 {
			attributes = append(attributes, slog.Int64(string(at.kind)+": "+at.reason, t.total))
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

// level is a warning where more may run than was decided.
func level(kind Kind) slog.Level {
	switch kind {
	case RunOverdue, RunEndedLate, RunReleased, Overcommitted:
		return slog.LevelWarn
	default:
		return slog.LevelInfo
	}
}
