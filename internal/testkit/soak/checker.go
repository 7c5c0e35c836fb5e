package soak

import (
	"fmt"
	"time"
)

const (
	answerSlack = 50 * time.Millisecond // past the due time, by the protocol page
	crossing    = 50 * time.Millisecond // before the end of its connection, within which a request is sent again
)

// Violation is a broken rule.
type Violation struct {
	Rule  int // of the four
	Words string
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Words) }

// Check holds a history against the four rules. It knows nothing but what clients and worker pools recorded.
func Check(h *History) (broken []Violation) {
	c := &checker{history: h, started: map[string][]time.Time{}}
	for _, life := range h.Lives {
		for _, run := range life.Runs {
			c.started[run.ID] = append(c.started[run.ID], run.At)
		}
	}
	for _, r := range h.Requests {
		c.answered(r)
		c.ranOnce(r)
		c.drained(r)
	}
	if h.stray > 0 {
		c.broke(1, "%d answers came to nothing that was open", h.stray)
	}
	c.keysRanOnce()
	if s := h.Calls; s.Runs > 1 {
		c.broke(4, "the dependency had %.2f of the calls in hand that it survives, %v after its start", s.Runs, s.RunsAt)
	}
	for _, life := range h.Lives {
		c.survived(life)
	}
	return c.broken
}

type checker struct {
	history *History
	started map[string][]time.Time // by request
	broken  []Violation
}

func (c *checker) broke(rule int, words string, of ...any) {
	c.broken = append(c.broken, Violation{rule, fmt.Sprintf(words, of...)})
}

// describe names a request.
func (c *checker) describe(r *Request) string {
	class := c.history.Plan.Classes[r.Class]
	return fmt.Sprintf("%s (%s, %s) at server %d life %d", r.ID, class.Name, class.Effect, r.Life.Server, r.Life.Number)
}

// slack is what an answer may be late by: by the protocol page, by the noise of this machine, which let the recorder or
// the process wait for a core, and by the time that the process was stopped from outside.
func (c *checker) slack(r *Request) time.Duration {
	slack := answerSlack + c.history.Lateness + r.Life.starved(r.Sent, r.Due.Add(answerSlack))
	for _, s := range r.Life.Stopped {
		if s.To.After(r.Sent) && s.From.Before(r.Due.Add(slack)) {
			slack += s.To.Sub(s.From)
		}
	}
	return slack
}

// answered is rule 1: one final answer in time.
func (c *checker) answered(r *Request) {
	switch {
	case len(r.Answer) > 1:
		c.broke(1, "%s was answered %d times", c.describe(r), len(r.Answer))
	case len(r.Answer) == 1:
		if late := r.Answer[0].At.Sub(r.Due); late > c.slack(r) {
			c.broke(1, "%s was answered %v late (slack %v)", c.describe(r), late, c.slack(r))
		}
	case r.Reset, !r.Life.Killed.IsZero():
	case c.crossed(r) && len(c.started[r.ID]) == 0:
	case r.Ended.IsZero():
		c.broke(1, "%s was never answered", c.describe(r))
	default:
		c.broke(1, "%s was lost with its connection after %v, run %d times; sent %v behind the notice, process seen to end %v behind that",
			c.describe(r), r.Ended.Sub(r.Sent), len(c.started[r.ID]), since(r.Life.Notice, r.Sent), since(r.Sent, r.Life.Ended))
	}
}

// since is the time from one moment to another, 0 where either never came.
func since(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// crossed is whether a request met the end of its connection, which the recorder may have seen late.
func (c *checker) crossed(r *Request) bool {
	return !r.Ended.IsZero() && r.Ended.Sub(r.Sent) <= crossing+c.history.Lateness+r.Life.starved(r.Sent, r.Ended)
}

// ranOnce is rule 2 for single requests: none begins twice where that does harm, and what has run is not refused.
func (c *checker) ranOnce(r *Request) {
	starts := len(c.started[r.ID])
	if c.history.Plan.Classes[r.Class].Effect != Safe && starts > 1 {
		c.broke(2, "%s began %d times", c.describe(r), starts)
	}
	if len(r.Answer) > 0 && r.Answer[0].Code == CodeRefused && starts > 0 {
		c.broke(2, "%s was refused though it had run", c.describe(r))
	}
}

// keysRanOnce is rule 2 for keys: one run on a process within the window of the request that ran.
func (c *checker) keysRanOnce() {
	type place struct {
		life *Life
		key  string
	}
	ran := map[place]*Request{}
	for _, r := range c.history.Requests { // in the order in which they were sent
		if r.Key == "" {
			continue
		}
		at := place{r.Life, r.Key}
		window := c.history.Plan.Classes[r.Class].Window - answerSlack
		if first := ran[at]; first != nil && r.Sent.Sub(first.Sent) < window {
			c.repeated(r, first)
		}
		if len(c.started[r.ID]) > 0 {
			ran[at] = r
		}
	}
}

// repeated holds a repeat against the request of its key that ran: it neither runs, nor is it refused once the first has
// begun, as its caller would have it run elsewhere.
func (c *checker) repeated(r, first *Request) {
	if len(c.started[r.ID]) > 0 {
		c.broke(2, "%s ran, and %s with the same key %v before", c.describe(r), first.ID, r.Sent.Sub(first.Sent))
	}
	if len(r.Answer) > 0 && r.Answer[0].Code == CodeRefused && r.Sent.After(c.started[first.ID][0]) {
		c.broke(2, "%s was refused, and %s with the same key had run", c.describe(r), first.ID)
	}
}

// drained is rule 3: nothing that arrives past the grace runs.
func (c *checker) drained(r *Request) {
	if r.Life.Notice.IsZero() || len(c.started[r.ID]) == 0 {
		return
	}
	heard := r.Life.Notice.Add(r.Life.starved(r.Life.Notice, r.Life.Notice.Add(answerSlack)))
	if past := r.Sent.Sub(heard) - c.history.Plan.Grace; past > answerSlack+c.history.Lateness {
		c.broke(3, "%s came %v past the grace and ran", c.describe(r), past)
	}
}

// survived is rule 4, and that the process ended as it should.
func (c *checker) survived(life *Life) {
	name := fmt.Sprintf("the pool of server %d life %d", life.Server, life.Number)
	if s := life.Strain; s.Runs > 1 {
		c.broke(4, "%s had %.2f of the runs on its cores that it survives, %v after its start", name, s.Runs, s.RunsAt)
	}
	if s := life.Strain; s.Memory > 1 {
		c.broke(4, "%s had %.2f of its memory in use, %v after its start", name, s.Memory, s.MemoryAt)
	}
	if life.Exit != 0 {
		c.broke(1, "server %d life %d ended with code %d", life.Server, life.Number, life.Exit)
	}
}
