package scale

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Series of the hollow fleets.
const (
	seriesMemberMessages = "membership messages/s a server by servers"
	seriesMemberBytes    = "membership bytes/s a server by servers"
	seriesQuietBytes     = "exchange bytes/s a server, quiet, by servers"
	seriesQuietCore      = "control core % a server, quiet, by servers"
	seriesNewcomerBytes  = "exchange bytes of one restart by servers"
	seriesNewcomerCore   = "control cpu ms of one restart by servers"
	seriesRestartBytes   = "exchange bytes/s a server by restarts a minute"
	seriesRestartCore    = "control core % a server by restarts a minute"
	seriesVoterTalks     = "lease talks/s a voter by voters"
	seriesVoterBytes     = "lease bytes/s a voter by voters"
	seriesVoterCore      = "lease core % a voter by voters"
	seriesDutiesHeld     = "duties held after 20 s by duties"
	seriesDutyTalks      = "lease talks/s a voter by duties"
	seriesDutyBytes      = "lease bytes/s a voter by duties"
	seriesDutyCore       = "lease core % a voter by duties"
	seriesZoneSeconds    = "zone back: seconds until all have a view, by servers back at once"
	seriesZoneBytes      = "zone back: exchange bytes a server of the fleet, by servers back at once"
	seriesCutHolders     = "regions cut: most holders at once by seconds of the cut"
	seriesCutSeconds     = "regions cut: longest seconds without a holder by seconds of the cut"
	seriesHealSeconds    = "regions cut: seconds from the heal until a duty is held by seconds of the cut"
)

const (
	longLease          = 2 * time.Second
	shortLease         = 400 * time.Millisecond
	fewVoters          = 5
	holderPollInterval = 25 * time.Millisecond
	partitionedVoters  = 3 // of fewVoters, on one side of a cut
	healTimeout        = 20 * time.Second
)

// FleetBenchmark measures hollow fleets.
type FleetBenchmark struct {
	Program string // that has a command hollow
	Seed    int64
	Small   bool // fewer servers and shorter spans
}

// Run measures everything, one fleet at a time.
func (f *FleetBenchmark) Run(ctx context.Context) (Points, error) {
	points := Points{}
	for _, part := range []func(context.Context, Points) error{f.measureSizes, f.measureVoters, f.measureLeases, f.measurePartition} {
		if err := part(ctx, points); err != nil {
			return points, err
		}
	}
	return points, nil
}

func (f *FleetBenchmark) spec(voters, duties int) HollowSpec {
	return HollowSpec{Voters: voters, Duties: duties, Lease: f.leaseDuration(), Routes: PlannedRoutes, Seed: f.Seed}
}

// leaseDuration returns the duration of a lease.
func (f *FleetBenchmark) leaseDuration() time.Duration {
	if f.Small {
		return shortLease
	}
	return longLease
}

func (f *FleetBenchmark) span() time.Duration {
	if f.Small {
		return time.Second
	}
	return 3 * time.Second
}

// leaseTimeout returns the time limit for leases to be held.
func (f *FleetBenchmark) leaseTimeout() time.Duration {
	if f.Small {
		return healTimeout / 4
	}
	return healTimeout
}

// sizes returns the numbers of servers of the measured fleets.
func (f *FleetBenchmark) sizes() []int {
	if f.Small {
		return []int{10, 25, 50}
	}
	return []int{10, 125, 250, 375, PlannedServers}
}

// firstPoints returns points, only the first two in a small run.
func (f *FleetBenchmark) firstPoints(points ...int) []int {
	if f.Small {
		return points[:2]
	}
	return points
}

// rateDuring returns the rates of a fleet over a span, or while do runs where that takes longer.
func rateDuring(fleet *Fleet, span time.Duration, voters int, do func() error) (useRates, error) {
	before, err := fleet.use()
	if err != nil {
		return useRates{}, err
	}
	end := time.After(span)
	if do != nil {
		if err := do(); err != nil {
			return useRates{}, err
		}
	}
	<-end
	after, err := fleet.use()
	return ratesBetween(before, after, fleet.servers, voters), err
}

