package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/estimate"
	"quartzpoint/rulecheck"
)

// boot starts a new incarnation of a server without any state.
func (s *server) boot() {
	w := s.world
	s.incarnation++
	s.alive, s.startedAt, s.shedLevel, s.notifiedAt, s.stopAt, s.frozenUntil, s.deferred = true, w.now, 0, 0, 0, 0, nil
	s.attempts = map[*admission.Request]*attempt{}
	s.round = admission.Round{}
	speedFactor, neighbourCores := 1.0, 0.0
	if s.pool != nil { // slowdowns and neighbours of the machine outlive a process
		speedFactor, neighbourCores = s.pool.speedFactor, s.pool.neighbourCores
	}
	s.pool = &pool{engine: &w.engine, machine: w.fleet.Machine, speedFactor: speedFactor, neighbourCores: neighbourCores, startedAt: w.now, advancedAt: w.now}
	incarnation := s.incarnation
	s.pool.onDone = func(r *run) { s.whenRunning(incarnation, func() { s.workDone(r.attempt) }) }
	s.policy, s.routes = w.fleet.Policy(w.fleet.Routes, w.fleet.Machine, w.callQuota(), w.seed+int64(s.number)+1000*int64(s.incarnation))
	s.composer, s.awaitingCall = newComposer(s), nil
	for i, route := range w.fleet.Routes {
		if plan := w.fleet.Plans[route.Name]; plan != nil {
			s.routes[i].CallWait = plan.RequiredDuration()
		}
	}
	if controller, ok := s.policy.(*admission.Controller); ok && w.fleet.PeerSync {
		s.usePeerEstimates(controller)
	}
	s.decide()
}

// usePeerEstimates gives the controller the merged estimates of up to three running servers, drawn at random. A new
// server with a [peers] section in its configuration does the same.
func (s *server) usePeerEstimates(controller *admission.Controller) {
	w := s.world
	schema := controller.EstimateSchema(uint64(s.number)<<32|s.incarnation, 0, false)
	var snapshots []estimate.Snapshot
	for _, i := range w.incidentRand.Perm(len(w.servers)) {
		other := w.servers[i]
		peer, ok := other.policy.(*admission.Controller)
		if other == s || !other.alive || !ok || len(snapshots) == 3 {
			continue
		}
		if snapshot, err := schema.Validate(peer.Estimates(w.now, peer.EstimateSchema(uint64(other.number)<<32|other.incarnation, 0, false))); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	if merged := estimate.Merge(snapshots); merged.HasFresh() {
		controller.UsePeerEstimates(w.now, merged)
	}
}

// kill ends a server as SIGKILL does.
func (s *server) kill() {
	if !s.alive {
		return
	}
	s.alive = false
	w := s.world
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Crashed, At: w.now, Server: s.number})
	s.dropOpen()
}

// dropOpen ends all unanswered attempts with a broken connection.
func (s *server) dropOpen() {
	open := s.world.sortedByID(s.attempts)
	s.attempts = map[*admission.Request]*attempt{}
	for _, a := range open {
		if !a.answered {
			a.answered = true
			s.world.sendAnswer(a, lost, 0, false)
		}
	}
}

// shutdown begins a graceful shutdown that takes at most shutdownLimit. onStopped is called when it has ended.
func (s *server) shutdown(shutdownLimit time.Duration, onStopped func()) {
	if !s.alive || s.stopAt > 0 {
		return
	}
	w := s.world
	s.notifiedAt, s.stopAt, s.onStopped = w.now, w.now+shutdownLimit, onStopped
	w.rules.Add(rulecheck.Event{Kind: rulecheck.ShutdownNotified, At: w.now, Server: s.number, Deadline: w.now + shutdownGrace})
	s.round.StopAt = s.stopAt - stopMargin
	incarnation := s.incarnation
	s.whenRunning(incarnation, s.decide)
	w.at(s.notifiedAt+shutdownGrace, func() { s.stopWhenAnswered(incarnation) })
	w.at(s.stopAt, func() { s.stopped(incarnation) })
}

// stopWhenAnswered ends the shutdown once all attempts are answered. It is first called at the end of the grace.
func (s *server) stopWhenAnswered(incarnation uint64) {
	if !s.alive || s.incarnation != incarnation {
		return
	}
	for _, a := range s.attempts { // in any order, as it does not affect the run
		if !a.answered {
			s.world.after(drainCheckInterval, func() { s.stopWhenAnswered(incarnation) })
			return
		}
	}
	s.stopped(incarnation)
}

// stopped ends a graceful shutdown.
func (s *server) stopped(incarnation uint64) {
	w := s.world
	if !s.alive || s.incarnation != incarnation {
		return
	}
	w.rules.Add(rulecheck.Event{Kind: rulecheck.ShutdownEnded, At: w.now, Server: s.number})
	s.alive = false
	s.dropOpen()
	if s.onStopped != nil {
		s.onStopped()
	}
}

// freeze suspends a server and its pool for a span. Attempts with a deadline before the end of the freeze, or less than
// unfreezeMargin after it, need no answer: the checker gets an Abandoned event for each, and their clients time out.
func (s *server) freeze(span time.Duration) {
	if !s.alive {
		return
	}
	w := s.world
	s.frozenUntil = max(s.frozenUntil, w.now+span)
	for _, a := range w.sortedByID(s.attempts) {
		if !a.answered && a.Deadline < s.frozenUntil+unfreezeMargin {
			w.rules.Add(rulecheck.Event{Kind: rulecheck.Abandoned, At: w.now, Attempt: a.id})
		}
	}
	s.pool.change(func() { s.pool.frozen = true })
	incarnation := s.incarnation
	w.at(s.frozenUntil, func() {
		if !s.alive || s.incarnation != incarnation || w.now < s.frozenUntil {
			return
		}
		s.pool.change(func() { s.pool.frozen = false })
		deferred := s.deferred
		s.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}
