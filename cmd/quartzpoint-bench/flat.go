package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"quartzpoint/internal/config"
	"quartzpoint/internal/frontend"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/workerlink"
)

// linkBufferBytes is the size of the buffer to the workers.
const linkBufferBytes = 1 << 20

// flatCommand is the command that serves as the baseline for budgeted calls: one timeout for every attempt and three retries, as
// client libraries have them. Everything else of the server is the same.
type flatCommand struct {
	Config string `name:"config" aliases:"own" help:"The product's own file, for dependencies and types."`
}

// flatSettings are those of the platform's configuration that the baseline needs.
type flatSettings struct {
	Listen string `json:"listen"`
	Pool   string `json:"pool"`
	StopMS int64  `json:"stop_ms"`
	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

func readFlatSettings() (s flatSettings, err error) {
	raw, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return s, fmt.Errorf("reading EDGE_CONFIG: %w", err)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("reading EDGE_CONFIG: %w", err)
	}
	return s, nil
}

// Run serves as the daemon does, but for how calls are made.
func (cmd *flatCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	s, err := readFlatSettings()
	if err != nil {
		return err
	}
	ownConfig, err := config.Read(cmd.Config)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	platformSettings, err := settings.FromJSON(s.Settings)
	if err != nil {
		return err
	}
	counts := invariant.New(log)
	limits := server.Limits{MemoryMB: s.Limits.MemoryMB, Sockets: s.Limits.Sockets}
	srv, err := server.New(platformSettings, 1, limits, counts, log)
	if err != nil {
		return err
	}
	routers, err := frontend.Listen(s.Listen, srv, limits, counts, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	link := workerlink.New(s.Pool, linkBufferBytes, log, counts.Count, srv.Wake)
	srv.Attach(link, routers)
	srv.SetComposer(newFlatComposer(ctx, ownConfig, srv, counts, log))
	go link.Run(ctx)
	go func() { _ = routers.Serve() }() // ends with the process
	go func() {
		<-terminate
		srv.Drain(time.Duration(s.StopMS) * time.Millisecond)
	}()
	log.Info("serving", "listen", s.Listen)
	srv.Run()
	return nil
}
