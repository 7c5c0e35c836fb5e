// Package invariant watches over what must hold and counts what should not happen. A debug build stops at the
// first thing that does not hold; a release build goes on, counts it and tells of it once.
package invariant

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Counters are the counters of one process, by what happened.
type Counters struct {
	log *slog.Logger

	mu    sync.Mutex
	times map[string]int
}

// New makes counters that log to log.
func New(log *slog.Logger) *Counters { return &Counters{log: log, times: map[string]int{}} }

// Assert asserts what must hold, named by what it would mean if it did not.
func (c *Counters) Assert(holds bool, otherwise string) {
	if holds {
		return
	}
	if Debug {
		panic("check failed: " + otherwise)
	}
	c.Count("check failed: " + otherwise)
}

// Count counts what came from outside or ran out, and logs the first time of each. The words are the program's
// own: with a peer's in them each would be a counter, and a log line, of its own.
func (c *Counters) Count(what string) {
	c.mu.Lock()
	c.times[what]++
	first := c.times[what] == 1
	c.mu.Unlock()
	if first {
		c.log.Warn("first seen, counted from here on", "what", what)
	}
}

// Report logs all counters that moved, by name.
func (c *Counters) Report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(c.times)) {
		c.log.Info("counted", "what", what, "times", c.times[what])
	}
}

// Times tells how often something was counted.
func (c *Counters) Times(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times[what]
}
