package harness

import (
	"context"
	"sync"
	"time"

	"quartzpoint/saturate"
)

// Cores emulates CPU cores that the jobs of this process share evenly in real time, without using any CPU time. Beyond
// freeRunsPerCore jobs per core, each further job slows all jobs by the fraction switchCostPerRun.
type Cores struct {
	count float64

	mu         sync.Mutex
	last       time.Time // when workPerJob and busy were last updated
	workPerJob float64   // seconds of work done by a job that has run since the start
	jobs       int
	busy       float64 // core seconds
	samples    []usageSample
}

const (
	freeJobsPerCore   = 6.0
	switchCostPerJob  = 0.01
	rateCheckInterval = 5 * time.Millisecond
	minRate           = 1e-3 // fraction of a core that each job gets at least, so that every job ends
)

// NewCores returns n idle cores.
func NewCores(n float64) *Cores {
	return &Cores{count: n, last: time.Now()}
}

// rate returns the fraction of a core that each job gets now.
func (c *Cores) rate() float64 {
	n := float64(c.jobs)
	if n <= c.count {
		return 1
	}
	efficiency := max(0, 1-switchCostPerJob*max(0, n-freeJobsPerCore*c.count))
	return max(c.count/n*efficiency, minRate)
}

// advance adds the time since the last call to workPerJob and busy.
func (c *Cores) advance() {
	now := time.Now()
	elapsed := now.Sub(c.last).Seconds()
	c.workPerJob += elapsed * c.rate()
	c.busy += elapsed * min(float64(c.jobs), c.count)
	c.last = now
}

// Load returns the busy fraction of the cores over the last half second, and the number of jobs.
func (c *Cores) Load() (busy, running float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.samples = append(c.samples, usageSample{c.last, c.busy})
	for len(c.samples) > 2 && c.last.Sub(c.samples[1].at) >= usageWindow {
		c.samples = c.samples[1:]
	}
	if span := c.last.Sub(c.samples[0].at).Seconds(); span > 0 {
		busy = min(1, (c.busy-c.samples[0].busy)/span/c.count)
	}
	return busy, float64(c.jobs)
}

// Work runs a job that needs the given core time, and returns when it is done. If the context ends first, it returns
// the context's error.
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
		// The rate changes when jobs start or end, so it is read again at least every rateCheckInterval.
		wait := min(saturate.Seconds(left/c.rate()), rateCheckInterval)
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
}
