package estimate

import (
	"math/rand"
	"time"
)

const (
	firstPause = time.Second
	maxPause   = 15 * time.Second
	// maxVoices is how many peers' answers a newcomer wants. A listed fleet may be hundreds; the median of a few voices
	// says as much, and what a start costs must not grow with the fleet.
	maxVoices = 16
	// askFor bounds how long after its start a newcomer asks at all: it has seen enough by then, or is so idle
	// that it needs nobody's word.
	askFor = 2 * time.Minute
)

// PollSchedule decides which peers a newcomer asks, and when again. One that has answered is not asked again; one
// that was down, late or not understood is, in growing pauses with jitter, so that a fleet that starts together
// does not ask together. Nothing here waits: what it says is carried out elsewhere.
type PollSchedule struct {
	rng   *rand.Rand
	began time.Duration
	peers []asked
	order []int // in which peers are asked: as listed, or drawn where there are more than are wanted
}

type asked struct {
	answered bool
	open     bool
	tries    int
	next     time.Duration
}

// NewPollSchedule begins at a moment with a number of peers.
func NewPollSchedule(peers int, now time.Duration, seed int64) *PollSchedule {
	a := &PollSchedule{rng: rand.New(rand.NewSource(seed)), began: now, peers: make([]asked, peers)}
	for i := range a.peers {
		a.peers[i].next = now
		a.order = append(a.order, i)
	}
	if peers > maxVoices {
		a.order = a.rng.Perm(peers)
	}
	return a
}

// Due names the peers to be asked now and marks them as being asked. cold tells whether the newcomer still
// needs to; once it does not, nobody is asked any more.
func (a *PollSchedule) Due(now time.Duration, cold bool) (due []int) {
	if !cold || now > a.began+askFor {
		return nil
	}
	wanted := maxVoices
	for _, p := range a.peers {
		if p.answered || p.open {
			wanted--
		}
	}
	for _, i := range a.order {
		p := &a.peers[i]
		if wanted > 0 && !p.answered && !p.open && now >= p.next {
			wanted--
			p.open = true
			p.tries++
			due = append(due, i)
		}
	}
	return due
}

// Ended tells how an ask ended. comeBack is how long the peer asked to stay away, 0 where it did not say.
func (a *PollSchedule) Ended(peer int, now time.Duration, answered bool, comeBack time.Duration) {
	p := &a.peers[peer]
	p.open, p.answered = false, answered
	pause := min(firstPause<<min(p.tries-1, 8), maxPause)
	pause = pause/2 + time.Duration(a.rng.Int63n(int64(pause))) // half to one and a half
	p.next = now + max(pause, min(comeBack, maxPause))
}

// Over tells whether nobody will be asked any more.
func (a *PollSchedule) Over(now time.Duration, cold bool) bool {
	if !cold || now > a.began+askFor {
		return true
	}
	answered := 0
	for _, p := range a.peers {
		if p.answered {
			answered++
		}
	}
	return answered >= min(len(a.peers), maxVoices)
}

// Next is the moment of the next ask, or of the end of asking; far off where only asks that are open count.
func (a *PollSchedule) Next() time.Duration {
	next := a.began + askFor
	for _, p := range a.peers {
		if !p.answered && !p.open {
			next = min(next, p.next)
		}
	}
	return next
}
