package peersync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
)

// Fetch has one talk with a running server and returns what it has seen, older by the time that the talk took:
// how long the view itself was on the way is not known, but no longer than that.
func Fetch(ctx context.Context, address string, keys Keys) (estimate.Snapshot, error) {
	began := time.Now()
	a := newAsks(keys.first())
	view, err := meet(ctx, address, a, a.step)
	if err != nil {
		return estimate.Snapshot{}, err
	}
	return view.Aged(time.Since(began)), nil
}

// RequestVote has one talk with a running server that asks it for a lease: the ballot goes, proven by the key, and
// the proven answer comes back. What a ballot says is package lease's; here it is bytes.
func RequestVote(ctx context.Context, address string, keys Keys, ballot []byte) ([]byte, error) {
	if len(ballot) == 0 || len(ballot) > mostBallot {
		return nil, fmt.Errorf("ballot of %d bytes, 1 to %d allowed", len(ballot), mostBallot)
	}
	v := &votes{asks: newAsks(keys.first()), ballot: ballot}
	answer, err := meet(ctx, address, v.asks, v.step)
	if err != nil {
		return nil, err
	}
	return *answer, nil
}

// meet opens a talk with a running server and goes on by step until that has what it waits for.
func meet[T any](ctx context.Context, address string, a *asks, step func(message) ([]byte, *T, error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, talkWait)
	defer cancel()
	link, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer link.Close()
	defer context.AfterFunc(ctx, func() { link.Close() })() // a talk waits for no peer past its end
	var got *T
	if _, err = link.Write(a.begin()); err == nil {
		got, err = converse(link, step)
	}
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, errors.Join(err, ctx.Err()))
	}
	return got, nil
}

// localKey finds the address to dial from in a context.
type localKey struct{}

// WithLocal has talks of a context begin at an address of this machine: one host then plays many, as each is known by
// its address.
func WithLocal(ctx context.Context, address net.Addr) context.Context {
	return context.WithValue(ctx, localKey{}, address)
}

// dial opens a connection whose bytes are counted.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if local, stated := ctx.Value(localKey{}).(net.Addr); stated {
		dialer.LocalAddr = local
	}
	link, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	total.asked.Add(1)
	return countedConn{link}, nil
}

// converse reads frames and hands each to step until it has what it waits for.
func converse[T any](link net.Conn, step func(message) ([]byte, *T, error)) (*T, error) {
	var read []byte
	chunk := make([]byte, mostFrame)
	for {
		n, err := link.Read(chunk)
		if err != nil {
			return nil, fmt.Errorf("talk cut short: %w", err)
		}
		for read = append(read, chunk[:n]...); ; {
			m, rest, ok, err := cut(read)
			if err != nil {
				return nil, err
			}
			if !ok {
				break
			}
			read = rest
			out, got, err := step(m)
			if err != nil {
				return nil, err
			}
			if got != nil {
				return got, nil
			}
			if _, err := link.Write(out); err != nil {
				return nil, err
			}
		}
	}
}

// Client asks a newcomer's peers until it has their word or does not need it any more.
type Client struct {
	Peers  []string
	Keys   Keys
	Total  time.Duration     // for which the first answers are waited for
	Schema estimate.Schema   // which views can be used
	Stored estimate.Snapshot // what the server before this one left, a voice among the peers'; empty for none
	Seed   int64
	Cold   func() bool                      // whether the newcomer still needs to ask
	Take   func(snapshot estimate.Snapshot) // what is to be borrowed, in the place of what was before
	Counts *invariant.Counters
	Log    *slog.Logger
}

// usable is a peer's view in the order of this server's routes, or why it is not used.
func (a *Client) usable(snapshot estimate.Snapshot) (estimate.Snapshot, error) {
	aligned, err := a.Schema.Align(snapshot)
	if err != nil {
		return estimate.Snapshot{}, err
	}
	return a.Schema.Validate(aligned)
}

// mostTalks is how many peers a newcomer asks at once, as each takes a descriptor.
const mostTalks = 16

// errCold tells that a peer has nothing to tell yet; it is asked again, as one that is down is.
var errCold = errors.New("peer is cold itself, or idle")

// answer is how one ask ended.
type answer struct {
	peer int
	view estimate.Snapshot
	err  error
}

// Run asks until it is over or the context ends. It serves nobody: tasks are taken meanwhile, and a view that
// comes late is taken in when it comes.
func (a *Client) Run(ctx context.Context) {
	began := time.Now()
	asking := estimate.NewPollSchedule(len(a.Peers), 0, a.Seed)
	answers := make(chan answer, len(a.Peers)) // each peer is asked once at a time
	type had struct {
		view estimate.Snapshot
		at   time.Duration
		ok   bool
	}
	views := make([]had, len(a.Peers))
	talks := make(chan struct{}, mostTalks)
	open, settled := 0, false
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer func() {
		for ; open > 0; open-- { // all of them end with the context
			<-answers
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	take := func(now time.Duration) {
		settled = true
		told := 0
		var usable []estimate.Snapshot
		if a.Stored.Fresh() {
			usable = append(usable, a.Stored.Aged(now))
		}
		for _, h := range views {
			if h.ok {
				usable = append(usable, h.view.Aged(now-h.at))
				told++
			}
		}
		merged := estimate.Merge(usable)
		if told == 0 || !merged.Fresh() { // what was kept alone is borrowed already
			return
		}
		a.Log.Info("borrowed from peers", "peers", told, "of", len(a.Peers), "after", now)
		a.Take(merged)
	}
	for {
		now := time.Since(began)
		cold := a.Cold()
		for _, peer := range asking.Due(now, cold) {
			open++
			go func() {
				var got answer
				select {
				case talks <- struct{}{}:
					got.view, got.err = Fetch(ctx, a.Peers[peer], a.Keys)
					<-talks
				case <-ctx.Done():
					got.err = ctx.Err()
				}
				got.peer = peer
				answers <- got
			}()
		}
		if !settled && (now >= a.Total || open == 0) {
			take(now)
		}
		if open == 0 && asking.Over(now, cold) {
			return
		}
		wait := min(asking.Next()-now, time.Second) // whether it is still cold is looked at again
		if !settled {
			wait = min(wait, a.Total-now)
		}
		timer.Reset(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case got := <-answers:
			open--
			now = time.Since(began)
			snapshot, err := got.view, got.err
			if err == nil {
				snapshot, err = a.usable(snapshot)
			}
			if err == nil && !snapshot.Fresh() {
				err = errCold
			}
			var refused *RejectedError
			comeBack := time.Duration(0)
			if errors.As(err, &refused) {
				comeBack = refused.RetryAfter
			}
			asking.Ended(got.peer, now, err == nil, comeBack)
			if err != nil {
				a.Counts.Count("peer's view dropped, or not had")
				a.Log.Warn("no view from a peer", "peer", a.Peers[got.peer], "error", err)
				continue
			}
			views[got.peer] = had{snapshot, now, true}
			if settled || open == 0 {
				take(now)
			}
		}
	}
}
