package peersync

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
)

const (
	maxFetches    = 16               // concurrent fetches; each uses a file descriptor
	needInterval  = time.Second      // longest interval between two calls of Fetcher.NeedsEstimates
	minTimerDelay = time.Millisecond // keeps the loop from spinning if the due time has just passed
)

// Fetcher polls the peers of a starting server until it has their estimates or no longer needs them. All fields except
// Recovered, Keys and Seed must be set.
type Fetcher struct {
	Peers          []string // addresses
	Keys           Keys
	FirstWait      time.Duration     // longest wait for the first answers of all peers; later ones are used as they arrive
	Schema         estimate.Schema   // which snapshots must match
	Recovered      estimate.Snapshot // of this server's previous process; merged with those of peers
	Seed           int64
	NeedsEstimates func() bool                      // reports whether the server still needs estimates
	Use            func(snapshot estimate.Snapshot) // replaces the estimates passed in earlier calls
	Counts         *invariant.Counters
	Log            *slog.Logger
}

// receivedSnapshot is a peer's snapshot and the time at which it was received.
type receivedSnapshot struct {
	snapshot   estimate.Snapshot
	receivedAt time.Duration
	ok         bool
}

// fetchResult is the result of one fetch.
type fetchResult struct {
	peer     int
	snapshot estimate.Snapshot
	err      error
}

// fetchRun is the state of one call of Fetcher.Run. It belongs to the goroutine of that call; fetches send their
// results to results.
type fetchRun struct {
	*Fetcher
	started    time.Time
	schedule   *estimate.PollSchedule
	received   []receivedSnapshot // by peer
	results    chan fetchResult   // buffered for all peers, so that fetches never block when they report
	fetchSlots chan struct{}      // has one element per fetch in progress
	inProgress int
	used       bool // whether use was called: the first answers were used, or none arrived in time
}

// Run polls until enough peers have answered, the estimates are no longer needed, or the context ends. It returns after
// all its goroutines have ended. The server handles requests meanwhile.
func (f *Fetcher) Run(ctx context.Context) {
	run := &fetchRun{
		Fetcher: f, started: time.Now(), schedule: estimate.NewPollSchedule(len(f.Peers), 0, f.Seed),
		received: make([]receivedSnapshot, len(f.Peers)), results: make(chan fetchResult, len(f.Peers)),
		fetchSlots: make(chan struct{}, maxFetches),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		for ; run.inProgress > 0; run.inProgress-- {
			<-run.results
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Since(run.started)
		needed := f.NeedsEstimates()
		run.startDue(ctx, now, needed)
		if !run.used && (now >= f.FirstWait || run.inProgress == 0) {
			run.use(now)
		}
		if run.inProgress == 0 && run.schedule.Done(now, needed) {
			return
		}
		timer.Reset(run.delay(now))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case result := <-run.results:
			run.handle(result)
		}
	}
}

// startDue starts a fetch from each peer that is due.
func (r *fetchRun) startDue(ctx context.Context, now time.Duration, needed bool) {
	for _, peer := range r.schedule.Due(now, needed) {
		r.inProgress++
		go func() {
			result := fetchResult{peer: peer}
			select {
			case r.fetchSlots <- struct{}{}:
				result.snapshot, result.err = Fetch(ctx, r.Peers[peer], r.Keys)
				<-r.fetchSlots
			case <-ctx.Done():
				result.err = ctx.Err()
			}
			r.results <- result
		}()
	}
}

// delay returns the time until the loop must act even if no result arrives.
func (r *fetchRun) delay(now time.Duration) time.Duration {
	delay := min(r.schedule.Next()-now, needInterval)
	if !r.used {
		delay = min(delay, r.FirstWait-now)
	}
	return max(delay, minTimerDelay)
}

// handle records the result of a fetch.
func (r *fetchRun) handle(result fetchResult) {
	r.inProgress--
	now := time.Since(r.started)
	snapshot, err := result.snapshot, result.err
	if err == nil {
		snapshot, err = r.check(snapshot)
	}
	retryAfter := time.Duration(0)
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		retryAfter = rejected.RetryAfter
	}
	r.schedule.Finished(result.peer, now, err == nil, retryAfter)
	if err != nil {
		r.Counts.Count("no usable estimates from a peer")
		r.Log.Warn("no estimates from a peer", "peer", r.Peers[result.peer], "error", err)
		return
	}
	r.received[result.peer] = receivedSnapshot{snapshot, now, true}
	if r.used || r.inProgress == 0 {
		r.use(now)
	}
}

// check returns a peer's snapshot with its routes in this server's order, or an error if the snapshot cannot be used.
func (r *fetchRun) check(snapshot estimate.Snapshot) (estimate.Snapshot, error) {
	aligned, err := r.Schema.Align(snapshot)
	if err != nil {
		return estimate.Snapshot{}, err
	}
	checked, err := r.Schema.Validate(aligned)
	if err != nil {
		return estimate.Snapshot{}, err
	}
	if !checked.HasFresh() {
		return estimate.Snapshot{}, ErrNoEstimates
	}
	return checked, nil
}

// use merges Recovered with the snapshots received so far and passes the result on. If no snapshot was received it
// passes nothing on, because the server uses Recovered already.
func (r *fetchRun) use(now time.Duration) {
	r.used = true
	peers := 0
	var snapshots []estimate.Snapshot
	if r.Recovered.HasFresh() {
		snapshots = append(snapshots, r.Recovered.Aged(now))
	}
	for _, peer := range r.received {
		if peer.ok {
			snapshots = append(snapshots, peer.snapshot.Aged(now-peer.receivedAt))
			peers++
		}
	}
	merged := estimate.Merge(snapshots)
	if peers == 0 || !merged.HasFresh() {
		return
	}
	r.Log.Info("using estimates from peers", "peers", peers, "of", len(r.Peers), "after", now)
	r.Use(merged)
}
