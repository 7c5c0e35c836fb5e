package store

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// testOptions are the options of a store on an in-memory disk, with a clock that the test sets.
type testOptions struct {
	Options
	disk           *faultdisk.Disk
	now            atomic.Int64
	lateRecoveries chan Recovered
	openErr        error
}

func newTestOptions(disk *faultdisk.Disk) *testOptions {
	o := &testOptions{disk: disk, lateRecoveries: make(chan Recovered, 4)}
	o.now.Store(int64(time.Hour))
	var ids atomic.Uint64
	o.Options = Options{
		OpenDir: func(bool) (datadir.Dir, error) { return o.disk, o.openErr },
		Clock: func() recovery.Timestamp {
			return recovery.Timestamp{Wall: 1e18 + time.Duration(o.now.Load()), SinceBoot: time.Duration(o.now.Load()), BootID: "b", MachineID: 1}
		},
		NewID: func() uint64 { return ids.Add(1) }, Schema: testSchema, MaxBytes: 8 << 20, PersistKeys: true,
		Counts: invariant.New(slog.New(slog.DiscardHandler)), Log: slog.New(slog.DiscardHandler), OnDurable: func() {},
		OnLateRecovery: func(r Recovered) { o.lateRecoveries <- r },
	}
	return o
}

func (o *testOptions) advance(d time.Duration) { o.now.Add(int64(d)) }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond, what)
}

// isDurable returns a condition that is true once a record is durable, not merely released because the disk failed.
func isDurable(s *Store, mark uint64) func() bool {
	return func() bool { at := s.DurableMark(); return at >= mark && at != math.MaxUint64 }
}

func TestRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	o := newTestOptions(faultdisk.New())
	s, recovered, err := New(o.Options)
	require.NoError(t, err)
	assert.Empty(t, recovered.Keys)
	s.RecordEnd("a", 3, time.Minute, true, []byte("seat 4"))
	s.RecordStart("b", 4, time.Minute)
	s.RecordEnd("c", 5, time.Minute, false, nil)
	s.RecordEnd("big", 6, time.Minute, true, make([]byte, maxResultBytes+1))
	s.RecordStart("short", 7, time.Second)
	s.SaveEstimates(numberedSnapshot(8))
	assert.NoError(t, s.Close())

	o.advance(10 * time.Second)
	s, recovered, err = New(o.Options)
	require.NoError(t, err)
	defer func() { assert.NoError(t, s.Close()) }()
	remaining := map[string]time.Duration{}
	for _, entry := range recovered.Keys {
		remaining[entry.Key] = entry.ExpiresAt - recovered.ReadAt
		assert.Equal(t, entry.Key == "a", entry.Served, entry.Key)
	}
	assert.Equal(t, map[string]time.Duration{"a": 50 * time.Second, "b": 50 * time.Second, "c": 50 * time.Second, "big": 50 * time.Second}, remaining)
	assert.Equal(t, []byte("seat 4"), recovered.Keys[0].Result)
	assert.Equal(t, uint64(3), recovered.Keys[0].Fingerprint)
	assert.Equal(t, 3, recovered.UnservedKeys)
	assert.Equal(t, 10*time.Second, recovered.Estimates.Routes[0].Core.Age)
}

// Records that arrive within one commit interval are written together.
func TestGroupCommit(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	o.CommitInterval = 20 * time.Millisecond
	s, _, err := New(o.Options)
	require.NoError(t, err)
	defer func() { assert.NoError(t, s.Close()) }()
	before := o.disk.Operations()
	var mark uint64
	for i := range 500 {
		mark = s.RecordStart(fmt.Sprint(i), 0, time.Minute)
	}
	eventually(t, "durable", isDurable(s, mark))
	assert.LessOrEqual(t, o.disk.Operations()-before, 2*4, "writes and syncs")
}

