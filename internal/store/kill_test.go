package store

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
)

const (
	mostDisk      = 64 << 20 // a number beyond its share of that is not kept, and this test would see it as lost
	childVariable = "QUARTZPOINT_STORE_CHILD"
	lost          = 7 // exit code of a child that misses an effect that had come about
)

func diskTerms(dir string, counts *invariant.Counters) Terms {
	return Terms{
		Open: datadir.Opener(dir), Clock: SystemClock(), ID: DrawID, Frame: views, Most: mostDisk, Commit: time.Millisecond,
		Numbers: true, Counts: counts, Log: slog.New(slog.DiscardHandler), Nudge: func() {},
	}
}

// playChild is the process that is killed: it reads what is there, compares it with the effects that have come about, and
// goes on with new ones. An effect is a line in a file, written with one call once the store has the number; a kill does
// not take it back.
func playChild() bool {
	dir := os.Getenv(childVariable)
	if dir == "" {
		return false
	}
	s, had, err := New(diskTerms(filepath.Join(dir, "state"), invariant.New(slog.New(slog.DiscardHandler))))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	known := map[string]bool{}
	for _, n := range had.Numbers {
		known[n.Key] = true
		if n.Honoured && string(n.Result) != "result of "+n.Key {
			fmt.Fprintf(os.Stderr, "%s: result %q\n", n.Key, n.Result)
			os.Exit(lost)
		}
	}
	path := filepath.Join(dir, "effects")
	before, _ := os.ReadFile(path) // none at the first start
	for _, key := range strings.Fields(string(before)) {
		if !known[key] {
			fmt.Fprintf(os.Stderr, "%s had its effect and is not known\n", key)
			os.Exit(lost)
		}
	}
	effects, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	work := func(lane int) {
		for i := 0; ; i++ {
			key := fmt.Sprintf("%d-%d-%d", os.Getpid(), lane, i)
			for mark := s.Begin(key, 1, window); s.Safe() < mark; {
				time.Sleep(50 * time.Microsecond)
			}
			fmt.Fprintln(effects, key)
			s.End(key, 1, window, true, []byte("result of "+key))
			s.View(viewOf(i))
		}
	}
	for lane := range 7 {
		go work(lane)
	}
	work(7)
	return true
}

// Processes are killed at moments that a seed draws, in their start too. None misses an effect of those before it, and the
// folder stays within its bound.
func TestKills(t *testing.T) {
	const lanes, kills = 4, 50
	var all sync.WaitGroup
	effects := make([]int, lanes)
	for lane := range lanes {
		dir := t.TempDir()
		all.Add(1)
		go func() {
			defer all.Done()
			rng := rand.New(rand.NewSource(int64(lane)))
			for kill := range kills {
				child := exec.Command(os.Args[0])
				child.Env = append(os.Environ(), childVariable+"="+dir)
				var said bytes.Buffer
				child.Stderr = &said
				if !assert.NoError(t, child.Start()) {
					return
				}
				time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
				_ = child.Process.Kill()
				_ = child.Wait()
				if !assert.Equal(t, -1, child.ProcessState.ExitCode(), "lane %d kill %d: %s", lane, kill, said.String()) {
					return
				}
			}
			raw, _ := os.ReadFile(filepath.Join(dir, "effects"))
			effects[lane] = bytes.Count(raw, []byte("\n"))
			size, entries := int64(0), 0
			files, err := os.ReadDir(filepath.Join(dir, "state"))
			assert.NoError(t, err)
			for _, f := range files {
				about, err := f.Info()
				assert.NoError(t, err)
				size += about.Size()
				entries++
			}
			assert.LessOrEqual(t, size, int64(mostDisk))
			assert.LessOrEqual(t, entries, 64)
		}()
	}
	all.Wait()
	t.Logf("%d kills, effects %v", lanes*kills, effects)
	for _, n := range effects {
		require.Greater(t, n, kills, "the children got to work at all")
	}
}
