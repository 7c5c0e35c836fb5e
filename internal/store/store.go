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
	// maxResultBytes bounds a stored result. After a restart, repeats of a key with a larger one are aborted and still
	// not run.
	maxResultBytes    = 64 << 10
	maxQueueBytes     = 4 << 20 // of records that wait for the disk
	recordMemoryBytes = 128     // of a queued record beside its key and result

	stallTimeout      = time.Second     // of a write, after which requests no longer wait for it
	lockTimeout       = 3 * time.Second // over the 2.5 s that the process before may take to shut down
	lockRetryInterval = 50 * time.Millisecond
	closeTimeout      = 250 * time.Millisecond
)

// The errors of Close, beside those of the directory.
var (
	errCloseTimeout = fmt.Errorf("state not written completely within %v", closeTimeout)
	errSuspended    = errors.New("the state directory cannot be used")
)

// Options configure a Store.
type Options struct {
	// OpenDir opens the directory, read-only without taking its lock.
	OpenDir func(readOnly bool) (datadir.Dir, error)
	Clock   func() recovery.Timestamp
	NewID   func() uint64 // random; those of two files must differ
	Site    string        // files of another site are not used
	Schema  estimate.Schema
	// MaxBytes limits the size of all files together.
	MaxBytes int64
	// CommitInterval is the time for which records are gathered before they are written together; 0 for none.
	CommitInterval time.Duration
	PersistKeys    bool // whether idempotency keys are stored, beside the estimates
	Counts         *invariant.Counters
	Log            *slog.Logger
	// OnDurable is called when DurableMark has changed: from the store's goroutine, or during New from its caller's.
	OnDurable func()
	// OnLateRecovery gets what could be read only after the start, from the store's goroutine. It may be nil.
	OnLateRecovery func(Recovered)
}

// Recovered is what a directory held.
type Recovered struct {
	Estimates    estimate.Snapshot // aged to ReadAt; without a fresh one (HasFresh) if none can be used
	Keys         []recovery.KeyEntry
	UnservedKeys int           // keys that started and are not known to have been served
	ReadAt       time.Duration // by the boot clock
	Duration     time.Duration // of reading the directory and writing it anew
}

// merge adds what was read later. Of two snapshots of the estimates the first is kept.
func (r *Recovered) merge(later Recovered) {
	if !r.Estimates.HasFresh() {
		r.Estimates = later.Estimates
	}
	r.Keys = append(r.Keys, later.Keys...)
	r.UnservedKeys += later.UnservedKeys
	r.ReadAt = max(r.ReadAt, later.ReadAt)
}

// Store writes what it is given and never blocks its callers. If the disk fails, the server runs on without it: the store
// logs that once, retries the directory with growing delays, and then writes all that is still known anew.
//
// After New, which reads the directory in its caller's goroutine, one goroutine owns the directory until Close. It hands single
// operations that may stall to a goroutine of their own, one at a time, and waits for them only so long.
type Store struct {
	options Options
	wake    chan struct{}
	stopped chan struct{}
	// closeErr is set before stopped is closed.
	closeErr error

	mu              sync.Mutex
	queue           []queuedRecord
	queuedBytes     int
	lastMark        uint64 // of the last record that was queued
	queuedEstimates *estimate.Snapshot
	closing         bool
	polling         bool // the goroutine looks at the queue by itself, which spares the caller the cost of waking it

	durableMark  atomic.Uint64
	suspended    atomic.Bool  // the directory cannot be used
	writingSince atomic.Int64 // boot clock when the current write started; 0 while there is none

	// Of the store's goroutine alone.
	writer             *writer            // nil while suspended
	unwritten          *recovery.KeyTable // the key table while there is no writer
	retryAt            time.Duration      // boot clock
	retryDelay         time.Duration
	job                chan error // gets the result of the running job; nil if none runs
	pendingEstimates   *estimate.Snapshot
	writtenEstimates   estimate.Snapshot
	estimatesWrittenAt time.Duration // boot clock
	expiredAt          time.Duration // boot clock when a full key table was last searched for expired entries
}

// queuedRecord is a record that waits to be written. Its window is counted from when it is dequeued, a little late,
// which makes it longer and never shorter.
type queuedRecord struct {
	entry     recovery.KeyEntry // without ExpiresAt
	remaining time.Duration
	finished  bool
}

func (r queuedRecord) sizeBytes() int {
	return len(r.entry.Key) + len(r.entry.Result) + recordMemoryBytes
}

// New reads a directory and starts to store what it is given. If another process holds the directory's lock, New waits
// for it and then fails with datadir.ErrInUse: two servers with one directory would each run what the other has run.
// After any other failure the store starts suspended, and New returns no error.
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

// RecordStart stores that the request of a key is about to run. remaining is what is left of its deduplication window.
// The request may run once DurableMark has reached the mark.
func (s *Store) RecordStart(key string, fingerprint uint64, remaining time.Duration) (mark uint64) {
	return s.enqueue(queuedRecord{
		entry: recovery.KeyEntry{Key: key, Fingerprint: fingerprint}, remaining: remaining,
	})
}

// RecordEnd stores the outcome of a request. The result is not copied and must not be changed: later snapshots hold it.
func (s *Store) RecordEnd(key string, fingerprint uint64, remaining time.Duration, served bool, result []byte) {
	s.enqueue(queuedRecord{
		entry:     recovery.KeyEntry{Key: key, Fingerprint: fingerprint, Served: served, Result: result},
		remaining: remaining, finished: true,
	})
}

// enqueue returns the record's mark, or 0 if it is not going to be stored.
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

// DurableMark returns the mark up to which requests need not wait any longer: the records are durable, or cannot be made
// so for now, as the server runs on without the disk. A write that takes over stallTimeout counts as a failed disk.
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

// SaveEstimates stores a snapshot in place of the one before it. The newest is written about once a second.
func (s *Store) SaveEstimates(snapshot estimate.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedEstimates = &snapshot
	s.wakeWriter()
}

// Close has what is queued written and the directory closed. It waits for that up to closeTimeout, and returns an error where
// not all of the state is on disk by then.
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

// now reads the boot clock.
func (s *Store) now() time.Duration { return s.options.Clock().SinceBoot }
