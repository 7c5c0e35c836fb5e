package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// measureConnections measures memory and idle processor time by number of connections without requests.
func (s *DaemonBenchmark) measureConnections(context.Context) (points Points, err error) {
	d, err := s.launch("connections", fewRoutes, 0)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	points = Points{}
	checkers := &healthCheckers{address: d.Address}
	defer checkers.close()
	for _, fraction := range sizeFractions {
		count := int(fraction * PlannedRouters)
		if err := checkers.grow(count); err != nil {
			return points, err
		}
		time.Sleep(settleDelay)
		idle, err := coreShare(d.RunningPID(), s.span())
		if err != nil {
			return points, err
		}
		resident, err := ResidentMB(d.RunningPID())
		if err != nil {
			return points, err
		}
		points.Add(seriesConnectionsIdle, float64(count), idle)
		points.Add(seriesConnectionsMB, float64(count), resident)
	}
	return points, nil
}

// routeCounts returns the numbers of routes for which loads are measured.
func (s *DaemonBenchmark) routeCounts() []int {
	if s.Small {
		return []int{PlannedRoutes}
	}
	return []int{fewRoutes, PlannedRoutes}
}

// measureChecks measures processor time by health checks a second, round robin over checkConnections connections.
func (s *DaemonBenchmark) measureChecks(context.Context) (Points, error) {
	points := Points{}
	for _, routes := range s.routeCounts() {
		err := s.withDaemon(routes, func(d *harness.Daemon) error {
			checkers := &healthCheckers{address: d.Address}
			defer checkers.close()
			if err := checkers.grow(checkConnections); err != nil {
				return err
			}
			for _, rate := range []float64{0, 250, 500, 1000, 2000} {
				stop := checkers.startChecks(rate)
				share, err := coreShare(d.RunningPID(), s.span())
				stop()
				if err != nil {
					return err
				}
				points.Add(fmt.Sprintf(seriesChecks, routes), rate, share)
			}
			return nil
		})
		if err != nil {
			return points, err
		}
	}
	return points, nil
}

// withDaemon runs a measurement on a daemon with this number of routes. It has the planned tenants if there are more
// than fewRoutes routes, else none.
func (s *DaemonBenchmark) withDaemon(routes int, measure func(d *harness.Daemon) error) (err error) {
	tenants := 0
	if routes > fewRoutes {
		tenants = PlannedTenants
	}
	d, err := s.launch(fmt.Sprintf("loaded%d", routes), routes, tenants)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	time.Sleep(settleDelay)
	return measure(d)
}

// measureRequests measures processor time by requests a second, and the latency that the daemon adds to a request: the
// same load goes through the daemon and directly to workers of the same kind, at the same time. Each rate is measured
// three times.
func (s *DaemonBenchmark) measureRequests(context.Context) (Points, error) {
	points := Points{}
	rates := []float64{0, 60, 120, 180, PlannedRequestRate / PlannedServers, maxRequestRate}
	if s.Small {
		rates = []float64{PlannedRequestRate / PlannedServers}
	}
	for _, routes := range s.routeCounts() {
		series := fmt.Sprintf(seriesRequests, routes)
		err := s.withDaemon(routes, func(d *harness.Daemon) error {
			for repeat := range requestRepeats {
				for i, rate := range rates {
					if err := s.measureRequestRate(d, rate, routes, int64(len(rates)*repeat+i), series, points); err != nil {
						return err
					}
				}
			}
			return nil
		})
		if err != nil {
			return points, err
		}
	}
	return points, nil
}

// measureRequestRate measures one rate.
func (s *DaemonBenchmark) measureRequestRate(d *harness.Daemon, rate float64, routeCount int, seedOffset int64, series string, points Points) error {
	load, routes := steadyLoad(rate, s.span(), routeCount, s.Seed+seedOffset)
	var (
		served                    harness.Result
		direct                    []time.Duration
		share                     float64
		errRun, errDirect, errCPU error
		group                     sync.WaitGroup
	)
	group.Go(func() { served, errRun = harness.Run(d.Address, routes, load, 1) })
	group.Go(func() { share, errCPU = coreShare(d.RunningPID(), s.span()) })
	if rate > 0 { // at the same time, so that other load on the machine affects both
		group.Go(func() { direct, errDirect = runDirect(load) })
	}
	group.Wait()
	if err := errors.Join(errRun, errDirect, errCPU); err != nil {
		return err
	}
	points.Add(series, rate, share)
	if routeCount == fewRoutes || rate == 0 {
		return nil
	}
	if served.Unanswered > 0 || served.Codes[statusServed] < served.Requests {
		return fmt.Errorf("%.0f requests a second: %d of %d served", rate, served.Codes[statusServed], served.Requests)
	}
	directMS, servedMS := asMilliseconds(direct), asMilliseconds(served.Latencies)
	points.Add(seriesDirectP99, rate, quantile(directMS, 0.99))
	points.Add(seriesAddedP50, rate, quantile(servedMS, 0.5)-quantile(directMS, 0.5))
	points.Add(seriesAddedP99, rate, quantile(servedMS, 0.99)-quantile(directMS, 0.99))
	return nil
}
