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

// hands are what a store is given: a disk, and a clock that goes by hand.
type hands struct {
	Terms
	disk   *faultdisk.Disk
	now    atomic.Int64
	late   chan Recovered
	opened error
}

func handTerms(disk *faultdisk.Disk) *hands {
	h := &hands{disk: disk, late: make(chan Recovered, 4)}
	h.now.Store(int64(time.Hour))
	var ids atomic.Uint64
	h.Terms = Terms{
		Open: func(bool) (datadir.Folder, error) { return h.disk, h.opened },
		Clock: func() recovery.Moment {
			return recovery.Moment{Wall: 1e18 + time.Duration(h.now.Load()), Up: time.Duration(h.now.Load()), Boot: "b", Machine: 1}
		},
		ID: func() uint64 { return ids.Add(1) }, Frame: views, Most: 8 << 20, Numbers: true,
		Counts: invariant.New(slog.New(slog.DiscardHandler)), Log: slog.New(slog.DiscardHandler), Nudge: func() {},
		Late: func(r Recovered) { h.late <- r },
	}
	return h
}

func (h *hands) pass(d time.Duration) { h.now.Add(int64(d)) }

func within(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, 5*time.Second, time.Millisecond, what)
}

// settled tells that a mark is durable, and not only let go.
func settled(s *Store, mark uint64) func() bool {
	return func() bool { at := s.Safe(); return at >= mark && at != math.MaxUint64 }
}

func TestRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	h := handTerms(faultdisk.New())
	s, had, err := New(h.Terms)
	require.NoError(t, err)
	assert.Empty(t, had.Numbers)
	s.End("a", 3, time.Minute, true, []byte("seat 4"))
	s.Begin("b", 4, time.Minute)
	s.End("c", 5, time.Minute, false, nil)
	s.End("big", 6, time.Minute, true, make([]byte, mostResult+1))
	s.Begin("short", 7, time.Second)
	s.View(viewOf(8))
	s.Close()

	h.pass(10 * time.Second)
	s, had, err = New(h.Terms)
	require.NoError(t, err)
	defer s.Close()
	left := map[string]time.Duration{}
	for _, n := range had.Numbers {
		left[n.Key] = n.Until - had.At
		assert.Equal(t, n.Key == "a", n.Honoured, n.Key)
	}
	assert.Equal(t, map[string]time.Duration{"a": 50 * time.Second, "b": 50 * time.Second, "c": 50 * time.Second, "big": 50 * time.Second}, left)
	assert.Equal(t, []byte("seat 4"), had.Numbers[0].Result)
	assert.Equal(t, uint64(3), had.Numbers[0].Shape)
	assert.Equal(t, 3, had.Unknown)
	assert.Equal(t, 10*time.Second, had.View.Routes[0].Core.Age)
}

// Records that come together are written together.
func TestGroupCommit(t *testing.T) {
	h := handTerms(faultdisk.New())
	h.Commit = 20 * time.Millisecond
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	defer s.Close()
	before := h.disk.Ops()
	var mark uint64
	for i := range 500 {
		mark = s.Begin(fmt.Sprint(i), 0, time.Minute)
	}
	within(t, "kept", settled(s, mark))
	assert.LessOrEqual(t, h.disk.Ops()-before, 2*4, "writes and syncs")
}

// The policy for a disk that fails, whatever the failure: what waits goes on, one line, and again once it is well.
func TestDiskFails(t *testing.T) {
	cases := []struct {
		name string
		fail func(h *hands)
		mend func(h *hands)
	}{
		{"full in the middle", func(h *hands) { h.disk.Space = 10 }, func(h *hands) { h.disk.Space = -1 }},
		{"read-only", func(h *hands) { h.disk.ReadOnly = true }, func(h *hands) { h.disk.ReadOnly = false }},
		{"syncs fail", func(h *hands) {
			h.disk.Fails = func(kind string) error {
				if kind == "sync" {
					return faultdisk.ErrIO
				}
				return nil
			}
		}, func(h *hands) { h.disk.Fails = nil }},
		{"gone", func(h *hands) { h.disk.ReadOnly, h.opened = true, faultdisk.ErrIO }, func(h *hands) { h.disk.ReadOnly, h.opened = false, nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			h := handTerms(faultdisk.New())
			lines := &counting{}
			h.Log = slog.New(slog.NewTextHandler(lines, nil))
			s, _, err := New(h.Terms)
			require.NoError(t, err)
			kept := s.Begin("kept", 1, time.Hour)
			within(t, "kept", settled(s, kept))

			h.disk.Set(func() { c.fail(h) })
			s.Begin("in vain", 1, time.Hour)
			within(t, "let go", func() bool { return s.Safe() == math.MaxUint64 })
			for range 5 { // tries
				h.pass(mostPause)
				s.nudge()
				time.Sleep(2 * time.Millisecond)
			}
			mark := s.Begin("meanwhile", 1, time.Hour)
			assert.GreaterOrEqual(t, s.Safe(), mark, "served on without it")
			assert.Equal(t, 1, lines.with("serving on without it"), "one line")

			h.disk.Set(func() { c.mend(h) })
			h.pass(mostPause)
			s.nudge()
			mark = s.Begin("after", 1, time.Hour)
			within(t, "kept again", settled(s, mark))
			assert.Equal(t, 1, lines.with("state is kept again"))
			s.Close()
			s, had, err := New(h.Terms)
			require.NoError(t, err)
			s.Close()
			var keys []string
			for _, n := range had.Numbers {
				keys = append(keys, n.Key)
			}
			assert.ElementsMatch(t, []string{"kept", "in vain", "meanwhile", "after"}, keys, "all that was known is written anew")
			assert.Empty(t, h.late, "nothing of its own is told as new")
		})
	}
}

