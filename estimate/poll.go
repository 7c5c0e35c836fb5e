package estimate

import (
	"math/rand"
	"time"
)

const (
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// maxPeers is how many peers' answers a new server wants. The median of a few says as much as that of hundreds, and what
	// a start costs must not grow with the fleet.
	maxPeers = 16
	// pollFor bounds how long after its start a server polls: it has enough samples of its own by then, or is so idle that it
	// needs none.
	pollFor = 2 * time.Minute
	// maxBackoffShift keeps the doubled backoff within a time.Duration.
	maxBackoffShift = 8
)

// PollSchedule decides which peers a new server polls for estimates, and when. A peer that has answered is not polled again.
// One that failed is, after a backoff that doubles from one to 15 seconds, with jitter so that a fleet which starts together
// does not poll together. It is not safe for concurrent use.
type PollSchedule struct {
	rng   *rand.Rand
	start time.Duration
	peers []polledPeer
	order []int // in which peers are polled: as listed, or drawn where there are more than maxPeers
}

type polledPeer struct {
	answered   bool
	inProgress bool
	attempts   int
	next       time.Duration
}

// NewPollSchedule returns a schedule that begins at a moment, for peers by their index.
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

// Due returns the peers to poll now, each of which must be reported to Finished. needed is whether the server still needs
// estimates; once it does not, no peer is due.
func (s *PollSchedule) Due(now time.Duration, needed bool) (due []int) {
	if !needed || now > s.start+pollFor {
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

// Finished reports how a poll ended. retryAfter is what the peer asked for, 0 for nothing.
func (s *PollSchedule) Finished(peer int, now time.Duration, answered bool, retryAfter time.Duration) {
	p := &s.peers[peer]
	p.inProgress, p.answered = false, answered
	backoff := min(minBackoff<<min(p.attempts-1, maxBackoffShift), maxBackoff)
	backoff = backoff/2 + time.Duration(s.rng.Int63n(int64(backoff))) // half to one and a half
	p.next = now + max(backoff, min(retryAfter, maxBackoff))
}

// Done reports whether no peer will be due any more.
func (s *PollSchedule) Done(now time.Duration, needed bool) bool {
	if !needed || now > s.start+pollFor {
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

// Next is when a peer may be due next, or when polling ends where polls in progress alone are left.
func (s *PollSchedule) Next() time.Duration {
	next := s.start + pollFor
	for _, peer := range s.peers {
		if !peer.answered && !peer.inProgress {
			next = min(next, peer.next)
		}
	}
	return next
}
