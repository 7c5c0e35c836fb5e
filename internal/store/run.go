package store

import (
	"errors"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/recovery"
)

const (
	idleCommitsBeforeSleep = 20          // commit intervals without a record, after which the goroutine stops polling
	sleepInterval          = time.Hour   // longest wait if there is nothing to do
	expireInterval         = time.Second // minimum time between two removals of expired entries from a full key table
	// estimatesInterval is the minimum time between two writes of estimates. It is a little less than the second in
	// which the server publishes its estimates, so that each publication is written although its time varies.
	estimatesInterval = 900 * time.Millisecond
)

// batch holds what was queued since the previous iteration of run.
type batch struct {
	records   []queuedRecord
	lastMark  uint64
	estimates *estimate.Snapshot
	closing   bool
}

// run is the main loop of the store's goroutine. It writes records that arrive within one commit interval together.
func (s *Store) run() {
	defer close(s.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for idleCommits := 0; ; {
		timer.Reset(s.nextWait(idleCommits))
		select {
		case <-s.wake:
		case <-timer.C:
		case err := <-s.job: // nil if no job runs; a nil channel is never ready
			if s.job = nil; err != nil {
				s.suspend(err)
			}
		}
		if s.writer == nil && s.now() >= s.retryAt {
			s.retry()
		}
		b := s.dequeue()
		if idleCommits++; len(b.records) > 0 {
			idleCommits = 0
		}
		if b.estimates != nil {
			s.pendingEstimates = b.estimates
		}
		s.writeRecords(b.records, b.lastMark)
		s.startDueJob()
		if b.closing {
			s.closeErr = s.finish()
			return
		}
	}
}

// nextWait decides whether the goroutine polls, and returns how long it waits for new work.
func (s *Store) nextWait(idleCommits int) time.Duration {
	wait := sleepInterval
	if s.writer == nil {
		wait = max(s.retryAt-s.now(), 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polling = s.writer != nil && s.options.CommitInterval > 0 && idleCommits < idleCommitsBeforeSleep
	switch {
	case s.polling:
		return s.options.CommitInterval
	case len(s.queue) > 0: // queued while the goroutine was polling, so no caller woke it
		return 0
	}
	return wait
}

// dequeue returns everything that is queued. It first waits for the commit interval so that more records are queued,
// unless the goroutine has just done so by polling.
func (s *Store) dequeue() batch {
	s.mu.Lock()
	gather := len(s.queue) > 0 && s.writer != nil && !s.closing && !s.polling
	s.mu.Unlock()
	if gather && s.options.CommitInterval > 0 {
		time.Sleep(s.options.CommitInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{records: s.queue, lastMark: s.lastMark, estimates: s.queuedEstimates, closing: s.closing}
	s.queue, s.queuedEstimates, s.queuedBytes = nil, nil, 0
	return b
}

// writeRecords stores records and releases the requests that wait for them.
func (s *Store) writeRecords(records []queuedRecord, lastMark uint64) {
	if len(records) == 0 {
		return
	}
	now := s.now()
	for _, r := range records {
		s.putRecord(r, now)
	}
	if s.writer != nil {
		s.writingSince.Store(int64(now))
		err := s.writer.commit()
		s.writingSince.Store(0)
		if err != nil {
			s.suspend(err)
		}
	}
	s.durableMark.Store(lastMark)
	s.options.OnDurable()
}

// putRecord adds a record to the key table, and to the next commit if there is a writer. If the table is full, a new
// key is not stored at all, and a known key is stored without its result.
func (s *Store) putRecord(r queuedRecord, now time.Duration) {
	keys := s.unwritten
	if s.writer != nil {
		keys = s.writer.keys
	}
	r.entry.ExpiresAt = now + r.remaining
	if keys.SizeBytes()+r.sizeBytes() > s.maxTableBytes() && now >= s.expiredAt+expireInterval {
		keys.Expire(now)
		s.expiredAt = now
	}
	if _, known := keys.Get(r.entry.Key); !known && keys.SizeBytes()+r.sizeBytes() > s.maxTableBytes() {
		s.options.Counts.Count(countTableFull)
		return
	}
	if keys.SizeBytes()+len(r.entry.Result) > s.maxTableBytes() {
		s.options.Counts.Count(countResultTableFull)
		r.entry.Served, r.entry.Result = false, nil
	}
	if s.writer != nil {
		s.writer.appendRecord(r.entry, r.finished, now)
	} else {
		keys.Put(r.entry)
	}
}

func (s *Store) maxTableBytes() int { return int(s.options.MaxBytes / sizeParts) }

// startDueJob starts the job that is due, if any. Only one job runs at a time.
func (s *Store) startDueJob() {
	switch {
	case s.writer == nil || s.job != nil:
	case s.options.PersistKeys && s.writer.needsKeyTable():
		s.startJob(s.writer.keyTableJob())
	case s.pendingEstimates != nil && s.now() >= s.estimatesWrittenAt+estimatesInterval:
		if job := s.estimatesJob(); job != nil {
			s.startJob(job)
		}
	}
}

// estimatesJob returns the job that writes the newest estimates, or nil if they should not be persisted.
func (s *Store) estimatesJob() func() error {
	snapshot, now := s.pendingEstimates, s.now()
	s.pendingEstimates = nil
	if snapshot == nil || !recovery.ShouldPersist(*snapshot, s.writtenEstimates, now-s.estimatesWrittenAt) {
		return nil
	}
	s.writtenEstimates, s.estimatesWrittenAt = *snapshot, now
	return s.writer.estimatesJob(*snapshot)
}

// startJob runs a job on a separate goroutine. The store's goroutine waits for it before it closes the directory.
func (s *Store) startJob(job func() error) {
	done := make(chan error, 1)
	s.job = done
	go func() { done <- job() }()
}

// finish waits for the running job, writes the newest estimates, and closes the directory. It returns an error if not
// all state is on disk.
func (s *Store) finish() error {
	if s.writer == nil {
		return errSuspended
	}
	var err error
	if s.job != nil {
		err = <-s.job
	}
	if job := s.estimatesJob(); job != nil && err == nil {
		err = job()
	}
	if err = errors.Join(err, s.writer.close()); err != nil {
		s.options.Log.Error("state not written completely", "error", err)
	}
	return err
}
