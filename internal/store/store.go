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
	mostQueue  = 4 << 20 // bytes of records that wait for the disk
	stalled    = time.Second
	firstPause = time.Second
	mostPause  = 30 * time.Second
	lockWait   = 3 * time.Second // over the 2.5 s that a server before this one may take to leave
	lockEach   = 50 * time.Millisecond
	awakeFor   = 20          // commits without a record, after which the store's goroutine rests
	expireEach = time.Second // between looks through a table that is full
	closeWait  = 250 * time.Millisecond
	viewEach   = 900 * time.Millisecond // views come once a second, give or take
)

// Terms are what a store is made from.
type Terms struct {
	Open    func(only bool) (datadir.Folder, error) // only to read: without the lock
	Clock   func() recovery.Moment
	ID      func() uint64 // draws one; those of two files must differ
	Site    string
	Frame   estimate.Schema // which views fit
	Most    int64           // bytes of all files
	Commit  time.Duration   // for which records are gathered before they are written
	Numbers bool            // whether the table of numbers is kept
	Counts  *invariant.Counters
	Log     *slog.Logger
	Nudge   func() // called when Safe has changed, from the store's goroutine
	// Late takes what could be read only after the start, from the store's goroutine.
	Late func(Recovered)
}

// Recovered is what a folder held. The view is aged, and not Fresh where none can be used; windows are by the clock of
// the boot.
type Recovered struct {
	View    estimate.Snapshot
	Numbers []recovery.Number
	Unknown int           // of them, that were begun and not known to have ended
	At      time.Duration // when it was read, by the clock of the boot
	Took    time.Duration
}

// Store writes what it is given and never has its caller wait. What can't be written is not kept: the server goes on
// without it, one line says so, and the folder is tried again with growing pauses. Then all that is still known is
// written anew.
type Store struct {
	terms Terms
	wake  chan struct{}
	over  chan struct{}

	mu     sync.Mutex
	queue  []queued
	bytes  int
	last   uint64 // mark of the last record that was given
	view   *estimate.Snapshot
	ending bool
	awake  bool // the store's goroutine looks by itself; to wake it would cost the owner's turn some microseconds

	safe atomic.Uint64 // mark up to which all is durable
	down atomic.Bool
	busy atomic.Int64 // since when the disk is written to, in the clock of the boot; 0 while it is not

	// The store's goroutine's own.
	book    *book
	shadow  *recovery.Table // of the numbers, while there is no book
	again   time.Duration   // when the folder is tried again
	pause   time.Duration
	job     chan error         // of the job that runs, nil without one
	latest  *estimate.Snapshot // to be written
	kept    estimate.Snapshot  // as last written
	viewed  time.Duration
	expired time.Duration
}

// queued is a record on its way. Its window is counted from when it is taken up, a little late: that makes it longer.
type queued struct {
	number recovery.Number
	left   time.Duration
	ended  bool
}

func (q queued) bytes() int { return len(q.number.Key) + len(q.number.Result) + 128 }

// New reads a folder and begins to keep what it is given. A folder that another process holds is waited for, and then
// an error: two servers with one folder would each run what the other has run. Any other failure is not.
func New(t Terms) (*Store, Recovered, error) {
	s := &Store{terms: t, wake: make(chan struct{}, 1), over: make(chan struct{}), pause: firstPause, shadow: recovery.NewTable()}
	var had Recovered
	var err error
	for end := time.Now().Add(lockWait); ; time.Sleep(lockEach) {
		if had, err = s.open(); !errors.Is(err, datadir.ErrInUse) || time.Now().After(end) {
			break
		}
	}
	if errors.Is(err, datadir.ErrInUse) {
		return nil, Recovered{}, err
	}
	if err != nil {
		had.add(s.peek())
		s.fail(err)
	}
	go s.run()
	return s, had, nil
}

// Begin takes that a number is about to run; left is what is left of its window. Once Safe has reached the mark the run
// may begin.
func (s *Store) Begin(key string, shape uint64, left time.Duration) (mark uint64) {
	return s.give(key, shape, left, false, false, nil)
}

// End takes how a number ended. The result is not copied and must not change: snapshots are written of it later.
func (s *Store) End(key string, shape uint64, left time.Duration, honoured bool, result []byte) {
	s.give(key, shape, left, true, honoured, result)
}

