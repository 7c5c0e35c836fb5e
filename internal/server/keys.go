package server

import (
	"time"

	"quartzpoint/admission"
)

const (
	// maxReadDelay is the time in which a request is read that waited while the process was stopped. A key is kept for so
	// long behind its window: a duplicate belongs to the window in which it arrived, whenever it is read.
	maxReadDelay = time.Second
	// stallAfter is the time between two turns of the loop past which the process counts as having been stopped.
	stallAfter = 100 * time.Millisecond
	// unwindowed is how long a key is kept before the controller has stated its window.
	unwindowed = time.Minute
)

// keyTable holds the idempotency keys in their windows.
type keyTable struct {
	entries        map[string]*keyEntry
	maxEntries     int
	resultBytes    int // of the results in entries
	maxResultBytes int

	ledger         Ledger     // nil without one
	awaitingLedger []*Request // whose key it does not have yet

	// A process that was stopped has requests to read that arrived meanwhile: before unreadUntil no key expires.
	lastTurn    time.Duration
	unreadUntil time.Duration
}

// keyEntry is an idempotency key. The controller states its window, and when it is given back. A duplicate is answered from
// the original and never runs.
type keyEntry struct {
	key         string
	fingerprint uint64 // of the body
	until       time.Duration
	completed   bool // the original has ended, or can't any more; answer says how
	answer      Answer
	waiting     []*Request
}

// keyOf is the key of a request in the table: two routes never share one.
func keyOf(route, key string) string { return route + "\x00" + key }

// keyConflicts is whether a request has the key of another with another body.
func (s *Server) keyConflicts(in *Incoming) bool {
	entry := s.keys.entries[keyOf(in.Route, in.Key)]
	return entry != nil && entry.fingerprint != in.Fingerprint
}

// expireKey drops a key for a request that arrived behind its window, as that is a new request.
func (s *Server) expireKey(key string, arrived time.Duration) {
	if entry := s.keys.entries[key]; entry != nil && entry.completed && arrived > entry.until {
		s.dropKey(entry, Answer{Verdict: Aborted})
	}
}

// attachKey gives a request its key, and its original where it is a duplicate.
func (s *Server) attachKey(request *Request, in *Incoming) {
	if request.Route.Idempotency != admission.Keyed {
		return
	}
	request.key = keyOf(in.Route, in.Key)
	request.original = s.keys.entries[request.key]
	request.Duplicate = request.original != nil
	if request.original == nil { // known from here on: a duplicate in the same round must not count as an original
		s.keys.entries[request.key] = &keyEntry{
			key: request.key, fingerprint: in.Fingerprint, until: s.Now() + request.Route.DedupWindow + unwindowed,
		}
	}
}

// answerDuplicate answers a duplicate and reports that to the controller.
func (s *Server) answerDuplicate(request *Request, a Answer) {
	if request.answered { // its time was up, or its caller is gone
		return
	}
	s.round.duplicates = append(s.round.duplicates, &request.Request)
	s.answer(request, a)
}

// completeKeyOnAnswer stores the answer of an original for its duplicates. One that was aborted may still succeed.
func (s *Server) completeKeyOnAnswer(request *Request, a Answer) {
	entry := s.keys.entries[request.key]
	if request.key == "" || request.Duplicate || entry == nil || entry.completed {
		return
	}
	switch {
	case a.Verdict == Rejected:
		s.dropKey(entry, a) // it never ran, whoever rejected it
	case a.Verdict == Served || !request.active:
		s.completeKey(entry, a)
	}
}

// completeKeyOnEnd stores how the run of an original ended that was answered before.
func (s *Server) completeKeyOnEnd(request *Request, outcome admission.Outcome, result []byte) {
	entry := s.keys.entries[request.key]
	if request.key == "" || request.Duplicate || entry == nil || entry.completed || !request.answered {
		return
	}
	if outcome == admission.Succeeded {
		s.completeKey(entry, Answer{Verdict: Served, Result: result})
	} else {
		s.completeKey(entry, Answer{Verdict: Aborted})
	}
}

// completeKey completes a key. A result that there is no room for is not stored: duplicates are then aborted, and never run.
func (s *Server) completeKey(entry *keyEntry, a Answer) {
	if s.keys.resultBytes+len(a.Result) > s.keys.maxResultBytes {
		s.counters.Count("result of a keyed request beyond the program's own memory")
		a = Answer{Verdict: Aborted}
	}
	s.keys.resultBytes += len(a.Result)
	entry.completed, entry.answer = true, a
	if s.keys.ledger != nil {
		s.keys.ledger.RecordEnd(entry.key, entry.fingerprint, entry.until-s.Now(), a.Verdict == Served, a.Result)
	}
	s.answerWaiting(entry)
}

func (s *Server) answerWaiting(entry *keyEntry) {
	waiting := entry.waiting
	entry.waiting = nil
	for _, request := range waiting {
		s.answerDuplicate(request, entry.answer)
	}
}

// dropKey removes a key; duplicates that wait for its original get the answer.
func (s *Server) dropKey(entry *keyEntry, a Answer) {
	if entry == nil {
		return
	}
	delete(s.keys.entries, entry.key)
	s.keys.resultBytes -= len(entry.answer.Result)
	if !entry.completed {
		entry.completed, entry.answer = true, a
	}
	s.answerWaiting(entry)
}

// detectStall notes that the loop's turn came late: what was sent meanwhile is still to be read.
func (s *Server) detectStall(now time.Duration) {
	if s.keys.lastTurn > 0 && now > s.keys.lastTurn+stallAfter {
		s.keys.unreadUntil = now + maxReadDelay
	}
	s.keys.lastTurn = now
}

// expireKeys drops keys whose window is over, and of which no duplicate can be unread.
func (s *Server) expireKeys(now time.Duration) {
	if now < s.keys.unreadUntil {
		return
	}
	for _, entry := range s.keys.entries { // the order does not matter
		if now >= entry.until+maxReadDelay && len(entry.waiting) == 0 {
			s.dropKey(entry, Answer{Verdict: Aborted})
		}
	}
}
