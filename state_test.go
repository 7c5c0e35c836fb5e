package quartzpoint

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/datadir"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/faultdisk"
)

// stateOptions returns options with a state directory and one route with idempotency keys.
func stateOptions(state *State) Options {
	state.CommitInterval = time.Millisecond
	return Options{State: state, Routes: []Route{{Name: "pay", Idempotency: Keyed, LatencyTarget: 400 * ms, Deadline: 500 * ms, DedupWindow: time.Hour}}}
}

func stateOnDisk(disk *faultdisk.Disk) *State {
	return &State{Dir: "none", open: func(bool) (datadir.Dir, error) { return disk, nil }}
}

func pay(key string) Request { return Request{Route: "pay", IdempotencyKey: key, Fingerprint: 1} }

func shutDownNow(t *testing.T, g *Gate) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
	defer cancel()
	require.NoError(t, g.Shutdown(ctx))
}

// A gate loads the state of the previous one: duplicates get the stored result, a request whose run failed is not run
// again, and callers may modify the results that they received.
func TestStateRestart(t *testing.T) {
	state := &State{Dir: filepath.Join(t.TempDir(), "state"), Site: "s"}
	g, err := New(stateOptions(state))
	require.NoError(t, err)
	var runs atomic.Int32
	run := func(context.Context) ([]byte, error) { return []byte("paid"), nil }
	for range 20 { // enough for estimates to be learned
		_, err := g.DoOnce(t.Context(), pay(string(rune('a'+runs.Add(1)))), run)
		require.NoError(t, err)
	}
	_, err = g.DoOnce(t.Context(), pay("breaks"), func(context.Context) ([]byte, error) { return nil, os.ErrInvalid })
	assert.ErrorIs(t, err, os.ErrInvalid)
	time.Sleep(1100 * ms) // the event loop publishes its estimates once a second
	shutDownNow(t, g)

	g = newGate(t, stateOptions(state))
	again := func(context.Context) ([]byte, error) { runs.Add(1); return []byte("twice"), nil }
	got, err := g.DoOnce(t.Context(), pay("b"), again)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	_, err = g.DoOnce(t.Context(), pay("breaks"), again)
	assert.ErrorIs(t, err, ErrAborted)
	changed, err := g.DoOnce(t.Context(), pay("mine"), func(context.Context) ([]byte, error) { return []byte("paid"), nil })
	require.NoError(t, err)
	copy(changed, "lost") // the result belongs to the caller
	for range 2 {
		duplicate, err := g.DoOnce(t.Context(), pay("mine"), again)
		require.NoError(t, err)
		assert.Equal(t, "paid", string(duplicate), "a caller modified the stored result")
		copy(duplicate, "lost")
	}
	other := pay("b")
	other.Fingerprint = 2
	_, err = g.DoOnce(t.Context(), other, again)
	assert.ErrorIs(t, err, ErrKeyConflict)
	assert.Equal(t, int32(20), runs.Load())
	got, err = g.DoOnce(t.Context(), pay("new"), run)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	shutDownNow(t, g)
	g = newGate(t, stateOptions(state))
	got, err = g.DoOnce(t.Context(), pay("mine"), again)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got), "a caller modified the stored result")
	files, err := filepath.Glob(filepath.Join(state.Dir, "view-*"))
	require.NoError(t, err)
	assert.NotEmpty(t, files)
}

// Power is lost while a request runs. The next gate must not run its duplicate, because the original may have had its
// effect.
func TestStatePowerLoss(t *testing.T) {
	disk := faultdisk.New()
	g, err := New(stateOptions(stateOnDisk(disk)))
	require.NoError(t, err)
	began, end := make(chan struct{}), make(chan struct{})
	done := make(chan error, 1)
	go func() {
		_, err := g.DoOnce(t.Context(), pay("x"), func(context.Context) ([]byte, error) { close(began); <-end; return nil, nil })
		done <- err
	}()
	<-began
	after := disk.Crash(faultdisk.LoseAll{})
	close(end)
	assert.NoError(t, <-done)
	shutDownNow(t, g)

	g = newGate(t, stateOptions(stateOnDisk(after)))
	_, err = g.DoOnce(t.Context(), pay("x"), func(context.Context) ([]byte, error) {
		assert.Fail(t, "a duplicate ran again")
		return nil, nil
	})
	assert.ErrorIs(t, err, ErrAborted)
}

