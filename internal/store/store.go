package store

import (
	"errors"
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
	maxQueueBytes          = 4 << 20 // bytes of records that wait for the disk
	stallTimeout           = time.Second
	minRetryDelay          = time.Second
	maxRetryDelay          = 30 * time.Second
	lockTimeout            = 3 * time.Second // over the 2.5 s that a server before this one may take to leave
	lockRetryInterval      = 50 * time.Millisecond
	idleCommitsBeforeSleep = 20          // commits without a record, after which the store's goroutine rests
	expireInterval         = time.Second // between looks through a table that is full
	closeTimeout           = 250 * time.Millisecond
	estimatesInterval      = 900 * time.Millisecond // views come once a second, give or take
)

// Options are what a store is made from.
type Options struct {
	OpenDir        func(only bool) (datadir.Dir, error) // only to read: without the lock
	Clock          func() recovery.Timestamp
	NewID          func() uint64 // draws one; those of two files must differ
	Site           string
	Schema         estimate.Schema // which views fit
	MaxBytes       int64           // bytes of all files
	CommitInterval time.Duration   // for which records are gathered before they are written
	PersistKeys    bool            // whether the table of numbers is kept
	Counts         *invariant.Counts
	Log            *slog.Logger
	OnDurable      func() // called when Safe has changed, from the store's goroutine
	// Late takes what could be read only after the start, from the store's goroutine.
	OnLateRecovery func(Recovered)
}

// Recovered is what a folder held. The view is aged, and not Fresh where none can be used; windows are by the clock of
// the boot.
type Recovered struct {
	Estimates       estimate.Snapshot
	Keys            []recovery.KeyEntry
	UnknownOutcomes int           // of them, that were begun and not known to have ended
	ReadAt          time.Duration // when it was read, by the clock of the boot
	Duration        time.Duration
}

// Store writes what it is given and never has its caller wait. What can't be written is not kept: the server goes on
// without it, one line says so, and the folder is tried again with growing pauses. Then all that is still known is
// written anew.
type Store struct {
	options Options
	wake    chan struct{}
	stopped chan struct{}

	mu              sync.Mutex
	queue           []queuedRecord
	queuedBytes     int
	lastMark        uint64 // mark of the last record that was given
	queuedEstimates *estimate.Snapshot
	closing         bool
	polling         bool // the store's goroutine looks by itself; to wake it would cost the owner's turn some microseconds

	durableMark  atomic.Uint64 // mark up to which all is durable
	suspended    atomic.Bool
	writingSince atomic.Int64 // since when the disk is written to, in the clock of the boot; 0 while it is not

	// The store's goroutine's own.
	writer             *writer
	unwritten          *recovery.KeyTable // of the numbers, while there is no book
	retryAt            time.Duration      // when the folder is tried again
	retryDelay         time.Duration
	job                chan error         // of the job that runs, nil without one
	pendingEstimates   *estimate.Snapshot // to be written
	writtenEstimates   estimate.Snapshot  // as last written
	estimatesWrittenAt time.Duration
	expiredAt          time.Duration
}

// queuedRecord is a record on its way. Its window is counted from when it is taken up, a little late: that makes it longer.
type queuedRecord struct {
	entry     recovery.KeyEntry
	remaining time.Duration
	finished  bool
}

func (r queuedRecord) sizeBytes() int { return len(r.entry.Key) + len(r.entry.Result) + 128 }

// New reads a folder and begins to keep what it is given. A folder that another process holds is waited for, and then
// an error: two servers with one folder would each run what the other has run. Any other failure is not.
func New(t Options) (*Store, Recovered, error) {
	s := &Store{options: t, wake: make(chan struct{}, 1), stopped: make(chan struct{}), retryDelay: minRetryDelay, unwritten: recovery.NewKeyTable()}
	var had Recovered
	var err error
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if had, err = s.open(); !errors.Is(err, datadir.ErrInUse) || time.Now().After(end) {
			break
		}
	}
	if errors.Is(err, datadir.ErrInUse) {
		return nil, Recovered{}, err
	}
	if err != nil {
		had.merge(s.openReadOnly())
		s.suspend(err)
	}
	go s.run()
	return s, had, nil
}

// RecordStart takes that a number is about to run; left is what is left of its window. Once Safe has reached the mark the run
// may begin.
func (s *Store) RecordStart(key string, shape uint64, left time.Duration) (mark uint64) {
	return s.enqueue(key, shape, left, false, false, nil)
}

// RecordEnd takes how a number ended. The result is not copied and must not change: snapshots are written of it later.
func (s *Store) RecordEnd(key string, shape uint64, left time.Duration, honoured bool, result []byte) {
	s.enqueue(key, shape, left, true, honoured, result)
}

