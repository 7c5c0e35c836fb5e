package soak

import (
	"fmt"
	"time"
)

const (
	answerSlack    = 50 * time.Millisecond // lateness of an answer that the protocol allows
	crossingWindow = 50 * time.Millisecond // a request sent this shortly before the end of its connection may be lost; its client retries it
)

// Violation is a violation of one of the four rules.
type Violation struct {
	Rule    int // 1 to 4
	Message string
}

// String returns the rule and the message of the violation.
func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Message) }

// Check checks a history against the four rules and returns the violations. It uses the records of this package, of the
// worker pools and of the dependency. From the servers it uses only their exit codes.
func Check(h *History) (violations []Violation) {
	c := &checker{history: h, starts: map[string][]time.Time{}}
	for _, incarnation := range h.Incarnations {
		for _, run := range incarnation.Runs {
			c.starts[run.ID] = append(c.starts[run.ID], run.At)
		}
	}
	for _, r := range h.Requests {
		c.checkAnswer(r)
		c.checkStarts(r)
		c.checkGrace(r)
	}
	if h.strayAnswers > 0 {
		c.violate(1, "%d answers were on streams without an open request", h.strayAnswers)
	}
	c.checkKeys()
	if s := h.DependencyPeakLoad; s.Runs > 1 {
		c.violate(4, "the dependency had %.2f of the calls in flight that it survives, %v after its start", s.Runs, s.RunsAt)
	}
	for _, incarnation := range h.Incarnations {
		c.checkPeakLoad(incarnation)
	}
	return c.violations
}

type checker struct {
	history    *History
	starts     map[string][]time.Time // start times of runs, by request ID
	violations []Violation
}

