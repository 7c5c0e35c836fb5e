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

// linkBufferBytes is the buffer size of the connection to the worker pool.
const linkBufferBytes = 1 << 20

// flatCommand serves as the daemon does, but makes calls as common client libraries do: with one timeout for every
// attempt and up to three retries. It is the baseline that budgeted calls are compared with.
type flatCommand struct {
	Config string `name:"config" aliases:"own" help:"The configuration file of quartzpoint, for dependencies and routes."`
}

// flatSettings holds the parts of the platform's configuration that the baseline uses.
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
		return s, fmt.Errorf("read EDGE_CONFIG: %w", err)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("parse EDGE_CONFIG: %w", err)
	}
	return s, nil
}

// Run serves as the daemon does, except for how calls are made, until the server has drained after a SIGTERM.
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
	go func() { _ = routers.Serve() }() // its goroutine ends with the process
	go func() {
		<-terminate
		srv.Drain(time.Duration(s.StopMS) * time.Millisecond)
	}()
	log.Info("serving", "listen", s.Listen)
	srv.Run()
	return nil
}