func (s *Store) enqueue(key string, shape uint64, left time.Duration, ended, honoured bool, result []byte) (mark uint64) {
	if !s.options.PersistKeys {
		return 0
	}
	if len(key) > maxKeyBytes {
		s.options.Counts.Saw("number too long to be kept on disk")
		return 0
	}
	if len(result) > maxResultBytes {
		s.options.Counts.Saw("result too large to be kept on disk")
		honoured, result = false, nil
	}
	q := queuedRecord{recovery.KeyEntry{Key: key, Shape: shape, Served: honoured, Result: result}, left, ended}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedBytes+q.sizeBytes() > maxQueueBytes {
		s.options.Counts.Saw("numbered task not kept on disk: too many wait for it")
		return 0
	}
	s.queue = append(s.queue, q)
	s.queuedBytes += q.sizeBytes()
	s.lastMark++
	if !s.polling {
		s.wakeWriter()
	}
	return s.lastMark
}

// DurableMark is the mark up to which all that was given is durable, or can't be made so for now: the policy is to serve on
// without. A disk that neither fails nor answers for a second counts as one that fails.
func (s *Store) DurableMark() uint64 {
	if s.suspended.Load() {
		return math.MaxUint64
	}
	if since := s.writingSince.Load(); since > 0 && s.options.Clock().SinceBoot-time.Duration(since) > stallTimeout {
		s.options.Counts.Saw("disk stalled, numbered tasks run without it")
		return math.MaxUint64
	}
	return s.durableMark.Load()
}

// SaveEstimates takes what the server has learned. The newest is written, once a second at the most.
func (s *Store) SaveEstimates(snapshot estimate.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedEstimates = &snapshot
	s.wakeWriter()
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes what is left and ends. It waits for a disk only so long.
func (s *Store) Close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.stopped:
	case <-time.After(closeTimeout):
		s.options.Log.Warn("state not written to the end", "waited", closeTimeout)
	}
}

func (s *Store) now() time.Duration { return s.options.Clock().SinceBoot }

// merge joins what was had with what was had behind it.
func (r *Recovered) merge(more Recovered) {
	if !r.Estimates.Fresh() {
		r.Estimates = more.Estimates
	}
	r.Keys = append(r.Keys, more.Keys...)
	r.UnknownOutcomes += more.UnknownOutcomes
	r.ReadAt = max(r.ReadAt, more.ReadAt)
}

func (s *Store) newWriter(in datadir.Dir) *writer {
	return &writer{
		dir: in, clock: s.options.Clock, newID: s.options.NewID, site: s.options.Site, maxBytes: s.options.MaxBytes, persistKeys: s.options.PersistKeys,
	}
}

// readState takes in what a folder holds, and gives what of it was not known.
func (s *Store) readState(b *writer) (recovery.Plan, Recovered, error) {
	plan, err := b.plan(recovery.Environment{Now: s.options.Clock(), Site: s.options.Site, Schema: s.options.Schema})
	had := Recovered{Estimates: plan.Estimates, UnknownOutcomes: plan.UnknownOutcomes, ReadAt: s.now()}
	if err != nil {
		return plan, had, err
	}
	for _, n := range plan.Findings {
		s.options.Log.Warn("state not used", "file", n.File, "why", n.Reason)
	}
	for _, n := range plan.Keys.Entries() {
		if _, known := s.unwritten.Get(n.Key); !known {
			had.Keys = append(had.Keys, n)
			s.unwritten.Put(n)
		}
	}
	return plan, had, nil
}

// open reads the folder, and writes what is known in it anew. What it held and was not known is told, with an error too.
func (s *Store) open() (Recovered, error) {
	began := s.now()
	in, err := s.options.OpenDir(false)
	if err != nil {
		return Recovered{}, err
	}
	b := s.newWriter(in)
	plan, had, err := s.readState(b)
	if err == nil {
		err = b.apply(plan, s.unwritten)
	}
	if err != nil {
		return had, errors.Join(err, b.close())
	}
	s.writer, s.unwritten = b, nil
	had.Duration = s.now() - began
	s.options.Log.Info("state read", "view", plan.EstimatesFrom, "numbers", len(had.Keys), "unknown", plan.UnknownOutcomes, "took", had.Duration)
	return had, nil
}

// openReadOnly reads a folder that can't be written to: what has run is not to run again for that.
func (s *Store) openReadOnly() Recovered {
	in, err := s.options.OpenDir(true)
	if err != nil {
		return Recovered{}
	}
	defer in.Close()
	_, had, _ := s.readState(s.newWriter(in)) // what can't be read is told by the failure that came before
	return had
}

// suspend goes on without the folder.
func (s *Store) suspend(err error) {
	s.options.Counts.Saw("state not kept: disk")
	if !s.suspended.Swap(true) {
		s.options.Log.Error("state is not kept, serving on without it", "error", err, "again_in", s.retryDelay)
	}
	if s.writer != nil {
		if s.job != nil { // it writes to the same folder
			<-s.job
			s.job = nil
		}
		s.unwritten = s.writer.keys
		_ = s.writer.close() // nothing of it counts any more
		s.writer = nil
	}
	s.retryAt = s.now() + s.retryDelay
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	s.writingSince.Store(0)
	s.options.OnDurable()
}