func (c *checker) violate(rule int, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// describe returns the ID, route and server of a request, for messages.
func (c *checker) describe(r *Request) string {
	route := c.history.Plan.Routes[r.Route]
	return fmt.Sprintf("%s (%s, %s) at server %d incarnation %d", r.ID, route.Name, route.Idempotency, r.Incarnation.Server, r.Incarnation.Number)
}

// slack returns the allowed lateness of the answer to a request: answerSlack, plus the maximum lateness of this
// process's timers, plus the time for which the server process waited for a core of this machine, plus the time for
// which it was paused.
func (c *checker) slack(r *Request) time.Duration {
	slack := answerSlack + c.history.TimerLateness + r.Incarnation.cpuWait(r.SentAt, r.Deadline.Add(answerSlack))
	for _, s := range r.Incarnation.Pauses {
		if s.To.After(r.SentAt) && s.From.Before(r.Deadline.Add(slack)) {
			slack += s.To.Sub(s.From)
		}
	}
	return slack
}

// checkAnswer checks rule 1: a request gets exactly one answer, in time. It needs no answer if its client reset the
// connection, if its process was killed without a notice, or if it crossed the end of its connection and did not run.
func (c *checker) checkAnswer(r *Request) {
	switch {
	case len(r.Answers) > 1:
		c.violate(1, "%s was answered %d times", c.describe(r), len(r.Answers))
	case len(r.Answers) == 1:
		if late := r.Answers[0].At.Sub(r.Deadline); late > c.slack(r) {
			c.violate(1, "%s was answered %v late (slack %v)", c.describe(r), late, c.slack(r))
		}
	case r.ResetByClient, !r.Incarnation.KilledAt.IsZero():
	case c.crossedConnectionEnd(r) && len(c.starts[r.ID]) == 0:
	case r.ConnectionEnded.IsZero():
		c.violate(1, "%s was never answered; sent %v after the notice, process end recorded %v after that", c.describe(r),
			since(r.Incarnation.NotifiedAt, r.SentAt), since(r.SentAt, r.Incarnation.EndedAt))
	default:
		c.violate(1, "%s was lost with its connection after %v, run %d times; sent %v after the notice, process end recorded %v after that",
			c.describe(r), r.ConnectionEnded.Sub(r.SentAt), len(c.starts[r.ID]), since(r.Incarnation.NotifiedAt, r.SentAt), since(r.SentAt, r.Incarnation.EndedAt))
	}
}

// since returns the time between two moments, or 0 if either is zero.
func since(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// crossedConnectionEnd reports whether a request was sent within crossingWindow of the end of its connection. The
// client may have seen that end late.
func (c *checker) crossedConnectionEnd(r *Request) bool {
	return !r.ConnectionEnded.IsZero() && r.ConnectionEnded.Sub(r.SentAt) <= crossingWindow+c.history.TimerLateness+r.Incarnation.cpuWait(r.SentAt, r.ConnectionEnded)
}

// checkStarts checks rule 2 for a single request: it starts once unless it is retryable, and it is not rejected once it
// has run.
func (c *checker) checkStarts(r *Request) {
	starts := len(c.starts[r.ID])
	if c.history.Plan.Routes[r.Route].Idempotency != Retryable && starts > 1 {
		c.violate(2, "%s started %d times", c.describe(r), starts)
	}
	if len(r.Answers) > 0 && r.Answers[0].Code == CodeRejected && starts > 0 {
		c.violate(2, "%s was rejected although it had run", c.describe(r))
	}
}

// checkKeys checks rule 2 for idempotency keys: after a request with a key has run, its process does not run the key
// again within the dedup window, less answerSlack. The window starts when the request that ran was sent.
func (c *checker) checkKeys() {
	type processKey struct {
		incarnation *Incarnation
		key         string
	}
	lastRun := map[processKey]*Request{}
	for _, r := range c.history.Requests { // in order of sending, as each key is used by one sender only
		if r.Key == "" {
			continue
		}
		pair := processKey{r.Incarnation, r.Key}
		window := c.history.Plan.Routes[r.Route].DedupWindow - answerSlack
		if earlier := lastRun[pair]; earlier != nil && r.SentAt.Sub(earlier.SentAt) < window {
			c.checkRepeat(r, earlier)
		}
		if len(c.starts[r.ID]) > 0 {
			lastRun[pair] = r
		}
	}
}

// checkRepeat checks a request against an earlier request with the same key that ran. It must not run, and it must not
// be rejected after the earlier one has started, as its client would then retry it at another server.
func (c *checker) checkRepeat(r, earlier *Request) {
	if len(c.starts[r.ID]) > 0 {
		c.violate(2, "%s ran although %s with the same key was sent %v before and ran", c.describe(r), earlier.ID, r.SentAt.Sub(earlier.SentAt))
	}
	if len(r.Answers) > 0 && r.Answers[0].Code == CodeRejected && r.SentAt.After(c.starts[earlier.ID][0]) {
		c.violate(2, "%s was rejected although %s with the same key had already started", c.describe(r), earlier.ID)
	}
}

// checkGrace checks rule 3: no request that arrives after the grace runs.
func (c *checker) checkGrace(r *Request) {
	if r.Incarnation.NotifiedAt.IsZero() || len(c.starts[r.ID]) == 0 {
		return
	}
	// A process that waits for a core sees its notice late.
	notified := r.Incarnation.NotifiedAt.Add(r.Incarnation.cpuWait(r.Incarnation.NotifiedAt, r.Incarnation.NotifiedAt.Add(answerSlack)))
	if afterGrace := r.SentAt.Sub(notified) - c.history.Plan.Grace; afterGrace > answerSlack+c.history.TimerLateness {
		c.violate(3, "%s was sent %v after the end of the grace and ran", c.describe(r), afterGrace)
	}
}

// checkPeakLoad checks rule 4 for a worker pool, and, under rule 1, that its server process ended without an error.
func (c *checker) checkPeakLoad(incarnation *Incarnation) {
	name := fmt.Sprintf("the pool of server %d incarnation %d", incarnation.Server, incarnation.Number)
	if s := incarnation.PeakLoad; s.Runs > 1 {
		c.violate(4, "%s had %.2f of the runs on its cores that it survives, %v after its start", name, s.Runs, s.RunsAt)
	}
	if s := incarnation.PeakLoad; s.Memory > 1 {
		c.violate(4, "%s had %.2f of its memory in use, %v after its start", name, s.Memory, s.MemoryAt)
	}
	if incarnation.ExitCode != 0 {
		c.violate(1, "server %d incarnation %d exited with code %d", incarnation.Server, incarnation.Number, incarnation.ExitCode)
	}
}
