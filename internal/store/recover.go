package store

import (
	"errors"
	"time"

	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// The delay before the directory is retried is minRetryDelay at first. It doubles with each failure, up to
// maxRetryDelay.
const (
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

func (s *Store) newWriter(dir datadir.Dir) *writer {
	return &writer{
		dir: dir, clock: s.options.Clock, newID: s.options.NewID, site: s.options.Site,
		maxBytes: s.options.MaxBytes, persistKeys: s.options.PersistKeys,
	}
}

// readState reads a directory, decides which state in it is used, and adds the keys to s.unwritten. The returned
// Recovered contains only the keys that s.unwritten did not contain before.
func (s *Store) readState(w *writer) (recovery.Plan, Recovered, error) {
	plan, err := w.plan(recovery.Environment{Now: s.options.Clock(), Site: s.options.Site, Schema: s.options.Schema})
	recovered := Recovered{Estimates: plan.Estimates, UnservedKeys: plan.UnservedKeys, ReadAt: s.now()}
	if err != nil {
		return plan, recovered, err
	}
	for _, finding := range plan.Findings {
		s.options.Log.Warn("state file not used", "file", finding.File, "reason", finding.Reason)
	}
	for _, entry := range plan.Keys.Entries() {
		if _, known := s.unwritten.Get(entry.Key); !known {
			recovered.Keys = append(recovered.Keys, entry)
			s.unwritten.Put(entry)
		}
	}
	return plan, recovered, nil
}

// open reads the directory and rewrites all known state. If it fails after reading, it returns the newly recovered
// state together with the error.
func (s *Store) open() (Recovered, error) {
	start := s.now()
	dir, err := s.options.OpenDir(false)
	if err != nil {
		return Recovered{}, err
	}
	w := s.newWriter(dir)
	plan, recovered, err := s.readState(w)
	if err == nil {
		err = w.apply(plan, s.unwritten)
	}
	if err != nil {
		return recovered, errors.Join(err, w.close())
	}
	s.writer, s.unwritten = w, nil
	recovered.Duration = s.now() - start
	s.options.Log.Info("state recovered", "estimates", plan.EstimatesFrom, "keys", len(recovered.Keys),
		"unserved_keys", plan.UnservedKeys, "took", recovered.Duration)
	return recovered, nil
}

// openReadOnly reads a directory that cannot be written to, so that requests that have run do not run again.
func (s *Store) openReadOnly() Recovered {
	dir, err := s.options.OpenDir(true)
	if err != nil {
		return Recovered{}
	}
	_, recovered, _ := s.readState(s.newWriter(dir)) // the failure to open the directory for writing is reported instead
	_ = dir.Close()                                  // nothing was written
	return recovered
}

// suspend continues without the directory after a failure, and schedules a retry.
func (s *Store) suspend(err error) {
	s.options.Counts.Count(countDirFailed)
	if !s.suspended.Swap(true) {
		s.options.Log.Error("state directory failed, serving without it", "error", err, "retry_in", s.retryDelay)
	}
	if s.writer != nil {
		if s.job != nil { // the job writes to the same directory
			<-s.job
			s.job = nil
		}
		s.unwritten = s.writer.keys
		_ = s.writer.close() // its files no longer matter: open rewrites all state
		s.writer = nil
	}
	s.retryAt = s.now() + s.retryDelay
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	s.writingSince.Store(0)
	s.options.OnDurable()
}

// retry opens the directory again after a failure.
func (s *Store) retry() {
	recovered, err := s.open()
	if s.options.OnLateRecovery != nil && (len(recovered.Keys) > 0 || recovered.Estimates.HasFresh()) {
		s.options.OnLateRecovery(recovered)
	}
	if err != nil {
		s.suspend(err)
		return
	}
	s.retryDelay = minRetryDelay
	s.suspended.Store(false)
	s.options.Log.Info("state directory works again")
}
