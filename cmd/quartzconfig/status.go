package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"quartzpoint/internal/configwatch"
)

// statusCommand is the command that tells how the service and the fleet stand.
type statusCommand struct {
	serviceFile
	JSON bool          `name:"json" help:"Print it as JSON; times in nanoseconds."`
	Wait time.Duration `default:"5s" help:"How long to try."`
}

// fleetStatus is what all machines that answered say together.
type fleetStatus struct {
	Leader      string                      `json:"leader"`
	Version     uint64                      `json:"version"`
	Watchers    int                         `json:"watchers"`
	P50         time.Duration               `json:"lag_p50_ns"` // from the acceptance of a change to its being in force
	P99         time.Duration               `json:"lag_p99_ns"`
	Worst       time.Duration               `json:"lag_worst_ns"`
	Reports     int                         `json:"reports"` // that the lags are of
	Replicas    []configwatch.ReplicaStatus `json:"machines"`
	Unreachable []string                    `json:"silent"` // machines that did not answer
}

// Run prints it.
func (cmd *statusCommand) Run() error {
	stated, keys, err := cmd.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Wait)
	defer cancel()
	all := fleetStatus{}
	var lags []time.Duration
	for _, m := range stated.Machines {
		status, err := configwatch.FetchStatus(ctx, m.Sessions, keys)
		if err != nil {
			all.Unreachable = append(all.Unreachable, fmt.Sprintf("%s: %v", m.Name, err))
			continue
		}
		all.Leader = cmp.Or(all.Leader, status.Leader)
		all.Version = max(all.Version, status.Version)
		all.Watchers += status.Watchers
		lags = append(lags, status.PropagationDelays...)
		status.PropagationDelays = nil
		all.Replicas = append(all.Replicas, status)
	}
	if len(all.Replicas) == 0 {
		return fmt.Errorf("%w: %v", configwatch.ErrUnavailable, all.Unreachable)
	}
	all.setDelays(lags)
	if cmd.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(all)
	}
	return all.print()
}

func (s *fleetStatus) setDelays(lags []time.Duration) {
	if s.Reports = len(lags); s.Reports == 0 {
		return
	}
	seconds := make([]float64, len(lags))
	for i, lag := range slices.Sorted(slices.Values(lags)) {
		seconds[i] = lag.Seconds()
	}
	at := func(p float64) time.Duration {
		return time.Duration(stat.Quantile(p, stat.Empirical, seconds, nil) * float64(time.Second))
	}
	s.P50, s.P99, s.Worst = at(0.5), at(0.99), at(1)
}

func (s *fleetStatus) print() error {
	fmt.Printf("leader %s, version %d, %d watchers\n", cmp.Or(s.Leader, "unknown"), s.Version, s.Watchers)
	if s.Reports > 0 {
		round := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
		fmt.Printf("in force after p50 %v, p99 %v, worst %v, of %d reports\n", round(s.P50), round(s.P99), round(s.Worst), s.Reports)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "machine\tversion\twatchers\tleader as it knows\t")
	for _, m := range s.Replicas {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t\n", m.Name, m.Version, m.Watchers, cmp.Or(m.Leader, "unknown"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, name := range s.Unreachable {
		fmt.Println("no answer:", name)
	}
	for _, m := range s.Replicas {
		for _, b := range m.Lagging {
			fmt.Printf("behind: %s (zone %s) at version %d, for %v %s\n", b.Name, cmp.Or(b.Zone, "unknown"), b.Version,
				b.BehindFor.Round(time.Millisecond), b.Reason)
		}
	}
	return nil
}
