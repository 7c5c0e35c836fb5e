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
	flatTimeout = 500 * time.Millisecond // for every attempt, whatever time is left
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
	link := workerlink.New(s.Pool, 1<<20, log, counts.Saw, owner.Nudge)
	owner.Serve(link, routers)
	f := &flatComposer{owner: owner, routes: map[string]config.Type{}, requests: map[string]*flatRequest{}, inFlight: map[*fanout.Attempt]flatAttempt{}}
	var over sync.WaitGroup
	for i, d := range ours.Dependencies {
		way := fanout.Dial(ctx, fanout.Dependency(d), int64(i), log, counts.Saw, owner.Nudge, &over)
		f.transports = append(f.transports, way)
	}
	for _, t := range ours.Types {
		f.routes[t.Name] = t
	}
	owner.Compose(f)
	go link.Run(ctx)
	go func() { _ = routers.Serve() }() // ends with the process
	go func() {
		<-notice
		owner.Leave(time.Duration(s.StopMS) * time.Millisecond)
	}()
	log.Info("serving", "listen", s.Listen)
	owner.Run()
	return nil
}

type flatRequest struct {
	id        string
	route     config.Type
	body      []byte
	settled   []bool
	available []bool
	attempts  []int
	finished  bool
}

type flatAttempt struct {
	request  *flatRequest
	call     int
	deadline time.Duration
}

// flatComposer makes every call whose predecessors are settled, waits for each the same time, and tries again.
type flatComposer struct {
	owner      *server.Server
	routes     map[string]config.Type
	transports []fanout.Transport
	requests   map[string]*flatRequest
	inFlight   map[*fanout.Attempt]flatAttempt
	unsent     []flatAttempt
	notices    []workerapi.Notice
}

func (f *flatComposer) Handles(kind string) bool          { _, is := f.routes[kind]; return is }
func (f *flatComposer) ExpectedWait(string) time.Duration { return 0 }
func (f *flatComposer) GoOn(string) bool                  { return false }
func (f *flatComposer) Take(into []workerapi.Notice) []workerapi.Notice {
	into = append(into, f.notices...)
	f.notices = f.notices[:0]
	return into
}

func (f *flatComposer) Flush() {
	for _, w := range f.transports {
		w.Flush()
	}
}

func (f *flatComposer) NextTimer() time.Duration {
	if len(f.notices)+len(f.unsent) > 0 {
		return 0
	}
	if len(f.inFlight) > 0 {
		return f.owner.Now() + 5*time.Millisecond
	}
	return 1<<63 - 1
}

func (f *flatComposer) Start(r workerapi.Run) bool {
	kind := f.routes[r.Route]
	n := len(kind.Calls)
	t := &flatRequest{id: r.ID, route: kind, body: r.Body, settled: make([]bool, n), available: make([]bool, n), attempts: make([]int, n)}
	f.requests[r.ID] = t
	f.advance(t)
	return true
}

func (f *flatComposer) Pause(id string) bool {
	if t := f.requests[id]; t != nil {
		f.finish(t, "interrupted", nil)
	}
	return true
}

func (f *flatComposer) finish(t *flatRequest, outcome string, result []byte) {
	if !t.finished {
		t.finished = true
		delete(f.requests, t.id)
		f.notices = append(f.notices, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: t.id, Outcome: outcome, Result: result})
	}
}

func (f *flatComposer) advance(t *flatRequest) {
	all, worth, has, whole := true, 0.0, 0.0, true
	for i, c := range t.route.Calls {
		worth += c.Value
		if t.settled[i] {
			if t.available[i] {
				has += c.Value
			} else if whole = false; c.Required {
				f.finish(t, "interrupted", nil)
				return
			}
			continue
		}
		all = false
		ready := t.attempts[i] == 0
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
			f.finish(t, "success", raw)
		}
	}
}

func (f *flatComposer) send(t *flatRequest, i int) {
	c := t.route.Calls[i]
	t.attempts[i]++
	s := &fanout.Attempt{Op: c.Op, Body: t.body, Timeout: flatTimeout}
	if c.Effect != budget.Read {
		s.IdempotencyKey = fmt.Sprintf("%s/%s", t.id, c.Name)
	}
	call := flatAttempt{t, i, f.owner.Now() + flatTimeout}
	if f.transports[c.Dependency].Send(s) {
		f.inFlight[s] = call
	} else {
		f.unsent = append(f.unsent, call)
	}
}

func (f *flatComposer) attemptFailed(c flatAttempt) {
	if c.request.finished {
		return
	}
	// Client libraries repeat whatever timed out; but one that repeats at-most-once calls would break a rule here.
	if c.request.attempts[c.call] <= flatRetries && c.request.route.Calls[c.call].Effect != budget.AtMostOnce {
		f.send(c.request, c.call)
		return
	}
	c.request.settled[c.call] = true
	f.advance(c.request)
}

func (f *flatComposer) Advance(now time.Duration) {
	again := f.unsent
	f.unsent = nil
	for _, c := range again {
		if now >= c.deadline-flatTimeout+10*time.Millisecond { // no way: not in a spin
			f.attemptFailed(c)
		} else {
			f.unsent = append(f.unsent, c)
		}
	}
	for _, w := range f.transports {
		for _, b := range w.Receive(nil) {
			c, open := f.inFlight[b.Attempt]
			delete(f.inFlight, b.Attempt)
			switch {
			case !open || c.request.finished:
			case b.Outcome == budget.Succeeded:
				c.request.settled[c.call], c.request.available[c.call] = true, true
				f.advance(c.request)
			default:
				f.attemptFailed(c)
			}
		}
		w.CheckConnections(time.Now())
	}
	for s, c := range f.inFlight {
		if now >= c.deadline {
			delete(f.inFlight, s)
			f.attemptFailed(c)
		}
	}
}
