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
	maxTestBytes   = 64 << 20 // large enough that no key is dropped for lack of space, which would look like a lost key
	childVariable  = "QUARTZPOINT_STORE_CHILD"
	exitLostEffect = 7 // exit code of a child that recovered a wrong result, or no key for an effect that has happened
)

func osDirOptions(dir string, counts *invariant.Counters) Options {
	return Options{
		OpenDir: datadir.Opener(dir), Clock: SystemClock(), NewID: RandomID, Schema: testSchema, MaxBytes: maxTestBytes, CommitInterval: time.Millisecond,
		PersistKeys: true, Counts: counts, Log: slog.New(slog.DiscardHandler), OnDurable: func() {},
	}
}

// runChild is the process that is killed. It recovers the directory, checks that the keys of all effects so far are
// recovered, and causes new effects. An effect is a line in a file, written by one call once the store has the key; a
// kill does not undo it. In the parent, which runs the tests, runChild does
// nothing and returns false.
func runChild() bool {
	dir := os.Getenv(childVariable)
	if dir == "" {
		return false
	}
	s, recovered, err := New(osDirOptions(filepath.Join(dir, "state"), invariant.New(slog.New(slog.DiscardHandler))))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	known := map[string]bool{}
	for _, entry := range recovered.Keys {
		known[entry.Key] = true
		if entry.Served && string(entry.Result) != "result of "+entry.Key {
			fmt.Fprintf(os.Stderr, "key %s is recovered with the wrong result %q\n", entry.Key, entry.Result)
			os.Exit(exitLostEffect)
		}
	}
	path := filepath.Join(dir, "effects")
	previous, _ := os.ReadFile(path) // no file at the first start
	for _, key := range strings.Fields(string(previous)) {
		if !known[key] {
			fmt.Fprintf(os.Stderr, "key %s is not recovered although its effect has happened\n", key)
			os.Exit(exitLostEffect)
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
			for mark := s.RecordStart(key, 1, window); s.DurableMark() < mark; {
				time.Sleep(50 * time.Microsecond)
			}
			fmt.Fprintln(effects, key)
			s.RecordEnd(key, 1, window, true, []byte("result of "+key))
			s.SaveEstimates(numberedSnapshot(i))
		}
	}
	for lane := range 7 {
		go work(lane)
	}
	work(7)
	return true
}

// Processes are killed at random times drawn from a fixed seed, also during their start. Each must recover the keys of
// all effects of earlier processes, and the directory must stay within its size limit.
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
				var output bytes.Buffer
				child.Stderr = &output
				if !assert.NoError(t, child.Start()) {
					return
				}
				time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
				_ = child.Process.Kill()
				_ = child.Wait()
				if !assert.Equal(t, -1, child.ProcessState.ExitCode(), "lane %d kill %d: %s", lane, kill, output.String()) {
					return
				}
			}
			raw, _ := os.ReadFile(filepath.Join(dir, "effects"))
			effects[lane] = bytes.Count(raw, []byte("\n"))
			size, entries := int64(0), 0
			files, err := os.ReadDir(filepath.Join(dir, "state"))
			assert.NoError(t, err)
			for _, f := range files {
				info, err := f.Info()
				assert.NoError(t, err)
				size += info.Size()
				entries++
			}
			assert.LessOrEqual(t, size, int64(maxTestBytes))
			assert.LessOrEqual(t, entries, 64)
		}()
	}
	all.Wait()
	t.Logf("%d kills, effects %v", lanes*kills, effects)
	for _, n := range effects {
		require.Greater(t, n, kills, "the children caused effects before they were killed")
	}
}
