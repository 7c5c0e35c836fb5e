package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// connections measures memory and idle time by connections that carry nothing.
func (s *DaemonBenchmark) connections(context.Context) (points Points, err error) {
	d, err := s.launch("connections", fewRoutes, 0)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	points = Points{}
	callers := &healthCheckers{address: d.Address}
	defer callers.close()
	for _, step := range steps {
		count := int(step * PlannedCallers)
		if err := callers.grow(count); err != nil {
			return points, err
		}
		time.Sleep(settleDelay)
		idle, err := coreShare(d.PID(), s.span())
		if err != nil {
			return points, err
		}
		resident, err := ResidentMB(d.PID())
		if err != nil {
			return points, err
		}
		points.Add(seriesConnectionsIdle, float64(count), idle)
		points.Add(seriesConnectionsMB, float64(count), resident)
	}
	return points, nil
}

// bothSizes are the numbers of routes that loads are measured at.
func (s *DaemonBenchmark) bothSizes() []int {
	if s.Small {
		return []int{PlannedRoutes}
	}
	return []int{fewRoutes, PlannedRoutes}
}

// checks measures processor time by health checks a second, each on another connection.
func (s *DaemonBenchmark) checks(context.Context) (Points, error) {
	points := Points{}
	for _, routes := range s.bothSizes() {
		err := s.withDaemon(routes, func(d *harness.Daemon) error {
			callers := &healthCheckers{address: d.Address}
			defer callers.close()
			if err := callers.grow(checkerConns); err != nil {
				return err
			}
			for _, rate := range []float64{0, 250, 500, 1000, 2000} {
				stop := callers.startChecks(rate)
				share, err := coreShare(d.PID(), s.span())
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

// withDaemon runs a measurement on a daemon with so many routes, and the same share of the planned tenants.
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

// requests measures processor time by requests a second, and what the daemon adds to a request: the same load goes
// through it and straight to workers of the same kind, at the same time, three times over.
func (s *DaemonBenchmark) requests(context.Context) (Points, error) {
	points := Points{}
	rates := []float64{0, 60, 120, 180, PlannedRequests / PlannedServers, measuredRequests}
	if s.Small {
		rates = []float64{PlannedRequests / PlannedServers}
	}
	for _, routes := range s.bothSizes() {
		series := fmt.Sprintf(seriesRequests, routes)
		err := s.withDaemon(routes, func(d *harness.Daemon) error {
			for again := range requestRepeats {
				for i, rate := range rates {
					if err := s.request(d, rate, routes, int64(len(rates)*again+i), series, points); err != nil {
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

// request measures one rate.
func (s *DaemonBenchmark) request(d *harness.Daemon, rate float64, routes int, place int64, series string, points Points) error {
	load, types := steadyLoad(rate, s.span(), routes, s.Seed+place)
	var (
		through                   harness.Result
		direct                    []time.Duration
		share                     float64
		errRun, errDirect, errCPU error
		group                     sync.WaitGroup
	)
	group.Go(func() { through, errRun = harness.Run(d.Address, types, load, 1) })
	group.Go(func() { share, errCPU = coreShare(d.PID(), s.span()) })
	if rate > 0 { // beside it, so that what else the machine does hits both
		group.Go(func() { direct, errDirect = runDirect(load) })
	}
	group.Wait()
	if err := errors.Join(errRun, errDirect, errCPU); err != nil {
		return err
	}
	points.Add(series, rate, share)
	if routes == fewRoutes || rate == 0 {
		return nil
	}
	if through.Unanswered > 0 || through.Codes[statusServed] < through.Requests {
		return fmt.Errorf("%.0f requests a second: %d of %d honoured", rate, through.Codes[statusServed], through.Requests)
	}
	straight, crossed := asMilliseconds(direct), asMilliseconds(through.Latencies)
	points.Add(seriesDirectP99, rate, quantile(straight, 0.99))
	points.Add(seriesAddedP50, rate, quantile(crossed, 0.5)-quantile(straight, 0.5))
	points.Add(seriesAddedP99, rate, quantile(crossed, 0.99)-quantile(straight, 0.99))
	return nil
}
