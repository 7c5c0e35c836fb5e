package server

import (
	"time"

	"quartzpoint/admission"
)

const ledgerPollPeriod = 20 * time.Millisecond // between checks whether the ledger has stored the keys that runs wait for

// Ledger stores idempotency keys so that they survive a crash. The event loop calls its methods, and they must not
// block. remaining is the time left of the key's dedup window.
type Ledger interface {
	// RecordStart stores that a request with the key is about to run. The run waits until DurableMark has reached mark.
	RecordStart(key string, fingerprint uint64, remaining time.Duration) (mark uint64)
	// RecordEnd stores how the run ended. The caller must not change result afterwards.
	RecordEnd(key string, fingerprint uint64, remaining time.Duration, served bool, result []byte)
	// DurableMark returns the mark up to which all records are stored, or can't be stored for now: their runs need not
	// wait any longer. The ledger calls Server.Wake after the mark has changed.
	DurableMark() uint64
}

// KeyRecord is a key that an earlier process stored. If Served is false the request had started and its outcome is
// unknown: duplicates of it are aborted, as it may have had its effect.
type KeyRecord struct {
	Key         string
	Fingerprint uint64
	Remaining   time.Duration // time left of the dedup window
	Served      bool
	Result      []byte
}

// SetLedger sets the ledger; keyed requests then run only once it has stored their keys. It must be called before Run.
func (s *Server) SetLedger(l Ledger) { s.keys.ledger = l }

// RestoreKeys adds the keys that an earlier process stored. A key that is already in the table is newer and stays. It
// must be called on the event loop, or before Run.
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
		s.keys.add(entry)
	}
}

// recordStart has the ledger store that a request is about to run. startRecorded then starts the run.
func (s *Server) recordStart(request *Request) {
	entry := s.keys.entries[request.key]
	if entry == nil { // its window ended before it could start
		s.startRun(request)
		return
	}
	request.inLedger, request.awaitsLedger, request.pausedBeforeStart = true, true, false
	request.ledgerMark = s.keys.ledger.RecordStart(entry.key, entry.fingerprint, entry.until-s.round.Now)
	s.keys.awaitingLedger = append(s.keys.awaitingLedger, request)
}

// startRecorded starts the runs whose keys the ledger has stored, and ends as never started the runs whose requests
// were answered meanwhile.
func (s *Server) startRecorded() {
	if len(s.keys.awaitingLedger) == 0 {
		return
	}
	durable := s.keys.ledger.DurableMark()
	remaining := s.keys.awaitingLedger[:0]
	for _, request := range s.keys.awaitingLedger {
		switch {
		case request.answered:
			request.awaitsLedger = false
			s.endRun(request, admission.NeverStarted, 0, nil)
		case request.ledgerMark > durable, request.pausedBeforeStart:
			remaining = append(remaining, request)
		default:
			request.awaitsLedger = false
			s.startRun(request)
		}
	}
	clear(s.keys.awaitingLedger[len(remaining):])
	s.keys.awaitingLedger = remaining
}
