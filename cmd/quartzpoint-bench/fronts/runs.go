package fronts

import (
	"errors"
	"sync"
	"time"

	"quartzpoint/internal/testkit/conformance"
)

var errRunFailed = errors.New("the run failed")

// runCounter performs the runs of a front end in this process, and counts them.
type runCounter struct {
	mu       sync.Mutex
	runs     int
	seenKeys map[string]bool
	repeated int // runs of a key after its first
}

// run performs the run of a request.
func (c *runCounter) run(r conformance.Request) error {
	c.mu.Lock()
	c.runs++
	if r.Key != "" {
		if c.seenKeys[r.Key] {
			c.repeated++
		}
		c.seenKeys[r.Key] = true
	}
	c.mu.Unlock()
	time.Sleep(r.Work)
	if r.Fails {
		return errRunFailed
	}
	return nil
}

// Runs implements conformance.FrontEnd.
func (c *runCounter) Runs() (runs, repeated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs, c.repeated
}
