package server

import (
	"time"

	"quartzpoint/admission"
)

const (
	// resultMemoryDivisor is the part of the program's memory, as a divisor, that answers kept for repeats may take.
	resultMemoryDivisor = 16
	// readWithin is the time in which a request is read that waited while the process stood still. For so long a number is
	// kept behind its window, as a repeat belongs to the window in which it came, whenever it is read.
	readWithin = time.Second
	// stallAfter is the time between two turns of the owner past which the process is taken to have stood still.
	stallAfter = 100 * time.Millisecond
)

// Ledger keeps the table of numbered tasks where a crash does not reach it. Its methods are called by the owner of
// decisions and must not wait. What is left of a window is told with each.
type Ledger interface {
	// Begin has it kept that a number is about to run; the run waits until Safe has reached the mark.
	Begin(key string, shape uint64, left time.Duration) (mark uint64)
	// End has it kept how the run ended. The result must not be changed afterwards.
	End(key string, shape uint64, left time.Duration, honoured bool, result []byte)
	// Safe is the mark up to which all is kept, or can't be for now: what waits for it goes on. Nudge tells of a change.
	Safe() uint64
}

// KeyRecord is a number of a server before this one. One that is not honoured has begun, and its end is not known: repeats
// of it are given up on, as it may have had its effect.
type KeyRecord struct {
	Key         string
	Fingerprint uint64
	Remaining   time.Duration // of its window
	Served      bool
	Result      []byte
}

// SetLedger has numbered tasks run only once the ledger has them, before Run.
func (s *Server) SetLedger(l Ledger) { s.ledger = l }

// RestoreKeys takes in what an earlier server's ledger held, in the owner's turn or before Run. What is known here already
// is known better.
func (s *Server) RestoreKeys(all []KeyRecord) {
	for _, k := range all {
		if s.keys[k.Key] != nil {
			continue
		}
		n := &keyEntry{key: k.Key, shape: k.Fingerprint, until: s.Now() + k.Remaining, settled: true, answer: Answer{Verdict: Aborted}}
		if k.Served && s.resultBytes+len(k.Result) <= s.maxResultBytes {
			n.answer = Answer{Verdict: Served, Result: k.Result}
			s.resultBytes += len(k.Result)
		}
		s.keys[k.Key] = n
	}
}

// enter has the ledger keep that a number is about to run. Its run begins in entered.
func (s *Server) enter(request *Request) {
	n := s.keys[request.key]
	if n == nil { // its window was over before it could start
		s.spawn(request)
		return
	}
	request.ledgered, request.awaitsLedger, request.paused = true, true, false
	request.ledgerMark = s.ledger.Begin(n.key, n.shape, n.until-s.round.Now)
	s.entering = append(s.entering, request)
}

// entered starts the runs that the ledger has, and ends those that were answered before it had them: they never ran.
func (s *Server) entered() {
	if len(s.entering) == 0 {
		return
	}
	safe := s.ledger.Safe()
	left := s.entering[:0]
	for _, request := range s.entering {
		switch {
		case request.answered:
			request.awaitsLedger = false
			s.end(request, admission.NeverStarted, 0, nil)
		case request.ledgerMark > safe, request.paused:
			left = append(left, request)
		default:
			request.awaitsLedger = false
			s.spawn(request)
		}
	}
	clear(s.entering[len(left):])
	s.entering = left
}

// keyEntry is an entry of the table of numbered tasks. Its window is the decisions' to state, and so is when it is
// given back. A repeat is answered from the first run and never runs.
type keyEntry struct {
	key     string
	shape   uint64
	until   time.Duration
	settled bool // the first has ended, or can't any more; answer says how
	answer  Answer
	waiting []*Request
}

func entryKey(kind, given string) string { return kind + "\x00" + given }

// keyConflicts tells whether a task has the number of another that asked for something else.
func (s *Server) keyConflicts(a Incoming) bool {
	n := s.keys[entryKey(a.Route, a.Key)]
	return n != nil && n.shape != a.Fingerprint
}

// expireKey drops the number of a task that came behind the window of the number's first, as it is a new one.
func (s *Server) expireKey(key string, arrived time.Duration) {
	if n := s.keys[key]; n != nil && n.settled && arrived > n.until {
		s.dropKey(n, Answer{Verdict: Aborted})
	}
}

