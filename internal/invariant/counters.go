// Package invariant checks what must hold, and counts what should not happen. A debug build panics at the first invariant that
// does not hold; a release build counts it, logs the first of its kind and goes on.
package invariant

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Counters are the counters of one process, by what happened. They are safe for concurrent use.
type Counters struct {
	log *slog.Logger

	mu    sync.Mutex
	times map[string]int
}

// New makes counters that log to log.
func New(log *slog.Logger) *Counters { return &Counters{log: log, times: map[string]int{}} }

// Assert checks an invariant; violation says what happened where it does not hold.
func (c *Counters) Assert(holds bool, violation string) {
	if holds {
		return
	}
	if Debug {
		panic("check failed: " + violation)
	}
	c.Count("check failed: " + violation)
}

// Count counts an event, and logs the first of its kind. what is one of the program's own texts: with a peer's words in it each
// would be a counter, and a log line, of its own.
func (c *Counters) Count(what string) {
	c.mu.Lock()
	c.times[what]++
	first := c.times[what] == 1
	c.mu.Unlock()
	if first {
		c.log.Warn("first occurrence, counted from here on", "what", what)
	}
}

// Report logs all counters, by name.
func (c *Counters) Report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(c.times)) {
		c.log.Info("counter", "what", what, "times", c.times[what])
	}
}

// Times is how often an event was counted.
func (c *Counters) Times(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times[what]
}
