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

// stateTerms are those of a gate with one numbered type and a folder.
func stateTerms(state *State) Terms {
	state.Commit = time.Millisecond
	return Terms{State: state, Types: []Type{{Name: "pay", Repeats: Numbered, Contract: 400 * ms, Outer: 500 * ms, Window: time.Hour}}}
}

func stateOnDisk(disk *faultdisk.Disk) *State {
	return &State{Dir: "none", open: func(bool) (datadir.Dir, error) { return disk, nil }}
}

func pay(number string) Task { return Task{Type: "pay", Number: number, Shape: 1} }

func leaveNow(t *testing.T, g *Gate) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
	defer cancel()
	require.NoError(t, g.Leave(ctx))
}

// A gate starts from the directory of the one before it: results are returned to repeats, what failed is not run again, and
// callers may change the results they got.
func TestStateRestart(t *testing.T) {
	state := &State{Dir: filepath.Join(t.TempDir(), "state"), Site: "s"}
	g, err := New(stateTerms(state))
	require.NoError(t, err)
	var runs atomic.Int32
	run := func(context.Context) ([]byte, error) { return []byte("paid"), nil }
	for range 20 { // enough to have learned something
		_, err := g.DoOnce(t.Context(), pay(string(rune('a'+runs.Add(1)))), run)
		require.NoError(t, err)
	}
	_, err = g.DoOnce(t.Context(), pay("breaks"), func(context.Context) ([]byte, error) { return nil, os.ErrInvalid })
	assert.ErrorIs(t, err, os.ErrInvalid)
	time.Sleep(1100 * ms) // the owner shares what it learned once a second
	leaveNow(t, g)

	g = newGate(t, stateTerms(state))
	again := func(context.Context) ([]byte, error) { runs.Add(1); return []byte("twice"), nil }
	got, err := g.DoOnce(t.Context(), pay("b"), again)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	_, err = g.DoOnce(t.Context(), pay("breaks"), again)
	assert.ErrorIs(t, err, ErrGivenUp)
	changed, err := g.DoOnce(t.Context(), pay("mine"), func(context.Context) ([]byte, error) { return []byte("paid"), nil })
	require.NoError(t, err)
	copy(changed, "lost") // the caller's own
	for range 2 {
		repeat, err := g.DoOnce(t.Context(), pay("mine"), again)
		require.NoError(t, err)
		assert.Equal(t, "paid", string(repeat), "and so is each repeat's")
		copy(repeat, "lost")
	}
	other := pay("b")
	other.Shape = 2
	_, err = g.DoOnce(t.Context(), other, again)
	assert.ErrorIs(t, err, ErrClash)
	assert.Equal(t, int32(20), runs.Load())
	got, err = g.DoOnce(t.Context(), pay("new"), run)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	leaveNow(t, g)
	g = newGate(t, stateTerms(state))
	got, err = g.DoOnce(t.Context(), pay("mine"), again)
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got), "what a caller does with his result is not what is kept")
	files, err := filepath.Glob(filepath.Join(state.Dir, "view-*"))
	require.NoError(t, err)
	assert.NotEmpty(t, files)
}

// The power fails while a request runs. The next gate does not run its repeat, as the original may have had its effect.
func TestStatePowerLoss(t *testing.T) {
	disk := faultdisk.New()
	g, err := New(stateTerms(stateOnDisk(disk)))
	require.NoError(t, err)
	began, end := make(chan struct{}), make(chan struct{})
	over := make(chan error, 1)
	go func() {
		_, err := g.DoOnce(t.Context(), pay("x"), func(context.Context) ([]byte, error) { close(began); <-end; return nil, nil })
		over <- err
	}()
	<-began
	after := disk.Crash(faultdisk.LoseAll{})
	close(end)
	assert.NoError(t, <-over)
	leaveNow(t, g)

	g = newGate(t, stateTerms(stateOnDisk(after)))
	_, err = g.DoOnce(t.Context(), pay("x"), func(context.Context) ([]byte, error) {
		assert.Fail(t, "ran again")
		return nil, nil
	})
	assert.ErrorIs(t, err, ErrGivenUp)
}

// A disk neither fails nor answers. A request waits for it only until its caller leaves or its deadline, and then never runs.
// After a second the gate serves without the disk, until that answers again.
func TestStateStalls(t *testing.T) {
	disk := faultdisk.New()
	g := newGate(t, stateTerms(stateOnDisk(disk)))
	hold := make(chan struct{})
	disk.Set(func() {
		disk.Fail = func(kind string) error {
			if kind == "sync" {
				<-hold
			}
			return nil
		}
	})
	ran := make(chan string, 3)
	ask := func(ctx context.Context, number string) error {
		_, err := g.DoOnce(ctx, pay(number), func(context.Context) ([]byte, error) { ran <- number; return nil, nil })
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
	defer cancel()
	assert.Error(t, ask(ctx, "gone"), "its caller went")
	assert.Error(t, ask(t.Context(), "late"), "its time was up")
	assert.Less(t, time.Since(began), 900*ms)
	require.Eventually(t, func() bool { return g.state.DurableMark() > 1<<60 }, 5*time.Second, ms)
	assert.NoError(t, ask(t.Context(), "without"))
	assert.Equal(t, "without", <-ran)
	close(hold)
	require.Eventually(t, func() bool { return g.state.DurableMark() < 1<<60 }, 5*time.Second, ms)
	assert.NoError(t, ask(t.Context(), "after"))
	assert.Equal(t, "after", <-ran)
	assert.Empty(t, ran)
}

func TestStateTerms(t *testing.T) {
	_, err := New(Terms{State: &State{}})
	assert.ErrorContains(t, err, "Dir is needed")
	_, err = New(Terms{State: &State{Dir: "x", MostMB: 1}})
	assert.ErrorContains(t, err, "8 or more")
	path := filepath.Join(t.TempDir(), "terms.toml")
	require.NoError(t, os.WriteFile(path, []byte("[State]\nDir = \"d\"\nCommit = \"3ms\"\n"), 0o600))
	terms, err := ReadTerms(path)
	require.NoError(t, err)
	assert.Equal(t, &State{Dir: "d", Commit: 3 * ms}, terms.State)
}

// A gate uses the estimates that one of an earlier version left on disk only under the same digest of the settings. The
// figures are those of f1daac1.
func TestSettingsDigestIsThatOfEarlierVersions(t *testing.T) {
	decisions, err := Terms{
		Types: []Type{
			{Name: "a"},
			{Name: "b", Repeats: Numbered, Importance: 2.5, Contract: 300 * time.Millisecond, SkipShare: 0.25},
		},
		Cores: 2, MemoryMB: 64, TaskKB: 64, Calls: Calls{Share: 3},
	}.settings()
	require.NoError(t, err)
	s := settings.FromAdmission(decisions, settings.Readings...)
	assert.Equal(t, uint64(0xed7afa671ea5905a), s.Digest(false, true))
	assert.Equal(t, uint64(0xaf35d81566381a9e), s.Digest(true, true))
}
