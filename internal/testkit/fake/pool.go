package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes that SiteSettings and RequestFrame state; the readings are computed from them.
const (
	cores        = 4
	siteMemoryKB = 60000.0
	runMemoryKB  = 164.0
)

// Command is one line that a server wrote to the pool. Body holds the bytes of a spawn.
type Command struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"`
	RunID   string `json:"task"`
	Handler string `json:"handler"`
	Nonce   string `json:"nonce"`
	Body    []byte `json:"bytes"`
}

// Pool is a worker pool. A run ends when a test finishes it, or at once where Echo is set. The exported flags are set
// before Ready; while the pool serves, the Set methods change them.
type Pool struct {
	Address            string
	Echo               bool // runs end at once, with their body as the result
	NoReadings         bool // polls are never answered
	RunsOnAfterSuspend bool // a suspended run reports its end and is still counted as running
	DropsSpawns        bool // spawns are read and not run
	IgnoresSuspend     bool // suspend has no effect
	Commands           chan Command

	mu              sync.Mutex
	listener        net.Listener
	link            net.Conn
	notices         []string
	running         map[string]bool
	silent          bool
	partialReadings bool // polls are answered with the first reading only
	ready           chan struct{}
}

// NewPool starts a pool on loopback that answers binds once Ready was called. It closes with the test.
func NewPool(t testing.TB) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Pool{
		Commands: make(chan Command, 4096), running: map[string]bool{}, ready: make(chan struct{}),
	}
	p.accept(listener)
	t.Cleanup(func() { p.listener.Close(); p.CloseLink() })
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
	p.listener.Close()
	p.accept(listener)
}

// Ready makes the pool answer binds. It may be called once.
func (p *Pool) Ready() *Pool { close(p.ready); return p }

func (p *Pool) serve(link net.Conn) {
	defer link.Close()
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
		if p.link != link { // not bound yet, or replaced by a later bind
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

// bind answers once the pool is ready, and sends every notice after the given index.
func (p *Pool) bind(link net.Conn, after int) {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	fmt.Fprintf(link, "{\"verb\":\"bound\",\"outcome\":\"steady\",\"spent\":12}\n")
	for _, n := range p.notices[after:] {
		io.WriteString(link, n)
	}
}

// finishRun sends the notice that a run has ended.
func (p *Pool) finishRun(task, outcome string, result []byte) {
	delete(p.running, task)
	p.notify(map[string]any{"verb": "finished", "task": task, "outcome": outcome, "spent": 5.5, "bytes": result})
}

// notify numbers a notice, stores it for later binds and writes it to the link.
func (p *Pool) notify(notice map[string]any) {
	notice["index"] = len(p.notices) + 1
	raw, _ := json.Marshal(notice)
	p.notices = append(p.notices, string(raw)+"\n")
	if p.link != nil {
		io.WriteString(p.link, p.notices[len(p.notices)-1])
	}
}

// FinishTruncated ends a run whose notice is cut short on the link. The whole notice is stored, and sent to the next bind.
func (p *Pool) FinishTruncated(task, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.link
	p.link = nil
	p.finishRun(task, outcome, result)
	p.link = link
	io.WriteString(link, `{"verb":"finished","index":`+"\n")
}

// Block reports that a run waits for a dependency call with this body.
func (p *Pool) Block(task string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(map[string]any{"verb": "blocked", "task": task, "bytes": body})
}

// Finish ends a run with an outcome of the protocol.
func (p *Pool) Finish(task, outcome string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishRun(task, outcome, result)
}

// WriteRaw writes text to the link unchanged.
func (p *Pool) WriteRaw(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	io.WriteString(p.link, text)
}

// SetEcho ends all runs, and from now on each run as it begins.
func (p *Pool) SetEcho() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Echo = true
	for _, task := range slices.Sorted(maps.Keys(p.running)) {
		p.finishRun(task, "success", nil)
	}
}

// SetSilent stops or resumes the answers to polls.
func (p *Pool) SetSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
}

// SetPartialReadings makes polls be answered with the first reading only, or with all.
func (p *Pool) SetPartialReadings(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partialReadings = on
}

// SetDropsSpawns makes the pool ignore the spawns that it reads, or run them.
func (p *Pool) SetDropsSpawns(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.DropsSpawns = on
}

// CloseLink closes the bound link. Runs continue.
func (p *Pool) CloseLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.Close()
		p.link = nil
	}
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