// Writes to the disk block without an error. A request waits for the disk only until its caller's context ends or its
// deadline passes, and then never runs. After a second the gate serves without the disk, until the disk responds again.
func TestStateStalls(t *testing.T) {
	disk := faultdisk.New()
	g := newGate(t, stateOptions(stateOnDisk(disk)))
	unblock := make(chan struct{})
	disk.Set(func() {
		disk.Fail = func(kind string) error {
			if kind == "sync" {
				<-unblock
			}
			return nil
		}
	})
	ran := make(chan string, 3)
	send := func(ctx context.Context, key string) error {
		_, err := g.DoOnce(ctx, pay(key), func(context.Context) ([]byte, error) { ran <- key; return nil, nil })
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
	defer cancel()
	assert.Error(t, send(ctx, "gone"), "its caller's context ended")
	assert.Error(t, send(t.Context(), "late"), "its deadline passed")
	assert.Less(t, time.Since(began), 900*ms)
	require.Eventually(t, func() bool { return g.store.DurableMark() > 1<<60 }, 5*time.Second, ms)
	assert.NoError(t, send(t.Context(), "without"))
	assert.Equal(t, "without", <-ran)
	close(unblock)
	require.Eventually(t, func() bool { return g.store.DurableMark() < 1<<60 }, 5*time.Second, ms)
	assert.NoError(t, send(t.Context(), "after"))
	assert.Equal(t, "after", <-ran)
	assert.Empty(t, ran)
}

// The disk fails or blocks while the gate is shut down. Guards against a Shutdown that returns nil although the next
// process would not know which requests had run.
func TestShutdownReportsThatTheStateIsNotStored(t *testing.T) {
	unblock := make(chan struct{})
	defer close(unblock)
	failing := func(string) error { return os.ErrInvalid }
	stalling := func(kind string) error {
		if kind != "sync" {
			return nil
		}
		<-unblock
		return os.ErrInvalid
	}
	for name, fault := range map[string]func(kind string) error{"every call fails": failing, "syncs stall": stalling} {
		t.Run(name, func(t *testing.T) {
			disk := faultdisk.New()
			g, err := New(stateOptions(stateOnDisk(disk)))
			require.NoError(t, err)
			_, err = g.DoOnce(t.Context(), pay("x"), func(context.Context) ([]byte, error) {
				disk.Set(func() { disk.Fail = fault })
				return []byte("paid"), nil
			})
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 500*ms)
			defer cancel()
			assert.ErrorIs(t, g.Shutdown(ctx), ErrStateNotStored)
			assert.ErrorIs(t, g.Shutdown(ctx), ErrStateNotStored, "second call of Shutdown")
		})
	}
}

func TestStateOptions(t *testing.T) {
	_, err := New(Options{State: &State{}})
	assert.ErrorContains(t, err, "Dir is needed")
	_, err = New(Options{State: &State{Dir: "x", MaxMB: 1}})
	assert.ErrorContains(t, err, "8 or more")
	path := filepath.Join(t.TempDir(), "options.toml")
	require.NoError(t, os.WriteFile(path, []byte("[State]\nDir = \"d\"\nCommit = \"3ms\"\n"), 0o600))
	options, err := ReadOptions(path)
	require.NoError(t, err)
	assert.Equal(t, &State{Dir: "d", CommitInterval: 3 * ms}, options.State)
}

// Stored estimates of an earlier version are used only if the settings digest is the same. The expected digests are
// those of commit f1daac1.
func TestSettingsDigestIsThatOfEarlierVersions(t *testing.T) {
	admissionSettings, err := Options{
		Routes: []Route{
			{Name: "a"},
			{Name: "b", Idempotency: Keyed, Value: 2.5, LatencyTarget: 300 * time.Millisecond, SkipValueShare: 0.25},
		},
		Cores: 2, MemoryMB: 64, RequestKB: 64, Calls: CallOptions{Share: 3},
	}.settings()
	require.NoError(t, err)
	s := settings.FromAdmission(admissionSettings, settings.ReadingNames...)
	assert.Equal(t, uint64(0xed7afa671ea5905a), s.Digest(false, true))
	assert.Equal(t, uint64(0xaf35d81566381a9e), s.Digest(true, true))
}
