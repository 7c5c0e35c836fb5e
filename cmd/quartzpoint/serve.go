package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"quartzpoint/internal/config"
)

const (
	memoryLimitShare     = 0.7 // fraction of the memory above which the runtime collects at any cost
	minMemoryLimitMB     = 16  // the idle runtime maps 12 MB, and near its limit it does nothing but collect
	smallMemoryGCPercent = 25  // growth of the heap between collections, in percent, if minMemoryLimitMB applies
)

// serveCommand serves requests until a stop signal.
type serveCommand struct {
	Config string `name:"config" aliases:"own" placeholder:"FILE" help:"The product's own file (TOML). Without it, everything that it configures is off."`
}

// stopSignals are the signals that the process handles. They have separate channels, so that a stop signal is not lost
// while SIGHUPs are pending.
type stopSignals struct{ stop, reload chan os.Signal }

func notifySignals() stopSignals {
	s := stopSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Run serves until SIGTERM or SIGINT, and through the drain that follows.
func (cmd *serveCommand) Run(log *slog.Logger) error {
	signals := notifySignals() // first, as an unhandled signal ends the process
	platform, file, err := cmd.readConfigs()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(platform.Limits.cores())
	limitMemory(platform.Limits.memoryBytes())

	p, err := newProcess(platform, file, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.close()
	if err := p.startServices(ctx, cmd.Config); err != nil {
		return err
	}
	return p.serve(ctx, signals)
}

// readConfigs reads the platform's configuration and the product's own file. The error joins all errors in both.
func (cmd *serveCommand) readConfigs() (platform platformConfig, file *config.Config, err error) {
	platform, err = readPlatformConfig(os.Getenv("EDGE_CONFIG"))
	if cmd.Config == "" {
		return platform, &config.Config{}, err
	}
	file, fileErr := config.Read(cmd.Config)
	return platform, file, errors.Join(err, fileErr)
}

// limitMemory sets the runtime's memory limit to memoryLimitShare of the process's memory, but to at least
// minMemoryLimitMB: with a limit that can't be met the runtime would collect without end. If that minimum applies, the
// heap is kept small by collecting early instead.
func limitMemory(bytes int) {
	limit := int64(float64(bytes) * memoryLimitShare)
	if limit < minMemoryLimitMB<<20 {
		limit = minMemoryLimitMB << 20
		debug.SetGCPercent(smallMemoryGCPercent)
	}
	debug.SetMemoryLimit(limit)
}
