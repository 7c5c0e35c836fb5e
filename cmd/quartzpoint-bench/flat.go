package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/config"
	"quartzpoint/internal/fanout"
	"quartzpoint/internal/frontend"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/workerlink"
)

const (
	flatWait    = 500 * time.Millisecond // for every attempt, whatever time is left
	flatRetries = 3                      // behind every first attempt that failed
)

// flat is the baseline that calls are budgeted against: one time-out for every call and three retries, as client
// libraries have them. Everything else of the server is the same.
type flat struct {
	Config string `name:"config" aliases:"own" help:"The product's own file, for dependencies and types."`
}

// Run serves as the daemon does, but for how calls are made.
func (cmd *flat) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM)
	raw, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	var s struct {
		Listen, Pool string
		StopMS       int64 `json:"stop_ms"`
		Limits       struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	ours, err := config.Read(cmd.Config)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	agreed, err := settings.FromJSON(s.Settings)
	if err != nil {
		return err
	}
	counts := invariant.New(log)
	limits := server.Limits{MemoryMB: s.Limits.MemoryMB, Sockets: s.Limits.Sockets}
	owner, err := server.New(agreed, 1, limits, counts, log)
	if err != nil {
		return err
	}
	routers, err := frontend.Listen(s.Listen, owner, limits, counts, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	link := workerlink.New(s.Pool, 1<<20, log, counts.Count, owner.Wake)
	owner.Attach(link, routers)
	f := &flatComposer{owner: owner, types: map[string]config.Type{}, tasks: map[string]*flatTask{}, open: map[*fanout.Sent]flatCall{}}
	var over sync.WaitGroup
	for i, d := range ours.Dependencies {
		way := fanout.Dial(ctx, fanout.Dependency(d), int64(i), log, counts.Count, owner.Wake, &over)
		f.ways = append(f.ways, way)
	}
	for _, t := range ours.Types {
		f.types[t.Name] = t
	}
	owner.SetComposer(f)
	go link.Run(ctx)
	go func() { _ = routers.Serve() }() // ends with the process
	go func() {
		<-notice
		owner.Drain(time.Duration(s.StopMS) * time.Millisecond)
	}()
	log.Info("serving", "listen", s.Listen)
	owner.Run()
	return nil
}

type flatTask struct {
	id      string
	kind    config.Type
	body    []byte
	settled []bool
	good    []bool
	tries   []int
	done    bool
}

type flatCall struct {
	task  *flatTask
	call  int
	until time.Duration
}

// flatComposer makes every call whose predecessors are settled, waits for each the same time, and tries again.
type flatComposer struct {
	owner *server.Server
	types map[string]config.Type
	ways  []fanout.Transport
	tasks map[string]*flatTask
	open  map[*fanout.Sent]flatCall
	retry []flatCall
	ended []workerapi.Notice
}

func (f *flatComposer) Composes(kind string) bool  { _, is := f.types[kind]; return is }
func (f *flatComposer) Waits(string) time.Duration { return 0 }
func (f *flatComposer) Resume(string) bool         { return false }
func (f *flatComposer) AppendNotices(into []workerapi.Notice) []workerapi.Notice {
	into = append(into, f.ended...)
	f.ended = f.ended[:0]
	return into
}

func (f *flatComposer) Flush() {
	for _, w := range f.ways {
		w.Flush()
	}
}

func (f *flatComposer) Due() time.Duration {
	if len(f.ended)+len(f.retry) > 0 {
		return 0
	}
	if len(f.open) > 0 {
		return f.owner.Now() + 5*time.Millisecond
	}
	return 1<<63 - 1
}

func (f *flatComposer) Start(r workerapi.Run) bool {
	kind := f.types[r.Route]
	n := len(kind.Calls)
	t := &flatTask{id: r.ID, kind: kind, body: r.Body, settled: make([]bool, n), good: make([]bool, n), tries: make([]int, n)}
	f.tasks[r.ID] = t
	f.advance(t)
	return true
}

func (f *flatComposer) Pause(id string) bool {
	if t := f.tasks[id]; t != nil {
		f.end(t, "interrupted", nil)
	}
	return true
}

func (f *flatComposer) end(t *flatTask, outcome string, result []byte) {
	if !t.done {
		t.done = true
		delete(f.tasks, t.id)
		f.ended = append(f.ended, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: t.id, Outcome: outcome, Result: result})
	}
}

func (f *flatComposer) advance(t *flatTask) {
	all, worth, has, whole := true, 0.0, 0.0, true
	for i, c := range t.kind.Calls {
		worth += c.Value
		if t.settled[i] {
			if t.good[i] {
				has += c.Value
			} else if whole = false; c.Required {
				f.end(t, "interrupted", nil)
				return
			}
			continue
		}
		all = false
		ready := t.tries[i] == 0
		for _, a := range c.After {
			ready = ready && t.settled[a]
		}
		if ready {
			f.send(t, i)
		}
	}
	if all {
		raw, err := json.Marshal(map[string]any{"whole": whole, "worth": has / worth})
		if err == nil {
			f.end(t, "success", raw)
		}
	}
}

func (f *flatComposer) send(t *flatTask, i int) {
	c := t.kind.Calls[i]
	t.tries[i]++
	s := &fanout.Sent{Op: c.Op, Body: t.body, Within: flatWait}
	if c.Effect != budget.Read {
		s.Number = fmt.Sprintf("%s/%s", t.id, c.Name)
	}
	call := flatCall{t, i, f.owner.Now() + flatWait}
	if f.ways[c.Dependency].Send(s) {
		f.open[s] = call
	} else {
		f.retry = append(f.retry, call)
	}
}

func (f *flatComposer) failed(c flatCall) {
	if c.task.done {
		return
	}
	// Client libraries repeat whatever timed out; but one that repeats at-most-once calls would break a rule here.
	if c.task.tries[c.call] <= flatRetries && c.task.kind.Calls[c.call].Effect != budget.AtMostOnce {
		f.send(c.task, c.call)
		return
	}
	c.task.settled[c.call] = true
	f.advance(c.task)
}

func (f *flatComposer) Turn(now time.Duration) {
	again := f.retry
	f.retry = nil
	for _, c := range again {
		if now >= c.until-flatWait+10*time.Millisecond { // no way: not in a spin
			f.failed(c)
		} else {
			f.retry = append(f.retry, c)
		}
	}
	for _, w := range f.ways {
		for _, b := range w.Take(nil) {
			c, open := f.open[b.Sent]
			delete(f.open, b.Sent)
			switch {
			case !open || c.task.done:
			case b.How == budget.Succeeded:
				c.task.settled[c.call], c.task.good[c.call] = true, true
				f.advance(c.task)
			default:
				f.failed(c)
			}
		}
		w.Turn(time.Now())
	}
	for s, c := range f.open {
		if now >= c.until {
			delete(f.open, s)
			f.failed(c)
		}
	}
}
