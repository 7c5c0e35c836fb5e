package store

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/recovery"
)

const (
	maxKeyBytes = 8 << 10
	// maxResultBytes is the maximum size of a stored result. After a restart, repeats of a key with a larger result
	// are aborted, and still not run.
	maxResultBytes    = 64 << 10
	maxQueueBytes     = 4 << 20 // of records that wait to be written
	recordMemoryBytes = 128     // of a queued record without its key and result

	stallTimeout      = time.Second     // requests stop waiting for a write that takes longer
	lockTimeout       = 3 * time.Second // more than the 2.5 s that the previous process may take to shut down
	lockRetryInterval = 50 * time.Millisecond
	closeTimeout      = 250 * time.Millisecond
)

// The errors that Close returns in addition to those of the directory.
var (
	errCloseTimeout = fmt.Errorf("state not written completely within %v", closeTimeout)
	errSuspended    = errors.New("state directory cannot be used")
)

// Options configures a Store.
type Options struct {
	// OpenDir opens the directory. If readOnly is set, it does not take the lock of the directory.
	OpenDir func(readOnly bool) (datadir.Dir, error)
	Clock   func() recovery.Timestamp
	NewID   func() uint64 // random; unique to each file
	Site    string        // files of another site are not used
	Schema  estimate.Schema
	// MaxBytes is the limit for the total size of all files.
	MaxBytes int64
	// CommitInterval is the time for which records are collected before they are written together; 0 for none.
	CommitInterval time.Duration
	PersistKeys    bool // whether idempotency keys are stored in addition to the estimates
	Counts         *invariant.Counters
	Log            *slog.Logger
	// OnDurable is called after DurableMark has changed: on the store's goroutine or, during New, on that of its
	// caller.
	OnDurable func()
	// OnLateRecovery receives the state that could be read only after the start. It is called on the store's goroutine
	// and may be nil.
	OnLateRecovery func(Recovered)
}

// Recovered is the state that was read from a directory.
type Recovered struct {
	Estimates    estimate.Snapshot // aged to ReadAt; without a fresh estimate (HasFresh) if none can be used
	Keys         []recovery.KeyEntry
	UnservedKeys int           // keys whose requests started and are not known to have been served
	ReadAt       time.Duration // boot clock
	Duration     time.Duration // of reading and rewriting the directory
}

// merge adds state that was read later. Fresh estimates are kept, not replaced by later ones.
func (r *Recovered) merge(later Recovered) {
	if !r.Estimates.HasFresh() {
		r.Estimates = later.Estimates
	}
	r.Keys = append(r.Keys, later.Keys...)
	r.UnservedKeys += later.UnservedKeys
	r.ReadAt = max(r.ReadAt, later.ReadAt)
}

// Store writes records and estimates to a directory and never blocks its callers. If the disk fails, the server
// continues without it: the store logs the failure once, retries the directory with growing delays, and then rewrites
// all state that is still known.
//
// After New, which reads the directory on its caller's goroutine, one goroutine owns the directory until Close. Jobs
// that write estimates or a new key table may stall, so they run on a separate goroutine, one at a time. The store's
// goroutine waits for them only before it closes the directory.
type Store struct {
	options Options
	wake    chan struct{}
	stopped chan struct{}
	// closeErr is set before stopped is closed.
	closeErr error

	mu              sync.Mutex
	queue           []queuedRecord
	queuedBytes     int
	lastMark        uint64 // of the last queued record
	queuedEstimates *estimate.Snapshot
	closing         bool
	polling         bool // the store's goroutine polls the queue, which spares the callers the cost of waking it

	durableMark  atomic.Uint64
	suspended    atomic.Bool  // the directory cannot be used
	writingSince atomic.Int64 // boot clock when the current write started; 0 if there is none

	// Used by New, and then only by the store's goroutine.
	writer             *writer            // nil while suspended
	unwritten          *recovery.KeyTable // the key table while there is no writer
	retryAt            time.Duration      // boot clock
	retryDelay         time.Duration
	job                chan error // receives the result of the running job; nil if none runs
	pendingEstimates   *estimate.Snapshot
	writtenEstimates   estimate.Snapshot
	estimatesWrittenAt time.Duration // boot clock
	expiredAt          time.Duration // boot clock at the last removal of expired entries from a full key table
}

