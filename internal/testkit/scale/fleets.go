package scale

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Series of the hollow fleets.
const (
	seriesMemberMessages           = "membership messages/s a server by servers"
	seriesMemberBytes              = "membership bytes/s a server by servers"
	seriesQuietBytes               = "exchange bytes/s a server, quiet, by servers"
	seriesQuietCore                = "control core % a server, quiet, by servers"
	seriesSingleRestartBytes       = "exchange bytes of one restart by servers"
	seriesSingleRestartCPU         = "control cpu ms of one restart by servers"
	seriesRestartRateBytes         = "exchange bytes/s a server by restarts a minute"
	seriesRestartRateCore          = "control core % a server by restarts a minute"
	seriesVoterConnections         = "lease talks/s a voter by voters"
	seriesVoterBytes               = "lease bytes/s a voter by voters"
	seriesVoterCore                = "lease core % a voter by voters"
	seriesLeasesHeld               = "duties held after 20 s by duties"
	seriesLeaseConnections         = "lease talks/s a voter by duties"
	seriesLeaseBytes               = "lease bytes/s a voter by duties"
	seriesLeaseCore                = "lease core % a voter by duties"
	seriesZoneSeconds              = "zone back: seconds until all have a view, by servers back at once"
	seriesZoneBytes                = "zone back: exchange bytes a server of the fleet, by servers back at once"
	seriesPartitionHolders         = "regions cut: most holders at once by seconds of the cut"
	seriesPartitionNoHolderSeconds = "regions cut: longest seconds without a holder by seconds of the cut"
	seriesHealSeconds              = "regions cut: seconds from the heal until a duty is held by seconds of the cut"
)

const (
	longLease          = 2 * time.Second
	shortLease         = 400 * time.Millisecond
	fewVoters          = 5
	holderPollInterval = 25 * time.Millisecond
	partitionedVoters  = 3 // of fewVoters, on one side of the partition
	healTimeout        = 20 * time.Second
)

// FleetBenchmark measures hollow fleets.
type FleetBenchmark struct {
	Program string // path of a program that has a command hollow
	Seed    int64
	Small   bool // fewer servers and shorter spans
}

// Run runs all measurements, one fleet at a time.
func (f *FleetBenchmark) Run(ctx context.Context) (Points, error) {
	points := Points{}
	for _, part := range []func(context.Context, Points) error{f.measureSizes, f.measureVoters, f.measureLeases, f.measurePartition} {
		if err := part(ctx, points); err != nil {
			return points, err
		}
	}
	return points, nil
}

