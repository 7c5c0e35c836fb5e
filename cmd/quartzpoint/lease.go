package main

import (
	"fmt"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"quartzpoint/internal/adminsocket"
	"quartzpoint/internal/config"
	"quartzpoint/internal/leasing"
)

// newLeaseManager makes the keeper of the duties that [lease] names, or none where it names none. Its name in the
// fleet is its address for peers, which no other server has.
func newLeaseManager(ours *config.Config, seed int64, log *slog.Logger) (*leasing.Manager, error) {
	if ours.Lease == nil {
		return nil, nil
	}
	keys, err := readKeyFile(ours.Peers.KeyFile)
	if err != nil {
		return nil, err
	}
	manager, err := leasing.New(leasing.Options{
		Address: ours.Peers.Listen, Leases: ours.Lease.Duties, Config: ours.Lease.Config, Peers: ours.Peers.Ask,
		Keys: keys, Seed: seed, Log: log,
	})
	if err != nil {
		return nil, err
	}
	log.Info("duties held by lease", "duties", len(ours.Lease.Duties), "voters", ours.Lease.Config.Voters,
		"lease", ours.Lease.Config.Duration, "drift", ours.Lease.Config.MaxClockDrift)
	return manager, nil
}

// leaseCommands are the commands about duties held by lease.
type leaseCommands struct {
	Show leaseShow `cmd:"" help:"Print how a running server sees its duties: whether it holds each, token, time left."`
}

// leaseShow is the command that prints a server's duties.
type leaseShow struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON; times in nanoseconds."`
}

// Run asks once.
func (cmd *leaseShow) Run() error {
	var statuses []leasing.Status
	if err := adminsocket.Ask(cmd.Socket, adminsocket.Question{Ask: askLease}, &statuses); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, statuses)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "duty\tholds\ttoken\tleft\tits vote went to\tunder\t")
	for _, status := range statuses {
		holds := "no"
		if status.Holds {
			holds = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\t%d\t\n", status.Lease, holds, status.Token, status.Remaining.Round(time.Millisecond),
			status.Holder, status.HighestToken)
	}
	return table.Flush()
}