// queuedRecord is a record that waits to be written. Its dedup window is counted from the time when it is dequeued. As
// that is a little late, the stored window can be longer than the remaining one, but never shorter.
type queuedRecord struct {
	entry     recovery.KeyEntry // without ExpiresAt
	remaining time.Duration
	finished  bool
}

func (r queuedRecord) sizeBytes() int {
	return len(r.entry.Key) + len(r.entry.Result) + recordMemoryBytes
}

// New reads a directory and starts a store that writes to it. If another process has the lock of the directory, New
// retries for lockTimeout and then returns datadir.ErrInUse: two servers with one directory would each run requests
// that the other has run already. After any other failure the store starts suspended, and New returns no error.
func New(options Options) (*Store, Recovered, error) {
	s := &Store{
		options: options, wake: make(chan struct{}, 1), stopped: make(chan struct{}), retryDelay: minRetryDelay,
		unwritten: recovery.NewKeyTable(),
	}
	var recovered Recovered
	var err error
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if recovered, err = s.open(); !errors.Is(err, datadir.ErrInUse) || time.Now().After(deadline) {
			break
		}
	}
	if errors.Is(err, datadir.ErrInUse) {
		return nil, Recovered{}, err
	}
	if err != nil {
		recovered.merge(s.openReadOnly())
		s.suspend(err)
	}
	go s.run()
	return s, recovered, nil
}

// RecordStart stores that the request of a key is about to run. remaining is the time left of its dedup window. The
// request may run once DurableMark has reached mark.
func (s *Store) RecordStart(key string, fingerprint uint64, remaining time.Duration) (mark uint64) {
	return s.enqueue(queuedRecord{
		entry: recovery.KeyEntry{Key: key, Fingerprint: fingerprint}, remaining: remaining,
	})
}

// RecordEnd stores the outcome of a request. The result is not copied and must not be changed afterwards: later
// snapshots include it.
func (s *Store) RecordEnd(key string, fingerprint uint64, remaining time.Duration, served bool, result []byte) {
	s.enqueue(queuedRecord{
		entry:     recovery.KeyEntry{Key: key, Fingerprint: fingerprint, Served: served, Result: result},
		remaining: remaining, finished: true,
	})
}

// enqueue queues a record and returns its mark, or 0 if the record will not be stored.
func (s *Store) enqueue(r queuedRecord) (mark uint64) {
	if !s.options.PersistKeys {
		return 0
	}
	if len(r.entry.Key) > maxKeyBytes {
		s.options.Counts.Count(countKeyTooLong)
		return 0
	}
	if len(r.entry.Result) > maxResultBytes {
		s.options.Counts.Count(countResultTooLong)
		r.entry.Served, r.entry.Result = false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedBytes+r.sizeBytes() > maxQueueBytes {
		s.options.Counts.Count(countQueueFull)
		return 0
	}
	s.queue = append(s.queue, r)
	s.queuedBytes += r.sizeBytes()
	s.lastMark++
	if !s.polling {
		s.wakeWriter()
	}
	return s.lastMark
}

// DurableMark returns the mark up to which requests need not wait any longer: their records are durable, or cannot be
// made durable for now and the server runs without the disk. A write that takes longer than stallTimeout counts as a
// disk failure.
func (s *Store) DurableMark() uint64 {
	if s.suspended.Load() {
		return math.MaxUint64
	}
	if since := s.writingSince.Load(); since > 0 && s.now()-time.Duration(since) > stallTimeout {
		s.options.Counts.Count(countDiskStalled)
		return math.MaxUint64
	}
	return s.durableMark.Load()
}

// SaveEstimates stores a snapshot in place of the previous one. The newest is written about once a second.
func (s *Store) SaveEstimates(snapshot estimate.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedEstimates = &snapshot
	s.wakeWriter()
}

// Close writes the queued state and closes the directory. It waits up to closeTimeout for that, and returns an error if
// not all state is on disk by then.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.stopped:
		return s.closeErr
	case <-time.After(closeTimeout):
		s.options.Log.Warn("state not written completely", "waited", closeTimeout)
		return errCloseTimeout
	}
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now returns the reading of the boot clock.
func (s *Store) now() time.Duration { return s.options.Clock().SinceBoot }
