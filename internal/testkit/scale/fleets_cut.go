package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quartzpoint/internal/testkit/faultnet"
)

// cut parts the voters into two regions that cannot reach each other for a while.
func (f *Fleets) cut(ctx context.Context, points Points) (err error) {
	span := 30 * time.Second
	if f.Small {
		span = 4 * time.Second
	}
	spec := f.spec(someVoters, 1)
	sink, err := newMemberSink()
	if err != nil {
		return err
	}
	defer func() { _ = sink.socket.Close() }()
	spec.Servers, spec.Members, spec.Asked = addresses(someVoters), sink.socket.LocalAddr().String(), 1
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
	region := func(first, count int) HollowSpec {
		part := spec
		part.First, part.Count, part.Via = first, count, map[string]string{}
		for i, address := range spec.Servers {
			if i < first || i >= first+count {
				part.Via[address] = via[address]
			}
		}
		return part
	}
	fleet := &Fleet{members: sink, servers: someVoters}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	for _, part := range []HollowSpec{region(0, cutVoters), region(cutVoters, someVoters-cutVoters)} {
		one, err := startChild(f.Program, part)
		if err != nil {
			return err
		}
		fleet.children = append(fleet.children, one)
		if _, err := one.answer(); err != nil {
			return err
		}
	}
	if _, err := fleet.held(ctx, healWait, 1); err != nil {
		return err
	}
	for _, link := range links {
		link.Cut()
	}
	holders, without, err := fleet.watch(ctx, span)
	if err != nil {
		return err
	}
	for _, link := range links {
		link.Heal()
	}
	healed, err := fleet.held(ctx, healWait, 1)
	if err != nil {
		return err
	}
	points.Add(seriesCutHolders, span.Seconds(), float64(holders))
	points.Add(seriesCutSeconds, span.Seconds(), without.Seconds())
	points.Add(seriesHealSeconds, span.Seconds(), healed.Seconds())
	return nil
}

// errNotHeld tells that not as many duties are held as were waited for.
var errNotHeld = errors.New("duties held")

// holders is how many servers of a fleet may act on a duty now, summed over the duties.
func (f *Fleet) holders() (n int, err error) {
	for _, one := range f.children {
		if one == nil {
			continue
		}
		state, err := one.ask(hollowCommand{})
		if err != nil {
			return n, err
		}
		for _, holders := range state.Holders {
			n += len(holders)
		}
	}
	return n, nil
}

// held waits until so many duties are held, and gives how long that took.
func (f *Fleet) held(ctx context.Context, wait time.Duration, want int) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(holderPoll) {
		n, err := f.holders()
		switch {
		case err != nil:
			return 0, err
		case n == want:
			return time.Since(began), nil
		case time.Since(began) > wait || ctx.Err() != nil:
			return 0, fmt.Errorf("hollow: %w: %d after %v, and not %d", errNotHeld, n, wait, want)
		}
	}
}

// watch looks at the holders of a fleet with one duty over a span: the most at once, and the longest time with none.
func (f *Fleet) watch(ctx context.Context, span time.Duration) (most int, without time.Duration, err error) {
	began := time.Now()
	last := began
	for time.Since(began) < span && ctx.Err() == nil {
		n, err := f.holders()
		if err != nil {
			return most, without, err
		}
		most = max(most, n)
		if n > 0 {
			last = time.Now()
		}
		without = max(without, time.Since(last))
		time.Sleep(holderPoll)
	}
	return most, without, ctx.Err()
}
