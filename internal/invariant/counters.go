// Package invariant checks invariants and counts unexpected events. On a violated invariant a debug build panics; a
// release build counts it, logs the first occurrence and continues.
package invariant

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Counters count the events of one process by name. They are safe for concurrent use.
type Counters struct {
	log *slog.Logger

	mu    sync.Mutex
	times map[string]int
}

// New returns counters that log to log.
func New(log *slog.Logger) *Counters { return &Counters{log: log, times: map[string]int{}} }

// Assert checks that an invariant holds; violation describes the event if it does not.
func (c *Counters) Assert(holds bool, violation string) {
	if holds {
		return
	}
	if Debug {
		panic("check failed: " + violation)
	}
	c.Count("check failed: " + violation)
}

// Count counts an event and logs its first occurrence. what must be a text of this program: if it contained data from a
// peer, each value would add a counter and a log line.
func (c *Counters) Count(what string) {
	c.mu.Lock()
	c.times[what]++
	first := c.times[what] == 1
	c.mu.Unlock()
	if first {
		c.log.Warn("first occurrence; further occurrences are only counted", "what", what)
	}
}

// Report logs all counters in the order of their names.
func (c *Counters) Report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(c.times)) {
		c.log.Info("counter", "what", what, "times", c.times[what])
	}
}

// Times returns the number of times that an event was counted.
func (c *Counters) Times(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times[what]
}