func (s *Store) give(key string, shape uint64, left time.Duration, ended, honoured bool, result []byte) (mark uint64) {
	if !s.terms.Numbers {
		return 0
	}
	if len(key) > mostKey {
		s.terms.Counts.Count("number too long to be kept on disk")
		return 0
	}
	if len(result) > mostResult {
		s.terms.Counts.Count("result too large to be kept on disk")
		honoured, result = false, nil
	}
	q := queued{recovery.Number{Key: key, Shape: shape, Honoured: honoured, Result: result}, left, ended}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes+q.bytes() > mostQueue {
		s.terms.Counts.Count("numbered task not kept on disk: too many wait for it")
		return 0
	}
	s.queue = append(s.queue, q)
	s.bytes += q.bytes()
	s.last++
	if !s.awake {
		s.nudge()
	}
	return s.last
}

// Safe is the mark up to which all that was given is durable, or can't be made so for now: the policy is to serve on
// without. A disk that neither fails nor answers for a second counts as one that fails.
func (s *Store) Safe() uint64 {
	if s.down.Load() {
		return math.MaxUint64
	}
	if since := s.busy.Load(); since > 0 && s.terms.Clock().Up-time.Duration(since) > stalled {
		s.terms.Counts.Count("disk stalled, numbered tasks run without it")
		return math.MaxUint64
	}
	return s.safe.Load()
}

// View takes what the server has learned. The newest is written, once a second at the most.
func (s *Store) View(snapshot estimate.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = &snapshot
	s.nudge()
}

func (s *Store) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes what is left and ends. It waits for a disk only so long.
func (s *Store) Close() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	s.nudge()
	select {
	case <-s.over:
	case <-time.After(closeWait):
		s.terms.Log.Warn("state not written to the end", "waited", closeWait)
	}
}

func (s *Store) now() time.Duration { return s.terms.Clock().Up }

// add joins what was had with what was had behind it.
func (r *Recovered) add(more Recovered) {
	if !r.View.Fresh() {
		r.View = more.View
	}
	r.Numbers = append(r.Numbers, more.Numbers...)
	r.Unknown += more.Unknown
	r.At = max(r.At, more.At)
}

func (s *Store) bookOf(in datadir.Folder) *book {
	return &book{
		folder: in, clock: s.terms.Clock, id: s.terms.ID, site: s.terms.Site, most: s.terms.Most, numbers: s.terms.Numbers,
	}
}

// learn takes in what a folder holds, and gives what of it was not known.
func (s *Store) learn(b *book) (recovery.Plan, Recovered, error) {
	plan, err := b.read(recovery.Here{Now: s.terms.Clock(), Site: s.terms.Site, Frame: s.terms.Frame})
	had := Recovered{View: plan.View, Unknown: plan.Unknown, At: s.now()}
	if err != nil {
		return plan, had, err
	}
	for _, n := range plan.Notes {
		s.terms.Log.Warn("state not used", "file", n.Name, "why", n.Why)
	}
	for _, n := range plan.Table.All() {
		if _, known := s.shadow.Get(n.Key); !known {
			had.Numbers = append(had.Numbers, n)
			s.shadow.Put(n)
		}
	}
	return plan, had, nil
}

// open reads the folder, and writes what is known in it anew. What it held and was not known is told, with an error too.
func (s *Store) open() (Recovered, error) {
	began := s.now()
	in, err := s.terms.Open(false)
	if err != nil {
		return Recovered{}, err
	}
	b := s.bookOf(in)
	plan, had, err := s.learn(b)
	if err == nil {
		err = b.begin(plan, s.shadow)
	}
	if err != nil {
		return had, errors.Join(err, b.close())
	}
	s.book, s.shadow = b, nil
	had.Took = s.now() - began
	s.terms.Log.Info("state read", "view", plan.ViewFrom, "numbers", len(had.Numbers), "unknown", plan.Unknown, "took", had.Took)
	return had, nil
}

// peek reads a folder that can't be written to: what has run is not to run again for that.
func (s *Store) peek() Recovered {
	in, err := s.terms.Open(true)
	if err != nil {
		return Recovered{}
	}
	defer in.Close()
	_, had, _ := s.learn(s.bookOf(in)) // what can't be read is told by the failure that came before
	return had
}

// fail goes on without the folder.
func (s *Store) fail(err error) {
	s.terms.Counts.Count("state not kept: disk")
	if !s.down.Swap(true) {
		s.terms.Log.Error("state is not kept, serving on without it", "error", err, "again_in", s.pause)
	}
	if s.book != nil {
		if s.job != nil { // it writes to the same folder
			<-s.job
			s.job = nil
		}
		s.shadow = s.book.table
		_ = s.book.close() // nothing of it counts any more
		s.book = nil
	}
	s.again = s.now() + s.pause
	s.pause = min(2*s.pause, mostPause)
	s.busy.Store(0)
	s.terms.Nudge()
}

