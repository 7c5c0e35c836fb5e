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
	n float64

	mu   sync.Mutex
	last time.Time
	done float64 // work that each of those working has had since the start
	jobs int
	busy float64 // core seconds
	past []look
}

const (
	crowdFree = 6.0
	crowdCost = 0.01
)

// NewCores makes some.
func NewCores(n float64) *Cores {
	return &Cores{n: n, last: time.Now()}
}

func (c *Cores) rate() float64 {
	n := float64(c.jobs)
	if n <= c.n {
		return 1
	}
	loss := max(0, 1-crowdCost*max(0, n-crowdFree*c.n))
	return max(c.n/n*loss, 1e-3)
}

func (c *Cores) advance() {
	now := time.Now()
	passed := now.Sub(c.last).Seconds()
	c.done += passed * c.rate()
	c.busy += passed * min(float64(c.jobs), c.n)
	c.last = now
}

// Gauges are the busy share of the cores over the half second before, and the number that work on them.
func (c *Cores) Gauges() (busy, crowd float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.past = append(c.past, look{c.last, c.busy})
	for len(c.past) > 2 && c.last.Sub(c.past[1].at) >= time.Second/2 {
		c.past = c.past[1:]
	}
	if span := c.last.Sub(c.past[0].at).Seconds(); span > 0 {
		busy = min(1, (c.busy-c.past[0].busy)/span/c.n)
	}
	return busy, float64(c.jobs)
}

// Work takes a share of the cores until so much work is done, or the context ends.
func (c *Cores) Work(ctx context.Context, work time.Duration) error {
	c.mu.Lock()
	c.advance()
	c.jobs++
	end := c.done + work.Seconds()
	for {
		c.advance()
		left := end - c.done
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
