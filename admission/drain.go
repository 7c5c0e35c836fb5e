package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// drain is the state of a graceful shutdown.
type drain struct {
	deadline   time.Duration // latest time of any answer, answerMargin before the process is stopped; 0 before the notice
	notifiedAt time.Duration
}

func (d *drain) begun() bool { return d.deadline > 0 }

// pastGrace reports whether a time is past the grace after the notice.
func (d *drain) pastGrace(moment, grace time.Duration) bool { return moment > d.notifiedAt+grace }

// capDeadlines lowers the deadlines of a request so that it is answered before the process is stopped.
func (d *drain) capDeadlines(request *Request) {
	request.answerBy, request.usefulUntil = min(request.answerBy, d.deadline), min(request.usefulUntil, d.deadline)
}

// notifiedAt returns when the notice to shut down was received: NotifiedAt if set, otherwise the time of the round.
func (r *Round) notifiedAt() time.Duration { return cmp.Or(r.NotifiedAt, r.Now) }

// beginDrain starts the graceful shutdown if the round brings the first notice to shut down. From then on health checks
// fail, and each request is answered before the process is stopped.
func (c *Controller) beginDrain(r *Round, executor Executor) {
	if r.StopAt <= 0 || c.drain.begun() {
		return
	}
	c.drain = drain{deadline: r.StopAt - answerMargin, notifiedAt: r.notifiedAt()}
	executor.SetHealth(false, true)
	for _, request := range slices.Concat(c.queue, c.active) {
		c.drain.capDeadlines(request)
	}
	// The recordings of internal/testkit/replay contain this text: "held" means queued.
	executor.Log(fmt.Sprintf("leaving: %d held, %.0f in flight", len(c.queue), c.inFlight().total))
}