// A disk fails in one of several ways. Requests that wait for it are released, one line is logged, and once the disk
// works again all keys are rewritten, including those recorded in the meantime.
func TestDiskFails(t *testing.T) {
	cases := []struct {
		name   string
		fail   func(o *testOptions)
		repair func(o *testOptions)
	}{
		{"full during a write", func(o *testOptions) { o.disk.Space = 10 }, func(o *testOptions) { o.disk.Space = -1 }},
		{"read-only", func(o *testOptions) { o.disk.ReadOnly = true }, func(o *testOptions) { o.disk.ReadOnly = false }},
		{"syncs fail", func(o *testOptions) {
			o.disk.Fail = func(kind string) error {
				if kind == "sync" {
					return faultdisk.ErrIO
				}
				return nil
			}
		}, func(o *testOptions) { o.disk.Fail = nil }},
		{"unavailable", func(o *testOptions) { o.disk.ReadOnly, o.openErr = true, faultdisk.ErrIO }, func(o *testOptions) { o.disk.ReadOnly, o.openErr = false, nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			o := newTestOptions(faultdisk.New())
			lines := &logCounter{}
			o.Log = slog.New(slog.NewTextHandler(lines, nil))
			s, _, err := New(o.Options)
			require.NoError(t, err)
			firstMark := s.RecordStart("kept", 1, time.Hour)
			eventually(t, "durable", isDurable(s, firstMark))

			o.disk.Set(func() { c.fail(o) })
			s.RecordStart("in vain", 1, time.Hour)
			eventually(t, "requests released", func() bool { return s.DurableMark() == math.MaxUint64 })
			for range 5 { // retries
				o.advance(maxRetryDelay)
				s.wakeWriter()
				time.Sleep(2 * time.Millisecond)
			}
			mark := s.RecordStart("meanwhile", 1, time.Hour)
			assert.GreaterOrEqual(t, s.DurableMark(), mark, "requests do not wait for the failed disk")
			assert.Equal(t, 1, lines.count("serving without it"), "one log line")

			o.disk.Set(func() { c.repair(o) })
			o.advance(maxRetryDelay)
			s.wakeWriter()
			mark = s.RecordStart("after", 1, time.Hour)
			eventually(t, "durable again", isDurable(s, mark))
			assert.Equal(t, 1, lines.count("state directory works again"))
			assert.NoError(t, s.Close())
			s, recovered, err := New(o.Options)
			require.NoError(t, err)
			assert.NoError(t, s.Close())
			var keys []string
			for _, entry := range recovered.Keys {
				keys = append(keys, entry.Key)
			}
			assert.ElementsMatch(t, []string{"kept", "in vain", "meanwhile", "after"}, keys, "all known keys are rewritten")
			assert.Empty(t, o.lateRecoveries, "the store's own keys are not reported as recovered")
		})
	}
}

// A directory that cannot be read at the start is read as soon as it can be, and its keys are reported to
// OnLateRecovery.
func TestLateRecovery(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	s, _, err := New(o.Options)
	require.NoError(t, err)
	s.RecordStart("before", 1, time.Hour)
	assert.NoError(t, s.Close())

	o.openErr = faultdisk.ErrIO
	s, recovered, err := New(o.Options)
	require.NoError(t, err, "the store starts suspended")
	defer func() { assert.NoError(t, s.Close()) }()
	assert.Empty(t, recovered.Keys)
	s.RecordStart("new", 1, time.Hour)
	o.disk.Set(func() { o.openErr = nil })
	o.advance(maxRetryDelay)
	s.wakeWriter()
	got := <-o.lateRecoveries
	require.Len(t, got.Keys, 1)
	assert.Equal(t, "before", got.Keys[0].Key)
}

