package estimate

import (
	"math/rand"
	"time"
)

const (
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// maxPeers is how many peers' answers a newcomer wants. A listed fleet may be hundreds; the median of a few voices
	// says as much, and what a start costs must not grow with the fleet.
	maxPeers = 16
	// pollFor bounds how long after its start a newcomer asks at all: it has seen enough by then, or is so idle
	// that it needs nobody's word.
	pollFor = 2 * time.Minute
)

// PollSchedule decides which peers a newcomer asks, and when again. One that has answered is not asked again; one
// that was down, late or not understood is, in growing pauses with jitter, so that a fleet that starts together
// does not ask together. Nothing here waits: what it says is carried out elsewhere.
type PollSchedule struct {
	rng   *rand.Rand
	start time.Duration
	peers []polledPeer
	order []int // in which peers are asked: as listed, or drawn where there are more than are wanted
}

type polledPeer struct {
	answered   bool
	inProgress bool
	attempts   int
	next       time.Duration
}

// NewPollSchedule begins at a moment with a number of peers.
func NewPollSchedule(peers int, now time.Duration, seed int64) *PollSchedule {
	schedule := &PollSchedule{rng: rand.New(rand.NewSource(seed)), start: now, peers: make([]polledPeer, peers)}
	for i := range schedule.peers {
		schedule.peers[i].next = now
		schedule.order = append(schedule.order, i)
	}
	if peers > maxPeers {
		schedule.order = schedule.rng.Perm(peers)
	}
	return schedule
}

// Due names the peers to be asked now and marks them as being asked. cold tells whether the newcomer still
// needs to; once it does not, nobody is asked any more.
func (s *PollSchedule) Due(now time.Duration, cold bool) (due []int) {
	if !cold || now > s.start+pollFor {
		return nil
	}
	wanted := maxPeers
	for _, p := range s.peers {
		if p.answered || p.inProgress {
			wanted--
		}
	}
	for _, i := range s.order {
		p := &s.peers[i]
		if wanted > 0 && !p.answered && !p.inProgress && now >= p.next {
			wanted--
			p.inProgress = true
			p.attempts++
			due = append(due, i)
		}
	}
	return due
}

// Finished tells how an ask ended. comeBack is how long the peer asked to stay away, 0 where it did not say.
func (s *PollSchedule) Finished(peer int, now time.Duration, answered bool, comeBack time.Duration) {
	p := &s.peers[peer]
	p.inProgress, p.answered = false, answered
	pause := min(minBackoff<<min(p.attempts-1, 8), maxBackoff)
	pause = pause/2 + time.Duration(s.rng.Int63n(int64(pause))) // half to one and a half
	p.next = now + max(pause, min(comeBack, maxBackoff))
}

// Done tells whether nobody will be asked any more.
func (s *PollSchedule) Done(now time.Duration, cold bool) bool {
	if !cold || now > s.start+pollFor {
		return true
	}
	answered := 0
	for _, p := range s.peers {
		if p.answered {
			answered++
		}
	}
	return answered >= min(len(s.peers), maxPeers)
}

// Next is the moment of the next ask, or of the end of asking; far off where only asks that are open count.
func (s *PollSchedule) Next() time.Duration {
	next := s.start + pollFor
	for _, p := range s.peers {
		if !p.answered && !p.inProgress {
			next = min(next, p.next)
		}
	}
	return next
}
