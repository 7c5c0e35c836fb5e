package server

import (
	"slices"
	"time"

	"quartzpoint/admission"
)

const (
	// maxReadDelay is the time after a suspension of the process within which the requests that arrived during the
	// suspension are read. A key is kept this long after its window, because a duplicate belongs to the window in which
	// it arrived, however late it is read.
	maxReadDelay = time.Second
	// stallAfter is the time between two rounds above which the process counts as having been suspended.
	stallAfter = 100 * time.Millisecond
	// initialKeyMargin is added to the dedup window of a key until the controller has set the key's lifetime.
	initialKeyMargin = time.Minute
	// keyEntryBytes is the memory that an entry of the key table takes at most, here and in the controller, without its
	// key and its result.
	keyEntryBytes = 256
)

// keyTable holds the idempotency keys that are within their dedup window.
type keyTable struct {
	entries        map[string]*keyEntry
	bytes          int // of the entries, without their results
	maxBytes       int
	resultBytes    int // of the results in entries
	maxResultBytes int

	ledger         Ledger     // nil without one
	awaitingLedger []*Request // started requests whose key the ledger has not stored yet

	// After the process was suspended, requests that arrived meanwhile are still unread: no key expires before
	// unreadUntil.
	lastRoundAt time.Duration
	unreadUntil time.Duration
}

// keyEntry is an idempotency key with the answer of its original request. The controller sets its lifetime, and may
// drop it earlier. A duplicate is answered from the original and never runs.
type keyEntry struct {
	key         string
	fingerprint uint64        // of the body
	until       time.Duration // end of the dedup window; until the controller has set it, initialKeyMargin later
	completed   bool          // the original has ended or can no longer run; answer contains its outcome
	answer      Answer
	waiting     []*Request // duplicates to answer once the original has ended
}

// add adds the entry of a key.
func (t *keyTable) add(entry *keyEntry) {
	t.entries[entry.key] = entry
	t.bytes += keyEntryBytes + len(entry.key)
}

// remove removes the entry of a key, with its result.
func (t *keyTable) remove(entry *keyEntry) {
	if t.entries[entry.key] != entry {
		return
	}
	delete(t.entries, entry.key)
	t.bytes -= keyEntryBytes + len(entry.key)
	t.resultBytes -= len(entry.answer.Result)
}

// hasSpace reports whether there is memory for the entry of a key. A key that is in the table needs none.
func (t *keyTable) hasSpace(key string) bool {
	return t.entries[key] != nil || t.bytes+keyEntryBytes+len(key) <= t.maxBytes
}

// removeWaiting removes a duplicate that was answered or canceled before its original ended.
func (e *keyEntry) removeWaiting(request *Request) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *Request) bool { return other == request })
}

// keyOf returns the key of a request in the table. It includes the route, so that two routes never share an entry.
func keyOf(route, key string) string { return route + "\x00" + key }

// keyConflicts reports whether a request has the key of another request with another body.
func (s *Server) keyConflicts(in *IncomingRequest) bool {
	entry := s.keys.entries[keyOf(in.Route, in.Key)]
	return entry != nil && entry.fingerprint != in.Fingerprint
}

// expireKey drops a completed key if a request with it arrived after its window, as that is a new request.
func (s *Server) expireKey(key string, arrived time.Duration) {
	if entry := s.keys.entries[key]; entry != nil && entry.completed && arrived > entry.until {
		s.dropKey(entry, Answer{Verdict: Aborted})
	}
}

// attachKey gives a keyed request its key. A duplicate also gets its original's entry; for an original an entry is
// added.
func (s *Server) attachKey(request *Request, in *IncomingRequest) {
	if request.Route.Idempotency != admission.Keyed {
		return
	}
	request.key = keyOf(in.Route, in.Key)
	request.original = s.keys.entries[request.key]
	request.Duplicate = request.original != nil
	if request.original == nil { // added before the decision: a duplicate in the same round must not count as an original
		s.keys.add(&keyEntry{
			key: request.key, fingerprint: in.Fingerprint, until: s.Now() + request.Route.DedupWindow + initialKeyMargin,
		})
	}
}

// answerDuplicate answers a duplicate, and has this reported to the controller.
func (s *Server) answerDuplicate(request *Request, a Answer) {
	if request.answered { // its deadline has passed, or its caller has canceled
		return
	}
	s.round.duplicates = append(s.round.duplicates, &request.Request)
	s.answer(request, a)
}

// completeKeyOnAnswer stores the answer to an original for its duplicates. If an original was aborted while its run is
// active, the key stays incomplete, as the run may still succeed.
func (s *Server) completeKeyOnAnswer(request *Request, a Answer) {
	entry := s.keys.entries[request.key]
	if request.key == "" || request.Duplicate || entry == nil || entry.completed {
		return
	}
	switch {
	case a.Verdict == Rejected:
		s.dropKey(entry, a) // it never ran, whether the controller or the server rejected it
	case a.Verdict == Served || !request.active:
		s.completeKey(entry, a)
	}
}

// completeKeyOnEnd stores the outcome of the run of an original that was already answered.
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

// completeKey completes a key. A result that exceeds the memory limit for results is not stored: duplicates are then
// aborted, and never run.
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

// releaseKeyOfUnstarted drops the key of a request whose run never began, so that a duplicate may run. The key stays if
// the workers were told to start the run and are not this process: that they report it as never started may mean that
// they know a run of the same ID.
func (s *Server) releaseKeyOfUnstarted(request *Request) {
	if !request.sent || s.limits.RunsEndOnlyByReport {
		s.dropKey(s.keys.entries[request.key], Answer{Verdict: Rejected})
	}
}

func (s *Server) answerWaiting(entry *keyEntry) {
	waiting := entry.waiting
	entry.waiting = nil
	for _, request := range waiting {
		s.answerDuplicate(request, entry.answer)
	}
}

// dropKey removes a key. Duplicates that wait for its original are answered with a.
func (s *Server) dropKey(entry *keyEntry, a Answer) {
	if entry == nil {
		return
	}
	s.keys.remove(entry)
	if !entry.completed {
		entry.completed, entry.answer = true, a
	}
	s.answerWaiting(entry)
}

// detectStall detects that the event loop did not run for longer than stallAfter. Requests that arrived meanwhile are
// still unread.
func (s *Server) detectStall(now time.Duration) {
	if s.keys.lastRoundAt > 0 && now > s.keys.lastRoundAt+stallAfter {
		s.keys.unreadUntil = now + maxReadDelay
	}
	s.keys.lastRoundAt = now
}

// expireKeys drops the keys whose window is over and of which no duplicate can still be unread.
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