// A directory cannot be written to at the start. Its contents are used nevertheless: requests that have run must not
// run again.
func TestReadOnlyAtTheStart(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	s, _, err := New(o.Options)
	require.NoError(t, err)
	s.RecordStart("before", 1, time.Hour)
	s.SaveEstimates(numberedSnapshot(1))
	assert.NoError(t, s.Close())
	for _, readOnly := range []bool{false, true} { // the directory opens but cannot be written to, or opens only read-only
		o.disk.ReadOnly = true
		o.OpenDir = func(openReadOnly bool) (datadir.Dir, error) {
			if readOnly && !openReadOnly {
				return nil, faultdisk.ErrReadOnly
			}
			return o.disk, nil
		}
		s, recovered, err := New(o.Options)
		require.NoError(t, err)
		assert.Len(t, recovered.Keys, 1)
		assert.True(t, recovered.Estimates.HasFresh())
		assert.Equal(t, uint64(math.MaxUint64), s.DurableMark())
		assert.ErrorIs(t, s.Close(), errSuspended)
	}
}

// A sync neither fails nor returns. No request waits for it longer than stallTimeout, and the queue stays bounded.
func TestStall(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	s, _, err := New(o.Options)
	require.NoError(t, err)
	release := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(release) })
	o.disk.Set(func() {
		o.disk.Fail = func(kind string) error {
			if kind == "sync" {
				<-release
			}
			return nil
		}
	})
	mark := s.RecordStart("a", 1, time.Hour)
	eventually(t, "the write has started", func() bool { return s.writingSince.Load() > 0 })
	assert.Less(t, s.DurableMark(), mark)
	o.advance(stallTimeout + 1)
	assert.GreaterOrEqual(t, s.DurableMark(), mark)
	for i := range 2 * maxQueueBytes / 128 { // more than the queue can take
		s.RecordStart(fmt.Sprint(i), 1, time.Hour)
	}
	assert.LessOrEqual(t, s.queuedBytes, maxQueueBytes)
	assert.Positive(t, o.Counts.Times(countQueueFull))
	once.Do(func() { close(release) })
	eventually(t, "durable", isDurable(s, s.lastMark))
	assert.NoError(t, s.Close())
}

// The directory stays within its size limit, however much is recorded; what does not fit is not stored.
func TestBound(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	s, _, err := New(o.Options)
	require.NoError(t, err)
	defer func() { assert.NoError(t, s.Close()) }()
	maxBytes := int64(0)
	result := make([]byte, 30<<10)
	for i := range 3000 {
		mark := s.RecordStart(fmt.Sprint(i), 1, time.Duration(1+i%4)*time.Second/4)
		s.RecordEnd(fmt.Sprint(i), 1, time.Duration(1+i%4)*time.Second/4, true, result)
		if i%8 == 0 {
			eventually(t, "durable", func() bool { return s.DurableMark() >= mark })
			maxBytes = max(maxBytes, o.disk.TotalBytes())
		}
		o.advance(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, maxBytes, o.MaxBytes)
	assert.Greater(t, maxBytes, o.MaxBytes/4, "more than a quarter of the limit was used")
	assert.Less(t, o.disk.Operations(), 40*3000)
}

// Ten crashes in a row lose no durable state, and leave few files.
func TestTenCrashes(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	for i := range 10 {
		s, recovered, err := New(o.Options)
		require.NoError(t, err)
		assert.Len(t, recovered.Keys, i)
		mark := s.RecordStart(fmt.Sprint(i), 1, time.Hour)
		eventually(t, "durable", isDurable(s, mark))
		o.disk.Set(func() { o.disk.ReadOnly = true }) // no later write of this process reaches the disk
		after := o.disk.Crash(faultdisk.TornHalf{})
		assert.NoError(t, s.Close())
		o.disk = after
		o.advance(time.Second)
	}
	assert.LessOrEqual(t, len(o.disk.Names()), 2*retainedTables+retainedEstimates+maxQuarantined+2)
	assert.LessOrEqual(t, o.disk.TotalBytes(), int64(64<<10))
}

// In a directory of the operating system, the lock must be exclusive, files must be private to their owner, and
// symbolic links in place of files must not be followed.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	options := func(path string) Options { return osDirOptions(path, invariant.New(slog.New(slog.DiscardHandler))) }
	state := filepath.Join(dir, "state")
	s, _, err := New(options(state))
	require.NoError(t, err)
	s.RecordEnd("a", 1, time.Hour, true, []byte("r"))
	start := time.Now()
	_, _, err = New(options(state))
	assert.ErrorIs(t, err, datadir.ErrInUse, "the lock is exclusive")
	assert.GreaterOrEqual(t, time.Since(start), lockTimeout, "New waits for a process that may be shutting down")
	assert.NoError(t, s.Close())
	files, err := os.ReadDir(state)
	require.NoError(t, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), f.Name())
	}
	info, err := os.Stat(state)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o700), info.Mode().Perm())

	// A symbolic link in place of a file or of the directory is not followed.
	secret := filepath.Join(dir, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("not ours"), 0o600))
	require.NoError(t, os.Symlink(secret, filepath.Join(state, fileName(logPrefix, 0xff))))
	s, recovered, err := New(options(state))
	require.NoError(t, err)
	assert.Len(t, recovered.Keys, 1)
	assert.NoError(t, s.Close())
	raw, err := os.ReadFile(secret)
	require.NoError(t, err)
	assert.Equal(t, "not ours", string(raw))
	link := filepath.Join(dir, "link")
	require.NoError(t, os.Symlink(state, link))
	_, err = datadir.Open(link, false)
	assert.ErrorContains(t, err, "a symbolic link is not followed")

	_, err = datadir.Open(filepath.Join(dir, "no", "such"), false)
	assert.ErrorIs(t, err, os.ErrNotExist, "no parents are created: the parent may be a disk that is not mounted")
	open := filepath.Join(dir, "open")
	require.NoError(t, os.Mkdir(open, 0o700))
	require.NoError(t, os.Chmod(open, 0o777))
	_, err = datadir.Open(open, false)
	assert.ErrorContains(t, err, "lets others write to it")
}