// retry tries the folder again.
func (s *Store) retry() {
	had, err := s.open()
	if s.options.OnLateRecovery != nil && (len(had.Keys) > 0 || had.Estimates.Fresh()) {
		s.options.OnLateRecovery(had)
	}
	if err != nil {
		s.suspend(err)
		return
	}
	s.retryDelay = minRetryDelay
	s.suspended.Store(false)
	s.options.Log.Info("state is kept again")
}

// run writes. Records that came within the commit's span go to the disk together.
func (s *Store) run() {
	defer close(s.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for quiet := 0; ; {
		wait := time.Hour
		if s.writer == nil {
			wait = max(s.retryAt-s.now(), 0)
		}
		s.mu.Lock()
		s.polling = s.writer != nil && s.options.CommitInterval > 0 && quiet < idleCommitsBeforeSleep
		if s.polling {
			wait = s.options.CommitInterval
		} else if len(s.queue) > 0 { // came while it was awake
			wait = 0
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-s.wake:
		case <-timer.C:
		case err := <-s.job: // nothing comes without one
			if s.job = nil; err != nil {
				s.suspend(err)
			}
		}
		if s.writer == nil && s.now() >= s.retryAt {
			s.retry()
		}
		s.mu.Lock()
		gather := len(s.queue) > 0 && s.writer != nil && !s.closing && !s.polling // awake, it gathers as it waits
		s.mu.Unlock()
		if gather && s.options.CommitInterval > 0 {
			time.Sleep(s.options.CommitInterval)
		}
		s.mu.Lock()
		queue, view, last, ending := s.queue, s.queuedEstimates, s.lastMark, s.closing
		s.queue, s.queuedEstimates, s.queuedBytes = nil, nil, 0
		s.mu.Unlock()
		if quiet++; len(queue) > 0 {
			quiet = 0
		}
		if view != nil {
			s.pendingEstimates = view
		}
		s.writeRecords(queue, last)
		s.startDueJob()
		if ending {
			s.finish()
			return
		}
	}
}

// writeRecords writes records, and lets go what waits for them.
func (s *Store) writeRecords(queue []queuedRecord, last uint64) {
	if len(queue) == 0 {
		return
	}
	table := s.unwritten
	if s.writer != nil {
		table = s.writer.keys
	}
	now := s.now()
	for _, q := range queue {
		q.entry.ExpiresAt = now + q.remaining
		if table.SizeBytes()+q.sizeBytes() > s.maxTableBytes() && now >= s.expiredAt+expireInterval {
			table.Expire(now)
			s.expiredAt = now
		}
		if _, known := table.Get(q.entry.Key); !known && table.SizeBytes()+q.sizeBytes() > s.maxTableBytes() {
			s.options.Counts.Saw("numbered task not kept on disk: beyond its bound")
			continue
		}
		if table.SizeBytes()+len(q.entry.Result) > s.maxTableBytes() {
			s.options.Counts.Saw("result not kept on disk: beyond its bound")
			q.entry.Served, q.entry.Result = false, nil
		}
		if s.writer != nil {
			s.writer.appendRecord(q.entry, q.finished, now)
		} else {
			table.Put(q.entry)
		}
	}
	if s.writer != nil {
		s.writingSince.Store(int64(now))
		err := s.writer.commit()
		s.writingSince.Store(0)
		if err != nil {
			s.suspend(err)
		}
	}
	s.durableMark.Store(last)
	s.options.OnDurable()
}

func (s *Store) maxTableBytes() int { return int(s.options.MaxBytes / sizeParts) }

// startDueJob begins the job that is due, if any. One runs at a time.
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

// estimatesJob is the job of writing the newest view, nil where that is not worth it.
func (s *Store) estimatesJob() func() error {
	v, now := s.pendingEstimates, s.now()
	s.pendingEstimates = nil
	if v == nil || !recovery.ShouldPersist(*v, s.writtenEstimates, now-s.estimatesWrittenAt) {
		return nil
	}
	s.writtenEstimates, s.estimatesWrittenAt = *v, now
	return s.writer.estimatesJob(*v)
}

func (s *Store) startJob(job func() error) {
	s.job = make(chan error, 1)
	ended := s.job
	go func() { ended <- job() }()
}

// finish waits for the job that runs, writes the newest view, and lets the folder go.
func (s *Store) finish() {
	if s.writer == nil {
		return
	}
	var err error
	if s.job != nil {
		err = <-s.job
	}
	if job := s.estimatesJob(); job != nil && err == nil {
		err = job()
	}
	if err = errors.Join(err, s.writer.close()); err != nil {
		s.options.Log.Error("state not written to the end", "error", err)
	}
}