// attachKey finds the first of a repeat.
func (s *Server) attachKey(request *Request, a Incoming) {
	if request.Route.Idempotency != admission.Keyed {
		return
	}
	request.key = entryKey(a.Route, a.Key)
	request.original = s.keys[request.key]
	request.Duplicate = request.original != nil
	if request.original == nil { // known from here on: a repeat in the same round must not be taken for a first
		s.keys[request.key] = &keyEntry{key: request.key, shape: a.Fingerprint, until: s.Now() + request.Route.DedupWindow + time.Minute}
	}
}

// RememberKey keeps a number for its window.
func (s *Server) RememberKey(decided *admission.Request, span time.Duration) {
	if request := s.owner[decided]; request != nil && s.keys[request.key] != nil {
		s.keys[request.key].until = s.round.Now + span
	}
}

// ForgetKey gives the number of a task that never ran back.
func (s *Server) ForgetKey(decided *admission.Request) {
	if request := s.owner[decided]; request != nil {
		s.dropKey(s.keys[request.key], Answer{Verdict: Rejected})
	}
}

// AnswerFromOriginal answers a repeat as soon as the first has ended.
func (s *Server) AnswerFromOriginal(decided *admission.Request) {
	request := s.owner[decided]
	s.counts.Assert(request != nil && request.original != nil, "a repeat without a first")
	if request == nil || request.original == nil {
		return
	}
	if request.original.settled {
		s.echo(request, request.original.answer)
		return
	}
	request.original.waiting = append(request.original.waiting, request)
}

// echo answers a repeat and tells the decisions so.
func (s *Server) echo(request *Request, a Answer) {
	if request.answered { // its time was up, or its caller is gone
		return
	}
	s.echoed = append(s.echoed, &request.Request)
	s.answer(request, a)
}

// firstAnswered keeps the answer of a first for its repeats. One that was given up on may still end well.
func (s *Server) firstAnswered(request *Request, a Answer) {
	n := s.keys[request.key]
	if request.key == "" || request.Duplicate || n == nil || n.settled {
		return
	}
	switch {
	case a.Verdict == Rejected:
		s.dropKey(n, a) // it never ran, whoever dismissed it
	case a.Verdict == Served || !request.active:
		s.settleKey(n, a)
	}
}

// firstEnded keeps the end of a first that was answered before it.
func (s *Server) firstEnded(request *Request, outcome admission.Outcome, result []byte) {
	n := s.keys[request.key]
	if request.key == "" || request.Duplicate || n == nil || n.settled || !request.answered {
		return
	}
	if outcome == admission.Succeeded {
		s.settleKey(n, Answer{Verdict: Served, Result: result})
	} else {
		s.settleKey(n, Answer{Verdict: Aborted})
	}
}

// settleKey settles a number. A result that has no room is not kept: its repeats are then given up on, and still not run.
func (s *Server) settleKey(n *keyEntry, a Answer) {
	if s.resultBytes+len(a.Result) > s.maxResultBytes {
		s.counts.Count("result of a numbered task beyond the program's own memory")
		a = Answer{Verdict: Aborted}
	}
	s.resultBytes += len(a.Result)
	n.settled, n.answer = true, a
	if s.ledger != nil {
		s.ledger.End(n.key, n.shape, n.until-s.Now(), a.Verdict == Served, a.Result)
	}
	s.answerWaiting(n)
}

func (s *Server) answerWaiting(n *keyEntry) {
	waiting := n.waiting
	n.waiting = nil
	for _, request := range waiting {
		s.echo(request, n.answer)
	}
}

// dropKey takes a number off the table; who waits for its first is told.
func (s *Server) dropKey(n *keyEntry, a Answer) {
	if n == nil {
		return
	}
	delete(s.keys, n.key)
	s.resultBytes -= len(n.answer.Result)
	if !n.settled {
		n.settled, n.answer = true, a
	}
	s.answerWaiting(n)
}

// stalled notes that the owner's turn came late: what was sent meanwhile is still to be read.
func (s *Server) stalled(now time.Duration) {
	if s.turned > 0 && now > s.turned+stallAfter {
		s.unreadUntil = now + readWithin
	}
	s.turned = now
}

// expireKeys drops those whose window is over, and for which no repeat can be unread.
func (s *Server) expireKeys(now time.Duration) {
	if now < s.unreadUntil {
		return
	}
	for _, n := range s.keys { // each by itself, so the order decides nothing
		if now >= n.until+readWithin && len(n.waiting) == 0 {
			s.dropKey(n, Answer{Verdict: Aborted})
		}
	}
}
