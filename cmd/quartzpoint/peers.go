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

// peerExchange exchanges a server's estimates with its peers.
type peerExchange struct {
	config *config.Peers    // nil without [peers]
	server *peersync.Server // nil if this server does not listen for peers
}

// readKeyFile reads a key file. Without a file name it returns no keys.
func readKeyFile(file string) (peersync.Keys, error) {
	if file == "" {
		return nil, nil
	}
	return peersync.ReadKeys(file)
}

// startPeerExchange serves estimates to peers if the configuration has an address for it, and fetches estimates from
// the peers that the configuration names. Both end with the context. state may be nil only if settings is nil.
func startPeerExchange(
	ctx context.Context, settings *config.Peers, owner *server.Server, state *statePersistence, seed int64, counters *invariant.Counters,
	log *slog.Logger,
) (*peerExchange, error) {
	e := &peerExchange{config: settings}
	if settings == nil {
		return e, nil
	}
	keys, err := readKeyFile(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	if settings.KeyFile == "" {
		log.Warn("peer exchange without a key", "key_file", "", "so", "loopback addresses only")
	}
	if settings.Listen != "" {
		if e.server, err = peersync.Listen(settings.Listen, keys, owner.Now, counters); err != nil {
			return nil, err
		}
		e.server.Serve()
		context.AfterFunc(ctx, e.server.Close)
		log.Info("serving estimates to peers", "listen", settings.Listen, "keys", len(keys))
	}
	var needsEstimates atomic.Bool
	needsEstimates.Store(true)
	state.publish = append(state.publish, func(snapshot estimate.Snapshot, at time.Duration) {
		needsEstimates.Store(snapshot.NeedsPeers())
		if e.server != nil {
			e.server.Publish(snapshot, at)
		}
	})
	if len(settings.Addresses) > 0 {
		fetcher := &peersync.Fetcher{
			Peers: settings.Addresses, Keys: keys, FirstWait: settings.FirstWait, Schema: state.schema, Recovered: state.recovered, Seed: seed,
			NeedsEstimates: needsEstimates.Load, Use: owner.UsePeerEstimates, Counts: counters, Log: log,
		}
		go fetcher.Run(ctx)
	}
	return e, nil
}

// reloadKeys reads the key file again. The other settings of the section change only with a restart.
func (e *peerExchange) reloadKeys(log *slog.Logger) {
	if e.server == nil || e.config.KeyFile == "" {
		return
	}
	keys, err := peersync.ReadKeys(e.config.KeyFile)
	if err != nil {
		log.Warn("new keys rejected, the old ones stay in force", "error", err)
		return
	}
	e.server.SetKeys(keys)
	log.Info("new keys in force", "keys", len(keys))
}

// peerCommands are the commands that query running servers for their estimates.
type peerCommands struct {
	Show peerShow `cmd:"" help:"Print a running server's estimates, with ages and weights."`
}

// peerShow prints a running server's estimates.
type peerShow struct {
	Address string `arg:"" help:"The server's address for peers, as in its [peers] listen."`
	KeyFile string `placeholder:"FILE" help:"The server's key file."`
	JSON    bool   `name:"json" help:"Print JSON; times in seconds, ages in nanoseconds."`
}

// Run fetches the estimates once.
func (cmd *peerShow) Run() error {
	keys, err := readKeyFile(cmd.KeyFile)
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
	return printEstimates(os.Stdout, snapshot)
}

// printJSON prints a value as indented JSON.
func printJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printEstimates prints a snapshot as a table. A server that uses an estimate of weight n counts it as n
// samples of its own.
func printEstimates(writer io.Writer, snapshot estimate.Snapshot) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "estimate\tmean\tspread\tsamples\tage\tweight\t\n")
	row := func(name string, e estimate.Estimate, kind estimate.Kind) {
		if !e.Known() {
			fmt.Fprintf(table, "%s\t-\t-\t0\t-\t0\t\n", name)
			return
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.3g\t%.0f\t%s\t%.1f\t\n",
			name, e.Mean, e.Spread, e.Samples, e.Age.Round(100*time.Millisecond), e.Weight(kind))
	}
	for _, route := range snapshot.Routes {
		row(fmt.Sprintf("%q core s", route.Name), route.Core, estimate.CoreTime)
		row(fmt.Sprintf("%q run s", route.Name), route.Run, estimate.RunTime)
	}
	row("pace", snapshot.HintRatio, estimate.HintRatio)
	row("calls s", snapshot.Calls, estimate.CallTime)
	row("calls rejected", snapshot.RejectRatio, estimate.RejectRatio)
	row("callers returning", snapshot.ReturnRatio, estimate.ReturnRatio)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	_, err := fmt.Fprintf(writer, "origin %016x, settings %016x\n", snapshot.Origin, snapshot.SettingsDigest)
	return err
}
