// Package events logs what becomes of requests, runs, connections and links, with the reason for each, at a bounded
// rate: a process that is killed leaves these lines as the only record of what it decided.
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
	// maxLinesPerSecond is how many events of one kind and reason are logged one by one in a second; the others of that
	// second are counted, and told in one line with the next one.
	maxLinesPerSecond = 2
	// maxPairs bounds the kinds and reasons that are counted apart. Both are the program's own words, so that a peer can't
	// add to them; what comes beyond the bound is counted under its kind alone.
	maxPairs = 256
)

// Kind is what happened.
type Kind string

// The kinds of events.
const (
	RequestRejected    Kind = "request refused"   // with a promise of no effect
	RequestAborted     Kind = "request failed"    // answered without a result after it may have run
	RunOverdue         Kind = "run overdue"       // not reported to have ended, or to have begun, in its time
	RunEndedLate       Kind = "run ended late"    // the end of one that was overdue
	RunReleased        Kind = "run released"      // taken off the books without a report of its end
	RunRetried         Kind = "run retried"       // sent to the worker pool again
	CallRetried        Kind = "call retried"      // made to the dependency again
	ConnectionClosed   Kind = "connection closed" // by this side, or told to be before its end
	ConnectionDraining Kind = "connection asked"  // to go, by its peer
	Overcommitted      Kind = "overcommitted"     // the machine's readings are over what this process has on its books
)

// Log writes events to a logger. Its methods may be called from any goroutine.
type Log struct {
	log *slog.Logger
	now func() time.Time

	mu      sync.Mutex
	second  time.Time
	pairs   map[pair]*tally
	dropped int64 // of the second, for any pair
}

// pair is what events are counted by.
type pair struct {
	kind   Kind
	reason string
}

// tally is the count of one pair.
type tally struct {
	total   int64
	lines   int   // logged in this second
	dropped int64 // counted only, in this second
}

// New makes a log of events that writes to log.
func New(log *slog.Logger) *Log {
	return &Log{log: log, now: time.Now, pairs: map[pair]*tally{}}
}

// Record logs an event with the reason for it, or counts it where its second already has enough lines of its kind and
// reason. reason is one of the program's own words; what comes from outside belongs into attributes, as for slog.
func (l *Log) Record(kind Kind, reason string, attributes ...slog.Attr) {
	l.mu.Lock()
	l.turn()
	t := l.tally(kind, reason)
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

// Times is how often something was recorded.
func (l *Log) Times(kind Kind, reason string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.pairs[pair{kind, reason}]; t != nil {
		return t.total
	}
	return 0
}

// Flush tells what the last second left without a line of its own, once it is over. Record does the same; Turn is for
// a process in which nothing more happens.
func (l *Log) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
}

// turn begins a new second where the last one is over.
func (l *Log) turn() {
	now := l.now()
	if passed := now.Sub(l.second); passed >= 0 && passed < time.Second {
		return
	}
	l.second = now
	if l.dropped > 0 {
		l.log.LogAttrs(context.Background(), slog.LevelInfo, "events", l.counted()...)
	}
	l.dropped = 0
	for _, t := range l.pairs {
		t.lines, t.dropped = 0, 0
	}
}

// counted are the pairs of which the last second had more than lines, with their totals.
func (l *Log) counted() (attributes []slog.Attr) {
	for at, t := range l.pairs {
		if t.dropped > 0 {
			attributes = append(attributes, slog.Int64(string(at.kind)+": "+at.reason, t.total))
		}
	}
	slices.SortFunc(attributes, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	return attributes
}

func (l *Log) tally(kind Kind, reason string) *tally {
	at := pair{kind, reason}
	if l.pairs[at] == nil && len(l.pairs) >= maxPairs {
		at.reason = ""
	}
	if l.pairs[at] == nil {
		l.pairs[at] = &tally{}
	}
	return l.pairs[at]
}

// level is that of a warning where a rule is at stake.
func level(kind Kind) slog.Level {
	switch kind {
	case RunOverdue, RunEndedLate, RunReleased, Overcommitted:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}
