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

// leaseKeeper makes the keeper of the duties that [lease] names, or none where it names none. Its name in the
// fleet is its address for peers, which no other server has.
func leaseKeeper(ours *config.Config, seed int64, log *slog.Logger) (*leasing.Manager, error) {
	if ours.Lease == nil {
		return nil, nil
	}
	keys, err := keysOf(ours.Peers.KeyFile)
	if err != nil {
		return nil, err
	}
	keeper, err := leasing.New(leasing.Options{
		Name: ours.Peers.Listen, Duties: ours.Lease.Duties, Config: ours.Lease.Config, Peers: ours.Peers.Addresses,
		Keys: keys, Seed: seed, Log: log,
	})
	if err != nil {
		return nil, err
	}
	log.Info("duties held by lease", "duties", len(ours.Lease.Duties), "voters", ours.Lease.Config.Voters,
		"lease", ours.Lease.Config.Duration, "drift", ours.Lease.Config.MaxClockDrift)
	return keeper, nil
}

// leases are the commands about duties held by lease.
type leases struct {
	Show leaseShowing `cmd:"" help:"Print how a running server sees its duties: whether it holds each, token, time left."`
}

// leaseShowing is the command that prints a server's duties.
type leaseShowing struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON; times in nanoseconds."`
}

// Run asks once.
func (cmd *leaseShowing) Run() error {
	var holdings []leasing.Holding
	if err := adminsocket.Query(cmd.Socket, adminsocket.Request{Query: askLease}, &holdings); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, holdings)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "duty\tholds\ttoken\tleft\tits vote went to\tunder\t")
	for _, h := range holdings {
		holds := "no"
		if h.Holds {
			holds = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\t%d\t\n", h.Duty, holds, h.Token, h.Left.Round(time.Millisecond),
			h.Holder, h.Newest)
	}
	return table.Flush()
}
