package main

import (
	"errors"
	"fmt"
	"time"
)

// measureLibrary compares the library with the daemon and with baseline policies, and measures its own overhead.
type measureLibrary struct {
	Daemon string        `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Seeds  int           `default:"10" help:"Number of runs of each comparison."`
	Span   time.Duration `default:"6s" help:"Duration of each overload."`
}

// Run prints the tables and a summary line. The error joins the missed objectives.
func (m *measureLibrary) Run() error {
	overhead, err := measureOverhead()
	if err != nil {
		return err
	}
	frontEnds, err := m.compareFrontEnds()
	if err != nil {
		return err
	}
	policies, err := m.comparePolicies()
	if err != nil {
		return err
	}
	fmt.Printf("measure library: counts differ by %.2f%% at the most (aim %d), ahead of the best baseline %.2f (aim %d), p50 %.1f us (aim %d), %d allocations (aim %d), seeds %d\n",
		100*frontEnds.maxDifference, maxDifferencePercent, policies.minGoodputRatio, minGoodputRatio,
		overhead.medianMicros, maxMedianMicros, overhead.allocations, maxAllocations, m.Seeds)
	return errors.Join(overhead.missed, frontEnds.missed, policies.missed)
}