// measureSizes measures fleets of several sizes: quiet, with restarts, and, the largest, with a zone that comes back at once.
func (f *FleetBenchmark) measureSizes(ctx context.Context, points Points) error {
	sizes := f.sizes()
	for _, servers := range sizes {
		err := f.withFleet(ctx, servers, f.spec(fewVoters, 1), func(fleet *Fleet) error {
			if _, err := fleet.waitForHolders(ctx, healTimeout, 1); err != nil {
				return err
			}
			if err := fleet.WaitUntilQuiet(ctx); err != nil {
				return err
			}
			x := float64(servers)
			quiet, err := rateDuring(fleet, f.span(), fewVoters, nil)
			if err != nil {
				return err
			}
			points.Add(seriesMemberMessages, x, quiet.memberMessages)
			points.Add(seriesMemberBytes, x, quiet.memberBytes)
			points.Add(seriesQuietBytes, x, quiet.serverBytes)
			points.Add(seriesQuietCore, x, quiet.serverCore)
			if err := f.measureRestart(ctx, fleet, quiet, points); err != nil {
				return err
			}
			if servers < sizes[len(sizes)-1] {
				return nil
			}
			if err := f.measureRestartRates(ctx, fleet, points); err != nil {
				return err
			}
			return f.measureZoneRestart(ctx, fleet, points)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// withFleet runs a measurement on a warm fleet.
func (f *FleetBenchmark) withFleet(ctx context.Context, servers int, spec HollowSpec, measure func(*Fleet) error) (err error) {
	fleet, err := StartFleet(f.Program, servers, spec)
	if err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	if _, err := fleet.WaitForViews(ctx); err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	if err := measure(fleet); err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	return nil
}

// measureRestart measures what one restart costs the whole fleet, over what it costs when quiet.
func (f *FleetBenchmark) measureRestart(ctx context.Context, fleet *Fleet, quiet useRates, points Points) error {
	const restarted = 4 // one in each process
	loaded, err := rateDuring(fleet, f.span(), fewVoters, func() error {
		if err := fleet.Restart(restarted); err != nil {
			return err
		}
		if _, err := fleet.WaitForViews(ctx); err != nil {
			return err
		}
		return fleet.WaitUntilQuiet(ctx)
	})
	if err != nil {
		return err
	}
	servers := float64(fleet.servers)
	over := loaded.seconds * (servers - fewVoters) / restarted
	points.Add(seriesNewcomerBytes, servers, max(0, loaded.serverBytes-quiet.serverBytes)*over)
	points.Add(seriesNewcomerCore, servers, max(0, loaded.serverCore-quiet.serverCore)*over*10) // percent to ms a second
	return nil
}

// measureRestartRates measures a fleet in which servers restart at several rates.
func (f *FleetBenchmark) measureRestartRates(ctx context.Context, fleet *Fleet, points Points) error {
	for _, perMinute := range f.firstPoints(0, 60, 120, 240) {
		if err := fleet.WaitUntilQuiet(ctx); err != nil {
			return err
		}
		used, err := rateDuring(fleet, f.span(), fewVoters, func() error {
			if perMinute == 0 {
				return nil
			}
			gap := time.Minute / time.Duration(perMinute)
			for began := time.Now(); time.Since(began)+gap <= f.span() && ctx.Err() == nil; time.Sleep(gap) {
				if err := fleet.Restart(1); err != nil {
					return err
				}
			}
			return ctx.Err()
		})
		if err != nil {
			return err
		}
		points.Add(seriesRestartBytes, float64(perMinute), used.serverBytes)
		points.Add(seriesRestartCore, float64(perMinute), used.serverCore)
	}
	return nil
}

// measureZoneRestart restarts all servers of a zone at once.
func (f *FleetBenchmark) measureZoneRestart(ctx context.Context, fleet *Fleet, points Points) error {
	if err := fleet.WaitUntilQuiet(ctx); err != nil {
		return err
	}
	back := min(ZoneServers, fleet.servers/5)
	before, err := fleet.use()
	if err != nil {
		return err
	}
	if err := fleet.Restart(back); err != nil {
		return err
	}
	took, err := fleet.WaitForViews(ctx)
	if err != nil {
		return err
	}
	if err := fleet.WaitUntilQuiet(ctx); err != nil {
		return err
	}
	after, err := fleet.use()
	if err != nil {
		return err
	}
	used := ratesBetween(before, after, fleet.servers, fewVoters)
	points.Add(seriesZoneSeconds, float64(back), took.Seconds())
	points.Add(seriesZoneBytes, float64(back), used.serverBytes*used.seconds)
	return nil
}

// measureVoters measures fleets in which every server votes and campaigns for one lease.
func (f *FleetBenchmark) measureVoters(ctx context.Context, points Points) error {
	for _, voters := range f.firstPoints(3, 5, 10, 20, 40) {
		err := f.withFleet(ctx, voters, f.spec(voters, 1), func(fleet *Fleet) error {
			if _, err := fleet.waitForHolders(ctx, healTimeout, 1); err != nil {
				return err
			}
			used, err := rateDuring(fleet, 2*f.span(), voters, nil)
			points.Add(seriesVoterTalks, float64(voters), used.voterTalks)
			points.Add(seriesVoterBytes, float64(voters), used.voterBytes)
			points.Add(seriesVoterCore, float64(voters), used.voterCore)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLeases measures a few voters with several leases.
func (f *FleetBenchmark) measureLeases(ctx context.Context, points Points) error {
	for _, duties := range f.firstPoints(1, 8, 16, 32, 64) {
		err := f.withFleet(ctx, fewVoters, f.spec(fewVoters, duties), func(fleet *Fleet) error {
			// Where they are more than the voters can carry, some are never held; that is a figure, not a failure.
			if _, err := fleet.waitForHolders(ctx, f.leaseTimeout(), duties); err != nil && !errors.Is(err, errHolderCount) {
				return err
			}
			held, err := fleet.countHolders()
			if err != nil {
				return err
			}
			points.Add(seriesDutiesHeld, float64(duties), float64(held))
			used, err := rateDuring(fleet, 2*f.span(), fewVoters, nil)
			points.Add(seriesDutyTalks, float64(duties), used.voterTalks)
			points.Add(seriesDutyBytes, float64(duties), used.voterBytes)
			points.Add(seriesDutyCore, float64(duties), used.voterCore)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