// A folder that can't be read at the start is read as soon as it can be.
func TestLate(t *testing.T) {
	h := handTerms(faultdisk.New())
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	s.Begin("before", 1, time.Hour)
	s.Close()

	h.opened = faultdisk.ErrIO
	s, had, err := New(h.Terms)
	require.NoError(t, err, "it serves without")
	defer s.Close()
	assert.Empty(t, had.Numbers)
	s.Begin("new", 1, time.Hour)
	h.disk.Set(func() { h.opened = nil })
	h.pass(mostPause)
	s.nudge()
	got := <-h.late
	require.Len(t, got.Numbers, 1)
	assert.Equal(t, "before", got.Numbers[0].Key)
}

// What a folder that can't be written to holds is used all the same: what has run does not run again for that.
func TestReadOnlyAtTheStart(t *testing.T) {
	h := handTerms(faultdisk.New())
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	s.Begin("before", 1, time.Hour)
	s.View(viewOf(1))
	s.Close()
	for _, only := range []bool{false, true} { // it opens and can't be written, or can be opened only to read
		h.disk.ReadOnly = true
		h.Open = func(read bool) (datadir.Folder, error) {
			if only && !read {
				return nil, faultdisk.ErrReadOnly
			}
			return h.disk, nil
		}
		s, had, err := New(h.Terms)
		require.NoError(t, err)
		assert.Len(t, had.Numbers, 1)
		assert.True(t, had.View.HasFresh())
		assert.Equal(t, uint64(math.MaxUint64), s.Safe())
		s.Close()
	}
}

// A disk that neither fails nor answers holds up nothing for longer than a second.
func TestStall(t *testing.T) {
	h := handTerms(faultdisk.New())
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	hold := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(hold) })
	h.disk.Set(func() {
		h.disk.Fails = func(kind string) error {
			if kind == "sync" {
				<-hold
			}
			return nil
		}
	})
	mark := s.Begin("a", 1, time.Hour)
	within(t, "the disk has it", func() bool { return s.busy.Load() > 0 })
	assert.Less(t, s.Safe(), mark)
	h.pass(stalled + 1)
	assert.GreaterOrEqual(t, s.Safe(), mark)
	for i := range 2 * mostQueue / 128 { // and what waits has a bound
		s.Begin(fmt.Sprint(i), 1, time.Hour)
	}
	assert.LessOrEqual(t, s.bytes, mostQueue)
	assert.Positive(t, h.Counts.Times("numbered task not kept on disk: too many wait for it"))
	once.Do(func() { close(hold) })
	within(t, "kept", settled(s, s.last))
	s.Close()
}

