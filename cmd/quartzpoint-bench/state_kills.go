package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"quartzpoint"
)

const (
	killLanes    = 8 // state directories, each with one process at a time
	childCallers = 8 // concurrent callers of a child's gate
	maxKillDelay = 250 * time.Millisecond
	// exitWrongEffect is the exit code of a child in which an effect ran twice or a repeated request got a wrong result.
	exitWrongEffect = 7
)

// stateChild is the command of the process that is killed: a gate whose requests with idempotency keys append to a
// file.
type stateChild struct {
	Dir string `arg:""`
}

func childOptions(state *quartzpoint.State) quartzpoint.Options {
	return quartzpoint.Options{Cores: 4, MemoryMB: 256, State: state, Routes: []quartzpoint.Route{
		{Name: "pay", Idempotency: quartzpoint.Keyed, LatencyTarget: 2 * time.Second, DedupWindow: time.Hour},
	}, Gauges: func(running int) quartzpoint.Gauges { return quartzpoint.Gauges{Runnable: min(float64(running), 4)} }}
}

// Run repeats the requests of earlier processes, and then sends new requests until the process is killed.
func (cmd *stateChild) Run() error {
	path := filepath.Join(cmd.Dir, "effects")
	before, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	effects, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	gate, err := quartzpoint.New(childOptions(&quartzpoint.State{Dir: filepath.Join(cmd.Dir, "state"), CommitInterval: time.Millisecond}))
	if err != nil {
		return err
	}
	earlierKeys := strings.Fields(string(before))
	var running sync.WaitGroup
	for caller := range childCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := caller; i < len(earlierKeys); i += childCallers {
				repeatEffect(gate, earlierKeys[i])
			}
			for i := 0; ; i++ {
				key := fmt.Sprintf("%d-%d-%d", os.Getpid(), caller, i)
				if _, err := sendKeyed(gate, key, func() { fmt.Fprintln(effects, key) }); err != nil {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	running.Wait()
	return nil
}

func sendKeyed(gate *quartzpoint.Gate, key string, effect func()) ([]byte, error) {
	return gate.DoOnce(context.Background(), quartzpoint.Request{Route: "pay", IdempotencyKey: key}, func(context.Context) ([]byte, error) {
		effect()
		return []byte("result of " + key), nil
	})
}

// repeatEffect repeats a request whose effect has happened, and exits the process if it runs again or has another
// result.
func repeatEffect(gate *quartzpoint.Gate, key string) {
	result, err := sendKeyed(gate, key, func() { exitOnWrongEffect("%s ran twice", key) })
	if err == nil && string(result) != "result of "+key {
		exitOnWrongEffect("%s: result %q", key, result)
	}
}

func exitOnWrongEffect(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(exitWrongEffect)
}

// killTally holds the counts of all lanes: effects that ran twice or wrong results, effects, and the largest size of a
// state directory after a kill.
type killTally struct {
	wrong, effects, maxBytes atomic.Int64
}

// kills starts processes and kills them at random moments drawn from fixed seeds, also during their start.
func (m *measureState) kills(root string, table *tabwriter.Writer) (partResult, error) {
	self, err := os.Executable()
	if err != nil {
		return partResult{}, err
	}
	var tally killTally
	failed := make([]error, killLanes)
	var running sync.WaitGroup
	for lane := range killLanes {
		running.Add(1)
		go func() {
			defer running.Done()
			dir := filepath.Join(root, fmt.Sprintf("kills-%d", lane))
			failed[lane] = m.killLane(self, dir, lane, &tally)
		}()
	}
	running.Wait()
	kills, wrong, effects, bytes := m.Kills/killLanes*killLanes, tally.wrong.Load(), tally.effects.Load(), tally.maxBytes.Load()
	fmt.Fprintf(table, "kills (real processes): %d, effects %d, wrong %d, max bytes %d\t\t\t\t\n", kills, effects, wrong, bytes)
	return partResult{[]objective{
		{"kills", float64(kills), 300, math.Inf(1)}, {"effects lost or run twice", float64(wrong), 0, 0},
		{"effects", float64(effects), float64(kills), math.Inf(1)}, {"bytes on disk", float64(bytes), 1, stateMB << 20},
	}, fmt.Sprintf("kills %d, wrong %d", kills, wrong)}, errors.Join(failed...)
}

// killLane starts and kills processes on one state directory, one after the other.
func (m *measureState) killLane(program, dir string, lane int, tally *killTally) error {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	rng := rand.New(rand.NewSource(int64(lane)))
	var failed error
	for kill := 0; kill < m.Kills/killLanes && failed == nil; kill++ {
		delay := time.Duration(rng.Intn(int(maxKillDelay/time.Millisecond))) * time.Millisecond
		code, output, err := runAndKill(program, dir, delay)
		if err != nil {
			return err
		}
		switch code {
		case -1: // killed
		case exitWrongEffect:
			tally.wrong.Add(1)
			fmt.Fprintf(os.Stderr, "lane %d kill %d: %s", lane, kill, output)
		default:
			failed = fmt.Errorf("child exited with code %d: %s", code, output)
		}
		if size, err := dirSize(filepath.Join(dir, "state")); err == nil && size > tally.maxBytes.Load() {
			tally.maxBytes.Store(size)
		}
	}
	raw, _ := os.ReadFile(filepath.Join(dir, "effects")) // missing if no child reached its first effect
	lines := strings.Fields(string(raw))
	tally.effects.Add(int64(len(lines)))
	slices.Sort(lines)
	tally.wrong.Add(int64(len(lines) - len(slices.Compact(lines))))
	return failed
}

// runAndKill starts a child and kills it after a delay. The exit code is -1 if the child was running until then.
func runAndKill(program, dir string, delay time.Duration) (exitCode int, output string, err error) {
	var stderr strings.Builder
	child := exec.Command(program, "state-child", dir)
	child.Stderr = &stderr
	if err := child.Start(); err != nil {
		return 0, "", err
	}
	time.Sleep(delay)
	_ = child.Process.Kill() // fails if the child has exited; the exit code shows that
	_ = child.Wait()
	return child.ProcessState.ExitCode(), stderr.String(), nil
}
