package estimate

import (
	"math/rand"
	"time"
)

const (
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// maxPeers is the number of peers from which a new server wants estimates. The median of a few is as accurate as
	// that of hundreds, and the cost of a start must not grow with the fleet.
	maxPeers = 16
	// pollDuration is the time after its start for which a server polls. By then it has enough samples of its own, or is
	// so idle that it needs none.
	pollDuration = 2 * time.Minute
	// maxBackoffShift keeps the doubled backoff in the range of a time.Duration.
	maxBackoffShift = 8
)

// PollSchedule decides which peers a new server polls for estimates, and when. A peer that has answered is not polled
// again. A failed poll is repeated after a backoff that doubles from one to 15 seconds, with jitter so that the servers
// of a fleet that starts at once do not poll at the same time. It is not safe for concurrent use.
type PollSchedule struct {
	rng   *rand.Rand
	start time.Duration
	peers []polledPeer
	order []int // order of polls: as listed, or random with more than maxPeers
}

type polledPeer struct {
	answered   bool
	inProgress bool
	attempts   int
	next       time.Duration
}

// NewPollSchedule returns a schedule that starts at now. Peers are identified by their index; seed makes the random
// order and the jitter repeatable.
func NewPollSchedule(peers int, now time.Duration, seed int64) *PollSchedule {
	s := &PollSchedule{rng: rand.New(rand.NewSource(seed)), start: now, peers: make([]polledPeer, peers)}
	for i := range s.peers {
		s.peers[i].next = now
		s.order = append(s.order, i)
	}
	if peers > maxPeers {
		s.order = s.rng.Perm(peers)
	}
	return s
}

// Due returns the peers to poll now. The end of each poll must be reported to Finished. needed states whether the
// server still needs estimates; if not, no peer is due.
func (s *PollSchedule) Due(now time.Duration, needed bool) (due []int) {
	if !needed || now > s.start+pollDuration {
		return nil
	}
	wanted := maxPeers
	for _, peer := range s.peers {
		if peer.answered || peer.inProgress {
			wanted--
		}
	}
	for _, i := range s.order {
		peer := &s.peers[i]
		if wanted > 0 && !peer.answered && !peer.inProgress && now >= peer.next {
			wanted--
			peer.inProgress = true
			peer.attempts++
			due = append(due, i)
		}
	}
	return due
}

// Finished records the end of a poll. retryAfter is the delay that the peer asked for, or 0; the schedule waits at most
// maxBackoff because of it.
func (s *PollSchedule) Finished(peer int, now time.Duration, answered bool, retryAfter time.Duration) {
	p := &s.peers[peer]
	p.inProgress, p.answered = false, answered
	backoff := min(minBackoff<<min(p.attempts-1, maxBackoffShift), maxBackoff)
	backoff = backoff/2 + time.Duration(s.rng.Int63n(int64(backoff))) // 0.5 to 1.5 times the backoff
	p.next = now + max(backoff, min(retryAfter, maxBackoff))
}

// Done reports whether polling has ended: no peer will be due again.
func (s *PollSchedule) Done(now time.Duration, needed bool) bool {
	if !needed || now > s.start+pollDuration {
		return true
	}
	answered := 0
	for _, peer := range s.peers {
		if peer.answered {
			answered++
		}
	}
	return answered >= min(len(s.peers), maxPeers)
}

// Next returns the earliest time at which a peer may be due. If every peer has answered or is being polled, it returns
// the end of polling.
func (s *PollSchedule) Next() time.Duration {
	next := s.start + pollDuration
	for _, peer := range s.peers {
		if !peer.answered && !peer.inProgress {
			next = min(next, peer.next)
		}
	}
	return next
}
