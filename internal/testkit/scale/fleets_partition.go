package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quartzpoint/internal/testkit/faultnet"
)

// measurePartition separates the voters into two regions for a while, and measures the number of lease holders and the
// time without one.
func (f *FleetBenchmark) measurePartition(ctx context.Context, points Points) (err error) {
	span := 30 * time.Second
	if f.Small {
		span = 4 * time.Second
	}
	spec := f.spec(fewVoters, 1)
	sink, err := newMembershipSink()
	if err != nil {
		return err
	}
	defer func() { _ = sink.socket.Close() }()
	spec.Servers, spec.Members, spec.Asked = addresses(fewVoters), sink.socket.LocalAddr().String(), 1
	var links []*faultnet.Proxy
	via := map[string]string{}
	for _, address := range spec.Servers {
		link, err := faultnet.New(address)
		if err != nil {
			return err
		}
		defer func() { _ = link.Close() }()
		links, via[address] = append(links, link), link.Addr()
	}
	fleet := &Fleet{members: sink, servers: fewVoters}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	for _, part := range []HollowSpec{spec.region(0, partitionedVoters, via), spec.region(partitionedVoters, fewVoters-partitionedVoters, via)} {
		process, err := startChild(f.Program, part)
		if err != nil {
			return err
		}
		fleet.children = append(fleet.children, process)
		if _, err := process.readState(); err != nil {
			return err
		}
	}
	if _, err := fleet.waitForHolders(ctx, healTimeout, 1); err != nil {
		return err
	}
	for _, link := range links {
		link.Cut()
	}
	holders, without, err := fleet.watchHolders(ctx, span)
	if err != nil {
		return err
	}
	for _, link := range links {
		link.Heal()
	}
	healed, err := fleet.waitForHolders(ctx, healTimeout, 1)
	if err != nil {
		return err
	}
	points.Add(seriesPartitionHolders, span.Seconds(), float64(holders))
	points.Add(seriesPartitionNoHolderSeconds, span.Seconds(), without.Seconds())
	points.Add(seriesHealSeconds, span.Seconds(), healed.Seconds())
	return nil
}

// region returns the spec of a range of the servers, which dial all others through proxies.
func (s HollowSpec) region(first, count int, via map[string]string) HollowSpec {
	s.First, s.Count, s.Via = first, count, map[string]string{}
	for i, address := range s.Servers {
		if i < first || i >= first+count {
			s.Via[address] = via[address]
		}
	}
	return s
}

// errHolderCount is wrapped by the error of waitForHolders if the number of lease holders is not the expected one at
// the end of the wait.
var errHolderCount = errors.New("number of lease holders")

// countHolders returns the number of servers that hold a lease now, summed over the leases.
func (f *Fleet) countHolders() (n int, err error) {
	for _, child := range f.children {
		if child == nil {
			continue
		}
		state, err := child.ask(hollowCommand{})
		if err != nil {
			return n, err
		}
		for _, holders := range state.Holders {
			n += len(holders)
		}
	}
	return n, nil
}

// waitForHolders waits until the number of lease holders, summed over the leases, is the expected one, and returns the
// time that it took.
func (f *Fleet) waitForHolders(ctx context.Context, wait time.Duration, want int) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(holderPollInterval) {
		n, err := f.countHolders()
		switch {
		case err != nil:
			return 0, err
		case n == want:
			return time.Since(began), nil
		case time.Since(began) > wait || ctx.Err() != nil:
			return 0, fmt.Errorf("hollow: %w: %d after %v, want %d", errHolderCount, n, wait, want)
		}
	}
}

// watchHolders polls the holders of the only lease during a span. It returns the highest number of holders at once, and
// the longest time without a holder.
func (f *Fleet) watchHolders(ctx context.Context, span time.Duration) (most int, without time.Duration, err error) {
	began := time.Now()
	last := began
	for time.Since(began) < span && ctx.Err() == nil {
		n, err := f.countHolders()
		if err != nil {
			return most, without, err
		}
		most = max(most, n)
		if n > 0 {
			last = time.Now()
		}
		without = max(without, time.Since(last))
		time.Sleep(holderPollInterval)
	}
	return most, without, ctx.Err()
}