func (f *FleetBenchmark) spec(voters, leases int) HollowSpec {
	return HollowSpec{Voters: voters, Duties: leases, Lease: f.leaseDuration(), Routes: PlannedRoutes, Seed: f.Seed}
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

// firstPoints returns all points, or only the first two in a small run.
func (f *FleetBenchmark) firstPoints(points ...int) []int {
	if f.Small {
		return points[:2]
	}
	return points
}

// rateDuring returns the rates of a fleet over a span, or until during returns if that takes longer. during may be nil.
func rateDuring(fleet *Fleet, span time.Duration, voters int, during func() error) (useRates, error) {
	before, err := fleet.use()
	if err != nil {
		return useRates{}, err
	}
	end := time.After(span)
	if during != nil {
		if err := during(); err != nil {
			return useRates{}, err
		}
	}
	<-end
	after, err := fleet.use()
	return ratesBetween(before, after, fleet.servers, voters), err
}

// measureSizes measures fleets of several sizes, when quiet and with one restart. It measures the largest also with
// several rates of restarts and with a zone that restarts at once.
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

// withFleet starts a fleet, runs a measurement on it once it is warm, and stops it.
func (f *FleetBenchmark) withFleet(ctx context.Context, servers int, spec HollowSpec, measure func(*Fleet) error) (err error) {
	fleet, err := StartFleet(f.Program, servers, spec)
	if err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	if _, err := fleet.WaitUntilWarm(ctx); err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	if err := measure(fleet); err != nil {
		return fmt.Errorf("%d servers: %w", servers, err)
	}
	return nil
}

// measureRestart measures what one restart costs the whole fleet, in addition to what the quiet fleet costs.
func (f *FleetBenchmark) measureRestart(ctx context.Context, fleet *Fleet, quiet useRates, points Points) error {
	const restarted = 4 // one in each process of servers that do not vote
	loaded, err := rateDuring(fleet, f.span(), fewVoters, func() error {
		if err := fleet.Restart(restarted); err != nil {
			return err
		}
		if _, err := fleet.WaitUntilWarm(ctx); err != nil {
			return err
		}
		return fleet.WaitUntilQuiet(ctx)
	})
	if err != nil {
		return err
	}
	servers := float64(fleet.servers)
	serverSecondsPerRestart := loaded.seconds * (servers - fewVoters) / restarted
	points.Add(seriesSingleRestartBytes, servers, max(0, loaded.serverBytes-quiet.serverBytes)*serverSecondsPerRestart)
	points.Add(seriesSingleRestartCPU, servers, max(0, loaded.serverCore-quiet.serverCore)*serverSecondsPerRestart*10) // 1 % of a core is 10 ms a second
	return nil
}

// measureRestartRates measures a fleet whose servers restart at several rates.
func (f *FleetBenchmark) measureRestartRates(ctx context.Context, fleet *Fleet, points Points) error {
	for _, perMinute := range f.firstPoints(0, 60, 120, 240) {
		if err := fleet.WaitUntilQuiet(ctx); err != nil {
			return err
		}
		used, err := rateDuring(fleet, f.span(), fewVoters, func() error {
			if perMinute == 0 {
				return nil
			}
			interval := time.Minute / time.Duration(perMinute)
			for began := time.Now(); time.Since(began)+interval <= f.span() && ctx.Err() == nil; time.Sleep(interval) {
				if err := fleet.Restart(1); err != nil {
					return err
				}
			}
			return ctx.Err()
		})
		if err != nil {
			return err
		}
		points.Add(seriesRestartRateBytes, float64(perMinute), used.serverBytes)
		points.Add(seriesRestartRateCore, float64(perMinute), used.serverCore)
	}
	return nil
}

// measureZoneRestart restarts as many servers at once as the largest zone has, but at most a fifth of the fleet. It
// measures the time from the end of the restarts until all are warm, and the bytes exchanged.
func (f *FleetBenchmark) measureZoneRestart(ctx context.Context, fleet *Fleet, points Points) error {
	if err := fleet.WaitUntilQuiet(ctx); err != nil {
		return err
	}
	restarted := min(ZoneServers, fleet.servers/5)
	before, err := fleet.use()
	if err != nil {
		return err
	}
	if err := fleet.Restart(restarted); err != nil {
		return err
	}
	took, err := fleet.WaitUntilWarm(ctx)
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
	points.Add(seriesZoneSeconds, float64(restarted), took.Seconds())
	points.Add(seriesZoneBytes, float64(restarted), used.serverBytes*used.seconds)
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
			points.Add(seriesVoterConnections, float64(voters), used.voterConnections)
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

// measureLeases measures a few voters with several numbers of leases.
func (f *FleetBenchmark) measureLeases(ctx context.Context, points Points) error {
	for _, leases := range f.firstPoints(1, 8, 16, 32, 64) {
		err := f.withFleet(ctx, fewVoters, f.spec(fewVoters, leases), func(fleet *Fleet) error {
			// If there are more leases than the voters can keep up with, some are never held; that is a result, not an
			// error.
			if _, err := fleet.waitForHolders(ctx, f.leaseTimeout(), leases); err != nil && !errors.Is(err, errHolderCount) {
				return err
			}
			holders, err := fleet.countHolders()
			if err != nil {
				return err
			}
			points.Add(seriesLeasesHeld, float64(leases), float64(holders))
			used, err := rateDuring(fleet, 2*f.span(), fewVoters, nil)
			points.Add(seriesLeaseConnections, float64(leases), used.voterConnections)
			points.Add(seriesLeaseBytes, float64(leases), used.voterBytes)
			points.Add(seriesLeaseCore, float64(leases), used.voterCore)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
