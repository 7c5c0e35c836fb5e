package main

import (
	"fmt"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"quartzpoint/internal/config"
	"quartzpoint/internal/controlsocket"
	"quartzpoint/internal/leasing"
)

// newLeaseManager returns the manager of the leases that the configuration file names in [lease], or nil without that
// section. The manager identifies this server by its address for peers, which no other server has.
func newLeaseManager(file *config.Config, seed int64, log *slog.Logger) (*leasing.Manager, error) {
	if file.Lease == nil {
		return nil, nil
	}
	keys, err := readKeyFile(file.Peers.KeyFile)
	if err != nil {
		return nil, err
	}
	manager, err := leasing.New(leasing.Options{
		Address: file.Peers.Listen, Leases: file.Lease.Names, Config: file.Lease.Config, Peers: file.Peers.Addresses,
		Keys: keys, Seed: seed, Log: log,
	})
	if err != nil {
		return nil, err
	}
	log.Info("leases configured", "leases", len(file.Lease.Names), "voters", file.Lease.Config.Voters,
		"duration", file.Lease.Config.Duration, "max_clock_drift", file.Lease.Config.MaxClockDrift)
	return manager, nil
}

// leaseCommands are the commands about leases.
type leaseCommands struct {
	Show leaseShow `cmd:"" help:"Print a running server's leases: whether it holds each, its token, and the time remaining."`
}

// leaseShow prints the status of a server's leases.
type leaseShow struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print JSON; times in nanoseconds."`
}

// Run queries the server once.
func (cmd *leaseShow) Run() error {
	var statuses []leasing.Status
	if err := controlsocket.Query(cmd.Socket, controlsocket.Request{Query: queryLease}, &statuses); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, statuses)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lease\tholds\ttoken\tremaining\tlast vote for\tits token\t")
	for _, status := range statuses {
		holds := "no"
		if status.Holds {
			holds = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\t%d\t\n", status.Lease, holds, status.Token, status.Remaining.Round(time.Millisecond),
			status.LastGrantedTo, status.LastGrantToken)
	}
	return table.Flush()
}
