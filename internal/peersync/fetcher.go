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
	maxFetches    = 16               // at a time, as each takes a descriptor
	needInterval  = time.Second      // longest pause between two calls of Fetcher.NeedsEstimates
	minTimerDelay = time.Millisecond // so that a moment which has just passed does not spin the loop
)

// Fetcher polls the peers of a starting server until it has their estimates or does not need them any more. All fields but
// Recovered, Keys and Seed must be set.
type Fetcher struct {
	Peers          []string // addresses
	Keys           Keys
	FirstWait      time.Duration     // longest wait for the first answers of all peers; later ones are used as they come
	Schema         estimate.Schema   // that snapshots must fit
	Recovered      estimate.Snapshot // of this server's earlier process, merged with the peers'
	Seed           int64
	NeedsEstimates func() bool                      // whether the server still needs estimates
	Use            func(snapshot estimate.Snapshot) // replaces the estimates that were passed before
	Counts         *invariant.Counters
	Log            *slog.Logger
}

// received is a peer's snapshot and when it came.
type received struct {
	snapshot   estimate.Snapshot
	receivedAt time.Duration
	ok         bool
}

// fetchResult is how one fetch ended.
type fetchResult struct {
	peer     int
	snapshot estimate.Snapshot
	err      error
}

// fetchRun is the state of one call of Fetcher.Run. The goroutine of that call owns it; fetches report to results.
type fetchRun struct {
	*Fetcher
	started    time.Time
	schedule   *estimate.PollSchedule
	received   []received       // by peer
	results    chan fetchResult // with room for all peers, so that no fetch waits to report
	fetchSlots chan struct{}    // holds an element for each fetch under way
	inProgress int
	used       bool // the first answers were used, or there were none in time
}

// Run polls until enough peers have answered, the estimates are not needed any more, or the context ends. It returns once
// all its goroutines have ended. The server takes requests meanwhile.
func (f *Fetcher) Run(ctx context.Context) {
	run := &fetchRun{
		Fetcher: f, started: time.Now(), schedule: estimate.NewPollSchedule(len(f.Peers), 0, f.Seed),
		received: make([]received, len(f.Peers)), results: make(chan fetchResult, len(f.Peers)),
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

// delay is the time until the loop has something to do without a result.
func (r *fetchRun) delay(now time.Duration) time.Duration {
	delay := min(r.schedule.Next()-now, needInterval)
	if !r.used {
		delay = min(delay, r.FirstWait-now)
	}
	return max(delay, minTimerDelay)
}

// handle takes the result of a fetch.
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
	r.received[result.peer] = received{snapshot, now, true}
	if r.used || r.inProgress == 0 {
		r.use(now)
	}
}

// check returns a peer's snapshot in the order of this server's routes, or why it can't be used.
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

// use merges what was received so far and passes it on. Recovered alone is in use already.
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