// Files of another site, of a newer version and of unknown format are quarantined, and the others are used. Other files
// in the directory are not touched.
func TestQuarantine(t *testing.T) {
	o := newTestOptions(faultdisk.New())
	o.Site = "north"
	s, _, err := New(o.Options)
	require.NoError(t, err)
	s.RecordStart("a", 1, time.Hour)
	assert.NoError(t, s.Close())
	o.Site = "south"
	s, recovered, err := New(o.Options)
	require.NoError(t, err)
	assert.Empty(t, recovered.Keys, "keys of another site are not used")
	assert.NoError(t, s.Close())

	newer := appendFrame(nil, 0, 0, recovery.Header{Version: recovery.FormatVersion + 1, Content: recovery.KeyLogFile, Site: "south", Sequence: 900})
	o.disk.Put(fileName(logPrefix, 900), newer)
	o.disk.Put(fileName(logPrefix, 901), []byte("#!/bin/sh"))
	o.disk.Put(fileName(logPrefix, 902), nil)
	o.disk.Put("notes.txt", []byte("the operators' own"))
	s, _, err = New(o.Options)
	require.NoError(t, err)
	assert.NoError(t, s.Close())
	quarantined := 0
	for _, name := range o.disk.Names() {
		if _, ok := parseFileName(quarantinePrefix, name); ok {
			quarantined++
			if raw := o.disk.Get(name); len(raw) < 20 {
				assert.Equal(t, "#!/bin/sh", string(raw))
			}
		}
	}
	assert.Equal(t, 2+2, quarantined, "a table and a log of the other site, a file of a newer version, and one of unknown format")
	assert.Equal(t, "the operators' own", string(o.disk.Get("notes.txt")))
}

// logCounter collects the text of a log, and counts how often a string occurs in it.
type logCounter struct {
	mu   sync.Mutex
	text []byte
}

func (c *logCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = append(c.text, p...)
	return len(p), nil
}

func (c *logCounter) count(words string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Count(c.text, []byte(words))
}