// However much is told, the folder stays within its bound, and what has no room is not kept.
func TestBound(t *testing.T) {
	h := handTerms(faultdisk.New())
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	defer s.Close()
	most := int64(0)
	result := make([]byte, 30<<10)
	for i := range 3000 {
		mark := s.Begin(fmt.Sprint(i), 1, time.Duration(1+i%4)*time.Second/4)
		s.End(fmt.Sprint(i), 1, time.Duration(1+i%4)*time.Second/4, true, result)
		if i%8 == 0 {
			within(t, "kept", func() bool { return s.Safe() >= mark })
			most = max(most, h.disk.Bytes())
		}
		h.pass(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, most, h.Most)
	assert.Greater(t, most, h.Most/4, "the bound was come near to")
	assert.Less(t, h.disk.Ops(), 40*3000)
}

// Ten crashes in a row leave a bounded folder, and what was kept before the first.
func TestTenCrashes(t *testing.T) {
	h := handTerms(faultdisk.New())
	for i := range 10 {
		s, had, err := New(h.Terms)
		require.NoError(t, err)
		assert.Len(t, had.Numbers, i)
		mark := s.Begin(fmt.Sprint(i), 1, time.Hour)
		within(t, "kept", settled(s, mark))
		h.disk.Set(func() { h.disk.ReadOnly = true }) // nothing more of this process reaches it
		after := h.disk.Crash(faultdisk.Half{})
		s.Close()
		h.disk = after
		h.pass(time.Second)
	}
	assert.LessOrEqual(t, len(h.disk.Names()), 2*keepTables+keepViews+mostAside+2)
	assert.LessOrEqual(t, h.disk.Bytes(), int64(64<<10))
}

// The system's own folder.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	terms := func(path string) Terms { return diskTerms(path, invariant.New(slog.New(slog.DiscardHandler))) }
	state := filepath.Join(dir, "state")
	s, _, err := New(terms(state))
	require.NoError(t, err)
	s.End("a", 1, time.Hour, true, []byte("r"))
	began := time.Now()
	_, _, err = New(terms(state))
	assert.ErrorIs(t, err, datadir.ErrInUse, "two processes")
	assert.GreaterOrEqual(t, time.Since(began), lockWait, "one that leaves is waited for")
	s.Close()
	files, err := os.ReadDir(state)
	require.NoError(t, err)
	for _, f := range files {
		about, err := f.Info()
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), about.Mode().Perm(), f.Name())
	}
	about, err := os.Stat(state)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o700), about.Mode().Perm())

	// A symbolic link in the place of a file is not followed, nor one in the place of the folder.
	secret := filepath.Join(dir, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("not ours"), 0o600))
	require.NoError(t, os.Symlink(secret, filepath.Join(state, nameOf(logName, 0xff))))
	s, had, err := New(terms(state))
	require.NoError(t, err)
	assert.Len(t, had.Numbers, 1)
	s.Close()
	raw, err := os.ReadFile(secret)
	require.NoError(t, err)
	assert.Equal(t, "not ours", string(raw))
	link := filepath.Join(dir, "link")
	require.NoError(t, os.Symlink(state, link))
	_, err = datadir.OpenDisk(link, false)
	assert.ErrorContains(t, err, "a symbolic link is not followed")

	_, err = datadir.OpenDisk(filepath.Join(dir, "no", "such"), false)
	assert.ErrorIs(t, err, os.ErrNotExist, "its parent may be a disk that is not mounted")
	open := filepath.Join(dir, "open")
	require.NoError(t, os.Mkdir(open, 0o700))
	require.NoError(t, os.Chmod(open, 0o777))
	_, err = datadir.OpenDisk(open, false)
	assert.ErrorContains(t, err, "lets others write to it")
}

// Files of another site, of a newer version and of no form at all are kept aside, and what can be used is used.
func TestAside(t *testing.T) {
	h := handTerms(faultdisk.New())
	h.Site = "north"
	s, _, err := New(h.Terms)
	require.NoError(t, err)
	s.Begin("a", 1, time.Hour)
	s.Close()
	h.Site = "south"
	s, had, err := New(h.Terms)
	require.NoError(t, err)
	assert.Empty(t, had.Numbers, "another site's numbers are others")
	s.Close()

	newer := appendFrame(nil, 0, 0, recovery.Header{Version: recovery.Version + 1, Content: recovery.LogFile, Site: "south", Place: 900})
	h.disk.Put(nameOf(logName, 900), newer)
	h.disk.Put(nameOf(logName, 901), []byte("#!/bin/sh"))
	h.disk.Put(nameOf(logName, 902), nil)
	h.disk.Put("notes.txt", []byte("the operators' own"))
	s, _, err = New(h.Terms)
	require.NoError(t, err)
	s.Close()
	aside := 0
	for _, name := range h.disk.Names() {
		if _, is := placeOf(asideName, name); is {
			aside++
			if raw := h.disk.Get(name); len(raw) < 20 {
				assert.Equal(t, "#!/bin/sh", string(raw))
			}
		}
	}
	assert.Equal(t, 2+2, aside, "a table and a log of the other site, one newer, one that is none")
	assert.Equal(t, "the operators' own", string(h.disk.Get("notes.txt")))
}

// counting counts lines of a log.
type counting struct {
	mu   sync.Mutex
	text []byte
}

func (c *counting) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = append(c.text, p...)
	return len(p), nil
}

func (c *counting) with(words string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Count(c.text, []byte(words))
}
