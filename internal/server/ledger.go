package server

import (
	"time"

	"quartzpoint/admission"
)

const ledgerPollPeriod = 20 * time.Millisecond // between looks whether the ledger has what waits for it

// Ledger stores idempotency keys where they survive a crash. The event loop makes all calls, and they must not block. Each is
// told how much of the key's window is left.
type Ledger interface {
	// RecordStart stores that a key is about to run; the run waits until DurableMark has reached the mark.
	RecordStart(key string, fingerprint uint64, remaining time.Duration) (mark uint64)
	// RecordEnd stores how the run ended. The result must not be changed afterwards.
	RecordEnd(key string, fingerprint uint64, remaining time.Duration, served bool, result []byte)
	// DurableMark is the mark up to which all is stored, or can't be for now: what waits for it goes on. Wake reports a change.
	DurableMark() uint64
}

// KeyRecord is a key of an earlier process. One that was not served has begun, and how it ended is not known: duplicates of it
// are aborted, as it may have had its effect.
type KeyRecord struct {
	Key         string
	Fingerprint uint64
	Remaining   time.Duration // of its window
	Served      bool
	Result      []byte
}

// SetLedger has keyed requests run only once the ledger has their keys, before Run.
func (s *Server) SetLedger(l Ledger) { s.keys.ledger = l }

// RestoreKeys takes in what an earlier process stored, on the event loop or before Run. What is known here already is newer.
func (s *Server) RestoreKeys(records []KeyRecord) {
	for _, record := range records {
		if s.keys.entries[record.Key] != nil {
			continue
		}
		entry := &keyEntry{
			key: record.Key, fingerprint: record.Fingerprint, until: s.Now() + record.Remaining,
			completed: true, answer: Answer{Verdict: Aborted},
		}
		if record.Served && s.keys.resultBytes+len(record.Result) <= s.keys.maxResultBytes {
			entry.answer = Answer{Verdict: Served, Result: record.Result}
			s.keys.resultBytes += len(record.Result)
		}
		s.keys.entries[record.Key] = entry
	}
}

// recordStart has the ledger store that a request is about to run. startRecorded starts it.
func (s *Server) recordStart(request *Request) {
	entry := s.keys.entries[request.key]
	if entry == nil { // its window was over before it could start
		s.startRun(request)
		return
	}
	request.inLedger, request.awaitsLedger, request.pausedBeforeStart = true, true, false
	request.ledgerMark = s.keys.ledger.RecordStart(entry.key, entry.fingerprint, entry.until-s.round.Now)
	s.keys.awaitingLedger = append(s.keys.awaitingLedger, request)
}

// startRecorded starts the runs whose keys the ledger has, and ends those that were answered before: they never ran.
func (s *Server) startRecorded() {
	if len(s.keys.awaitingLedger) == 0 {
		return
	}
	safe := s.keys.ledger.DurableMark()
	left := s.keys.awaitingLedger[:0]
	for _, request := range s.keys.awaitingLedger {
		switch {
		case request.answered:
			request.awaitsLedger = false
			s.endRun(request, admission.NeverStarted, 0, nil)
		case request.ledgerMark > safe, request.pausedBeforeStart:
			left = append(left, request)
		default:
			request.awaitsLedger = false
			s.startRun(request)
		}
	}
	clear(s.keys.awaitingLedger[len(left):])
	s.keys.awaitingLedger = left
}
