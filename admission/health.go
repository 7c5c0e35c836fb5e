package admission

import (
	"fmt"
	"time"
)

const (
	healthWindow      = 3 * time.Second
	healthWindowParts = 6
	minRunsJudged     = 6   // minimum number of ended runs in the window; with fewer the server does not eject itself
	failingShare      = 0.5 // fraction of failed runs above which it ejects itself
)

// runHealth tracks whether the server's runs succeed. Failing runs are quick, so callers that prefer the fastest server
// choose one whose runs fail, and a request that must not run twice is lost there.
type runHealth struct {
	runs    *slidingSums // ended runs, and how many of them failed
	failing bool
}

func newRunHealth() runHealth {
	return runHealth{runs: newSlidingSums(healthWindow, healthWindowParts)}
}

// add counts a run that succeeded or failed.
func (h *runHealth) add(now time.Duration, outcome Outcome) {
	failed := 0.0
	if outcome == Failed {
		failed = 1
	}
	h.runs.add(now, 1, failed)
}

// ejectWhileFailing takes the server out of service while most of its runs fail: health checks fail, callers are asked
// to hold back requests, and all but one request at a time are rejected. That one shows when runs succeed again.
func (c *Controller) ejectWhileFailing(executor Executor) {
	runs := c.health.runs.sum(c.now)
	ended, failed := runs[0], runs[1]
	failing := ended >= minRunsJudged && failed > ended*failingShare
	if failing != c.health.failing && !c.drain.begun() {
		executor.SetHealth(!failing, true)
		// The recordings of internal/testkit/replay contain this text: "erring" means that the server is ejected.
		executor.Log(fmt.Sprintf("erring: %t, %.0f of %.0f runs broken", failing, failed, ended))
	}
	c.health.failing = failing
	if !failing {
		return
	}
	c.shedding.level = maxShedLevel
	inFlight := c.inFlight().total
	for len(c.queue) > 0 && inFlight+float64(len(c.queue)) > 1 {
		last := len(c.queue) - 1
		request := c.queue[last]
		c.queue[last] = nil
		c.queue = c.queue[:last]
		c.answerRejected(request, ReasonRunsFail, executor)
	}
}
