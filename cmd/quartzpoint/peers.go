package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/config"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/server"
)

// exchanging is a server's part in the exchange of knowledge; the zero value is none.
type exchanging struct {
	stated *config.Peers
	server *peersync.Server
}

// keysOf reads a key file, where one is stated.
func keysOf(file string) (peersync.Keys, error) {
	if file == "" {
		return nil, nil
	}
	return peersync.ReadKeys(file)
}

// begin takes the part that is stated: it gives where listen is, and asks where peers are. Both end with the
// context. What the server learns goes to peers and to kept, which may be nil.
func begin(
	ctx context.Context, stated *config.Peers, owner *server.Server, k *keeping, seed int64, counts *invariant.Counters, log *slog.Logger,
) (*exchanging, error) {
	e := &exchanging{stated: stated}
	if stated == nil {
		return e, nil
	}
	keys, err := keysOf(stated.KeyFile)
	if err != nil {
		return nil, err
	}
	if stated.KeyFile == "" {
		log.Warn("peers without a key", "key_file", "", "so", "loopback addresses only")
	}
	if stated.Listen != "" {
		if e.server, err = peersync.Listen(stated.Listen, keys, owner.Now, counts); err != nil {
			return nil, err
		}
		e.server.Serve()
		context.AfterFunc(ctx, e.server.Close)
		log.Info("views given to peers", "listen", stated.Listen, "keys", len(keys))
	}
	var warm atomic.Bool
	k.share = append(k.share, func(snapshot estimate.Snapshot, at time.Duration) {
		warm.Store(!snapshot.Cold())
		if e.server != nil {
			e.server.Publish(snapshot, at)
		}
	})
	if len(stated.Ask) > 0 {
		asker := &peersync.Client{
			Peers: stated.Ask, Keys: keys, Total: stated.Total, Schema: k.frame, Stored: k.view, Seed: seed,
			Cold: func() bool { return !warm.Load() }, Take: owner.UsePeerEstimates, Counts: counts, Log: log,
		}
		go asker.Run(ctx)
	}
	return e, nil
}

// again reads the keys anew; all else of the section changes only with a restart.
func (e *exchanging) again(log *slog.Logger) {
	if e.server == nil || e.stated.KeyFile == "" {
		return
	}
	keys, err := peersync.ReadKeys(e.stated.KeyFile)
	if err != nil {
		log.Warn("new keys refused, the old ones stay", "error", err)
		return
	}
	e.server.SetKeys(keys)
	log.Info("new keys", "keys", len(keys))
}

// peers are the commands about running servers.
type peers struct {
	Show showing `cmd:"" help:"Print what a running server has learned, with ages and weights."`
}

// showing is the command that prints a peer's view.
type showing struct {
	Address string `arg:"" help:"Its address for peers, as in its [peers] listen."`
	KeyFile string `placeholder:"FILE" help:"The key file that it uses."`
	JSON    bool   `name:"json" help:"Print it as JSON; times in seconds, ages in nanoseconds."`
}

// Run asks the peer once.
func (cmd *showing) Run() error {
	keys, err := keysOf(cmd.KeyFile)
	if err != nil {
		return err
	}
	snapshot, err := peersync.Fetch(context.Background(), cmd.Address, keys)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, snapshot)
	}
	return show(os.Stdout, snapshot)
}

func printJSON(to io.Writer, what any) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(what)
}

// show prints a view as a table. A weight is the number of own samples that a newcomer would take it for.
func show(to io.Writer, snapshot estimate.Snapshot) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "what\tmean\tspread\tsamples\tage\tweight\t\n")
	row := func(what string, e estimate.Estimate, k estimate.Kind) {
		if !e.Known() {
			fmt.Fprintf(table, "%s\t-\t-\t0\t-\t0\t\n", what)
			return
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.3g\t%.0f\t%s\t%.1f\t\n",
			what, e.Mean, e.Spread, e.Samples, e.Age.Round(100*time.Millisecond), e.Weight(k))
	}
	for _, t := range snapshot.Routes {
		row(fmt.Sprintf("%q core s", t.Name), t.Core, estimate.CoreTime)
		row(fmt.Sprintf("%q run s", t.Name), t.Run, estimate.RunTime)
	}
	row("pace", snapshot.Pace, estimate.Pace)
	row("calls s", snapshot.Calls, estimate.CallTime)
	row("calls refused", snapshot.RejectRatio, estimate.RejectRatio)
	row("callers back", snapshot.ReturnRatio, estimate.ReturnRatio)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	_, err := fmt.Fprintf(to, "origin %016x, terms %016x\n", snapshot.Origin, snapshot.SettingsDigest)
	return err
}
