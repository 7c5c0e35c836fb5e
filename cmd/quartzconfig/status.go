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

	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

const (
	delayPrecision = 100 * time.Microsecond
	unknown        = "unknown"
)

// statusCommand prints the status of the service and of the fleet.
type statusCommand struct {
	serviceFile
	JSON bool          `name:"json" help:"Print JSON; times in nanoseconds."`
	Wait time.Duration `default:"5s" help:"Maximum time to wait for answers."`
}

// fleetStatus is the combined status of the control machines that answered, and of their watchers.
type fleetStatus struct {
	Leader      string                      `json:"leader"`
	Version     uint64                      `json:"version"`
	Watchers    int                         `json:"watchers"`
	P50         time.Duration               `json:"lag_p50_ns"` // of the propagation delays, from the acceptance of a version until it is in force at a watcher
	P99         time.Duration               `json:"lag_p99_ns"`
	Worst       time.Duration               `json:"lag_worst_ns"`
	Reports     int                         `json:"reports"` // number of propagation delays
	Replicas    []configwatch.ReplicaStatus `json:"machines"`
	Unreachable []string                    `json:"silent"` // name and error of each machine that did not answer
}

// Run queries all control machines and prints their combined status.
func (cmd *statusCommand) Run() error {
	service, keys, err := cmd.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Wait)
	defer cancel()
	status, err := fetchFleetStatus(ctx, service, keys)
	if err != nil {
		return err
	}
	if cmd.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(status)
	}
	return status.print()
}

func fetchFleetStatus(ctx context.Context, service *config.ControlService, keys peersync.Keys) (*fleetStatus, error) {
	status := &fleetStatus{}
	var delays []time.Duration
	for _, m := range service.Machines {
		replica, err := configwatch.FetchStatus(ctx, m.Sessions, keys)
		if err != nil {
			status.Unreachable = append(status.Unreachable, fmt.Sprintf("%s: %v", m.Name, err))
			continue
		}
		status.Leader = cmp.Or(status.Leader, replica.Leader)
		status.Version = max(status.Version, replica.Version)
		status.Watchers += replica.Watchers
		delays = append(delays, replica.PropagationDelays...)
		replica.PropagationDelays = nil // summarized by setDelays
		status.Replicas = append(status.Replicas, replica)
	}
	if len(status.Replicas) == 0 {
		return nil, fmt.Errorf("%w: %v", configwatch.ErrUnavailable, status.Unreachable)
	}
	status.setDelays(delays)
	return status, nil
}

func (s *fleetStatus) setDelays(delays []time.Duration) {
	s.Reports = len(delays)
	if s.Reports == 0 {
		return
	}
	seconds := make([]float64, len(delays))
	for i, delay := range slices.Sorted(slices.Values(delays)) {
		seconds[i] = delay.Seconds()
	}
	quantile := func(p float64) time.Duration {
		return time.Duration(stat.Quantile(p, stat.Empirical, seconds, nil) * float64(time.Second))
	}
	s.P50, s.P99, s.Worst = quantile(0.5), quantile(0.99), quantile(1)
}

func (s *fleetStatus) print() error {
	fmt.Printf("leader %s, version %d, %d watchers\n", cmp.Or(s.Leader, unknown), s.Version, s.Watchers)
	if s.Reports > 0 {
		fmt.Printf("in force after p50 %v, p99 %v, worst %v, of %d reports\n",
			s.P50.Round(delayPrecision), s.P99.Round(delayPrecision), s.Worst.Round(delayPrecision), s.Reports)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "machine\tversion\twatchers\tleader as it knows\t")
	for _, replica := range s.Replicas {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t\n", replica.Name, replica.Version, replica.Watchers, cmp.Or(replica.Leader, unknown))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, machine := range s.Unreachable {
		fmt.Println("no answer:", machine)
	}
	for _, replica := range s.Replicas {
		for _, w := range replica.Lagging {
			fmt.Printf("behind: %s (zone %s) at version %d, for %v %s\n", w.Name, cmp.Or(w.Zone, unknown), w.Version,
				w.Lag.Round(time.Millisecond), w.Reason)
		}
	}
	return nil
}