// heal tries the folder again.
func (s *Store) heal() {
	had, err := s.open()
	if s.terms.Late != nil && (len(had.Numbers) > 0 || had.View.Fresh()) {
		s.terms.Late(had)
	}
	if err != nil {
		s.fail(err)
		return
	}
	s.pause = firstPause
	s.down.Store(false)
	s.terms.Log.Info("state is kept again")
}

// run writes. Records that came within the commit's span go to the disk together.
func (s *Store) run() {
	defer close(s.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for quiet := 0; ; {
		wait := time.Hour
		if s.book == nil {
			wait = max(s.again-s.now(), 0)
		}
		s.mu.Lock()
		s.awake = s.book != nil && s.terms.Commit > 0 && quiet < awakeFor
		if s.awake {
			wait = s.terms.Commit
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
				s.fail(err)
			}
		}
		if s.book == nil && s.now() >= s.again {
			s.heal()
		}
		s.mu.Lock()
		gather := len(s.queue) > 0 && s.book != nil && !s.ending && !s.awake // awake, it gathers as it waits
		s.mu.Unlock()
		if gather && s.terms.Commit > 0 {
			time.Sleep(s.terms.Commit)
		}
		s.mu.Lock()
		queue, view, last, ending := s.queue, s.view, s.last, s.ending
		s.queue, s.view, s.bytes = nil, nil, 0
		s.mu.Unlock()
		if quiet++; len(queue) > 0 {
			quiet = 0
		}
		if view != nil {
			s.latest = view
		}
		s.keep(queue, last)
		s.snapshot()
		if ending {
			s.end()
			return
		}
	}
}

// keep writes records, and lets go what waits for them.
func (s *Store) keep(queue []queued, last uint64) {
	if len(queue) == 0 {
		return
	}
	table := s.shadow
	if s.book != nil {
		table = s.book.table
	}
	now := s.now()
	for _, q := range queue {
		q.number.Until = now + q.left
		if table.Bytes()+q.bytes() > s.tableMost() && now >= s.expired+expireEach {
			table.Expire(now)
			s.expired = now
		}
		if _, known := table.Get(q.number.Key); !known && table.Bytes()+q.bytes() > s.tableMost() {
			s.terms.Counts.Count("numbered task not kept on disk: beyond its bound")
			continue
		}
		if table.Bytes()+len(q.number.Result) > s.tableMost() {
			s.terms.Counts.Count("result not kept on disk: beyond its bound")
			q.number.Honoured, q.number.Result = false, nil
		}
		if s.book != nil {
			s.book.put(q.number, q.ended, now)
		} else {
			table.Put(q.number)
		}
	}
	if s.book != nil {
		s.busy.Store(int64(now))
		err := s.book.commit()
		s.busy.Store(0)
		if err != nil {
			s.fail(err)
		}
	}
	s.safe.Store(last)
	s.terms.Nudge()
}

func (s *Store) tableMost() int { return int(s.terms.Most / parts) }

// snapshot begins the job that is due, if any. One runs at a time.
func (s *Store) snapshot() {
	switch {
	case s.book == nil || s.job != nil:
	case s.terms.Numbers && s.book.wantsTable():
		s.start(s.book.newTable())
	case s.latest != nil && s.now() >= s.viewed+viewEach:
		if job := s.viewing(); job != nil {
			s.start(job)
		}
	}
}

// viewing is the job of writing the newest view, nil where that is not worth it.
func (s *Store) viewing() func() error {
	v, now := s.latest, s.now()
	s.latest = nil
	if v == nil || !recovery.Worth(*v, s.kept, now-s.viewed) {
		return nil
	}
	s.kept, s.viewed = *v, now
	return s.book.newView(*v)
}

func (s *Store) start(job func() error) {
	s.job = make(chan error, 1)
	ended := s.job
	go func() { ended <- job() }()
}

// end waits for the job that runs, writes the newest view, and lets the folder go.
func (s *Store) end() {
	if s.book == nil {
		return
	}
	var err error
	if s.job != nil {
		err = <-s.job
	}
	if job := s.viewing(); job != nil && err == nil {
		err = job()
	}
	if err = errors.Join(err, s.book.close()); err != nil {
		s.terms.Log.Error("state not written to the end", "error", err)
	}
}
