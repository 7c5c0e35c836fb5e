package harness

import (
	"context"
	"sync"
	"time"
)

// Cores are shared evenly by all that works on them, in real time and in this process, without using any: what a
// policy is measured on inside one process. Past six runs a core each further one costs a hundredth of the rest, as
// switching does.
type Cores struct {
	count float64

	mu         sync.Mutex
	last       time.Time
	workPerJob float64 // work that each of those working has had since the start
	jobs       int
	busy       float64 // core seconds
	samples    []usageSample
}

const (
	freeRunsPerCore  = 6.0
	switchCostPerRun = 0.01
)

// NewCores makes some.
func NewCores(n float64) *Cores {
	return &Cores{count: n, last: time.Now()}
}

func (c *Cores) rate() float64 {
	n := float64(c.jobs)
	if n <= c.count {
		return 1
	}
	loss := max(0, 1-switchCostPerRun*max(0, n-freeRunsPerCore*c.count))
	return max(c.count/n*loss, 1e-3)
}

func (c *Cores) advance() {
	now := time.Now()
	passed := now.Sub(c.last).Seconds()
	c.workPerJob += passed * c.rate()
	c.busy += passed * min(float64(c.jobs), c.count)
	c.last = now
}

// Load are the busy share of the cores over the half second before, and the number that work on them.
func (c *Cores) Load() (busy, crowd float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.samples = append(c.samples, usageSample{c.last, c.busy})
	for len(c.samples) > 2 && c.last.Sub(c.samples[1].at) >= time.Second/2 {
		c.samples = c.samples[1:]
	}
	if span := c.last.Sub(c.samples[0].at).Seconds(); span > 0 {
		busy = min(1, (c.busy-c.samples[0].busy)/span/c.count)
	}
	return busy, float64(c.jobs)
}

// Work takes a share of the cores until so much work is done, or the context ends.
func (c *Cores) Work(ctx context.Context, work time.Duration) error {
	c.mu.Lock()
	c.advance()
	c.jobs++
	end := c.workPerJob + work.Seconds()
	for {
		c.advance()
		left := end - c.workPerJob
		if left <= 0 || ctx.Err() != nil {
			c.jobs--
			c.mu.Unlock()
			return ctx.Err()
		}
		// The rate changes as others come and go; a look every few milliseconds is near enough for what is measured.
		wait := min(time.Duration(left/c.rate()*float64(time.Second)), 5*time.Millisecond)
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
}
