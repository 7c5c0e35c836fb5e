package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// Sizes in SiteSettings and RequestFrame, from which the readings are computed.
const (
	cores        = 4
	siteMemoryKB = 60000.0 // ram-kb
	runMemoryKB  = 164.0   // heap of RequestFrame, times run-factor

	runMilliseconds = 5.5 // reported duration of every run
)

// Command is one line that a server wrote to the pool.
type Command = harness.PoolCommand

// Pool is a worker pool. A run ends when a test finishes it, or at once if Echo is set. The exported flags must be set
// before the server sends the commands that they affect; after that, the Set methods change them.
type Pool struct {
	Address            string
	Echo               bool         // runs end at once, with their body as the result
	NoReadings         bool         // polls are never answered
	RunsOnAfterSuspend bool         // a suspended run reports its end but still counts as running
	DropsSpawns        bool         // spawns are read but not run
	IgnoresSuspend     bool         // suspend has no effect
	Commands           chan Command // received binds, and other commands on the bound link except polls

	mu              sync.Mutex
	listener        net.Listener
	notices         harness.NoticeLog
	running         map[string]bool
	silent          bool // polls are not answered
	partialReadings bool // polls are answered with the first reading only
	ready           chan struct{}
}

// NewPool starts a pool on loopback that answers binds after Ready was called. It is closed when the test ends.
func NewPool(t testing.TB) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Pool{
		Commands: make(chan Command, 4096), running: map[string]bool{}, ready: make(chan struct{}),
	}
	p.accept(listener)
	t.Cleanup(func() { _ = p.listener.Close(); p.CloseLink() })
	return p
}

func (p *Pool) accept(listener net.Listener) {
	p.Address, p.listener = listener.Addr().String(), listener
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(link)
		}
	}()
}

// Relocate makes the pool listen at another address. An open link stays open.
func (p *Pool) Relocate(t testing.TB) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = p.listener.Close()
	p.accept(listener)
}

// Ready makes the pool answer binds. It must not be called twice.
func (p *Pool) Ready() *Pool { close(p.ready); return p }

func (p *Pool) serve(link net.Conn) {
	defer func() { _ = link.Close() }()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var c Command
		if json.Unmarshal(in.Bytes(), &c) != nil {
			return
		}
		if c.Verb == "bind" {
			p.Commands <- c
			go p.bind(link, c.Index)
			continue
		}
		p.mu.Lock()
		if !p.notices.IsBound(link) { // not bound yet, or replaced by a later bind
			fmt.Fprintf(link, "{\"verb\":\"unknown\",\"outcome\":%q}\n", c.Verb)
			p.mu.Unlock()
			continue
		}
		switch c.Verb {
		case "spawn":
			if !p.DropsSpawns {
				p.running[c.RunID] = true
			}
			if p.Echo {
				p.finishRun(c.RunID, "success", c.Body)
			}
		case "suspend":
			if p.running[c.RunID] && !p.IgnoresSuspend {
				p.finishRun(c.RunID, "interrupted", nil)
				if p.RunsOnAfterSuspend {
					p.running[c.RunID] = true
				}
			}
		case "poll":
			if !p.NoReadings && !p.silent {
				fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":%s}`+"\n", c.Nonce, p.readings())
			}
		}
		p.mu.Unlock()
		if c.Verb != "poll" {
			p.Commands <- c
		}
	}
}

// readings returns the gauges as JSON, in the order that SiteSettings states.
func (p *Pool) readings() string {
	runs := float64(len(p.running))
	busy := min(1, runs/cores)
	if p.partialReadings {
		return fmt.Sprintf("[%g]", busy)
	}
	return fmt.Sprintf("[%g,%g,%.4f,3]", busy, runs, min(1, runs*runMemoryKB/siteMemoryKB))
}

// bind answers a bind when the pool is ready, and sends every notice with an index above after.
func (p *Pool) bind(link net.Conn, after int) {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.Bind(link, `{"verb":"bound","outcome":"steady","spent":12}`+"\n", after)
}

// finishRun sends the notice that a run has ended.
func (p *Pool) finishRun(runID, outcome string, result []byte) {
	delete(p.running, runID)
	p.notices.Add(harness.Finished(runID, outcome, runMilliseconds, result))
}

// FinishTruncated ends a run and writes a truncated notice to the link. The complete notice is stored and sent to the
// next server that binds.
func (p *Pool) FinishTruncated(runID, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, runID)
	p.requireBound()
	p.notices.AddTruncated(harness.Finished(runID, outcome, runMilliseconds, result))
}

// Block reports that a run waits for a dependency call with this body.
func (p *Pool) Block(runID string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.Add(harness.Blocked(runID, body))
}

// Finish ends a run with an outcome of the protocol and its result.
func (p *Pool) Finish(runID, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishRun(runID, outcome, result)
}

// WriteRaw writes text to the link unchanged.
func (p *Pool) WriteRaw(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requireBound()
	p.notices.WriteRaw(text)
}

// requireBound panics if no server is bound, because text that a test writes would be lost.
func (p *Pool) requireBound() {
	if p.notices.IsBound(nil) {
		panic("fake: no server is bound to the pool")
	}
}

// SetEcho ends all runs, and makes each later run end at once.
func (p *Pool) SetEcho() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Echo = true
	for _, runID := range slices.Sorted(maps.Keys(p.running)) {
		p.finishRun(runID, "success", nil)
	}
}

// SetSilent stops or resumes the answers to polls.
func (p *Pool) SetSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
}

// SetPartialReadings sets whether polls are answered with the first reading only.
func (p *Pool) SetPartialReadings(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partialReadings = on
}

// SetDropsSpawns sets whether the pool ignores spawns.
func (p *Pool) SetDropsSpawns(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.DropsSpawns = on
}

// CloseLink closes the bound link. Runs continue.
func (p *Pool) CloseLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.CloseLink()
}

// Next waits for the next command with a verb and skips others.
func (p *Pool) Next(t testing.TB, verb string) Command {
	t.Helper()
	for limit := time.After(WaitLimit); ; {
		select {
		case c := <-p.Commands:
			if c.Verb == verb {
				return c
			}
		case <-limit:
			require.FailNow(t, "the pool received no "+verb)
		}
	}
}
