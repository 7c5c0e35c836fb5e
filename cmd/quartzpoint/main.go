// Command quartzpoint is one app server: it takes tasks from routers, has the worker pool run them as the
// decisions say, and answers each of them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"quartzpoint/internal/check"
	"quartzpoint/internal/front"
	"quartzpoint/internal/membership"
	"quartzpoint/internal/pool"
	"quartzpoint/internal/server"
	"quartzpoint/internal/terms"
)

const (
	heapPart  = 0.7 // of the memory that the runtime may take before it collects at any price
	linkShare = 16  // part of the memory, as a divisor, that commands to the pool may take
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	slog.SetDefault(log)
	if err := run(log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}

// start is what the program is told at its start.
type start struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Pool    string `json:"pool"`
	Members string `json:"members"`
	Seed    string `json:"seed"`
	StopMS  int64  `json:"stop_ms"`
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Terms json.RawMessage `json:"settings"`
}

// told reads the configuration and the two variables that repeat a part of it.
func told() (s start, seed uint64, err error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return s, 0, errors.New("EDGE_CONFIG names no configuration")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, 0, fmt.Errorf("configuration: %w", err)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, 0, fmt.Errorf("configuration %s: %w", path, err)
	}
	if name := os.Getenv("EDGE_NAME"); name != "" {
		s.Name = name
	}
	if listen := os.Getenv("EDGE_LISTEN"); listen != "" {
		s.Listen = listen
	}
	for _, needed := range []struct{ key, value string }{
		{"name", s.Name}, {"listen", s.Listen}, {"pool", s.Pool}, {"members", s.Members},
		{"settings", string(s.Terms)},
	} {
		if needed.value == "" {
			return s, 0, fmt.Errorf("configuration %s: %s is missing", path, needed.key)
		}
	}
	if s.StopMS <= 0 || s.Limits.Cores <= 0 || s.Limits.MemoryMB <= 0 || s.Limits.Sockets <= 0 {
		return s, 0, fmt.Errorf("configuration %s: stop_ms and each of limits must be above 0", path)
	}
	seed, err = strconv.ParseUint(s.Seed, 16, 64)
	if err != nil {
		return s, 0, fmt.Errorf("configuration %s: seed: %w", path, err)
	}
	return s, seed, nil
}

func run(log *slog.Logger) error {
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM, syscall.SIGINT)
	s, seed, err := told()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(s.Limits.Cores)))
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * heapPart))

	agreed, err := terms.FromJSON(s.Terms)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	counts := check.New(log)
	limits := server.Limits{MemoryMB: s.Limits.MemoryMB, Sockets: s.Limits.Sockets}
	owner, err := server.New(agreed, int64(seed), limits, counts, log)
	if err != nil {
		return err
	}
	reporter, err := membership.New(s.Name, s.Members, log)
	if err != nil {
		return err
	}
	routers, err := front.Listen(s.Listen, owner, limits, counts, log)
	if err != nil {
		return err
	}
	link := pool.New(s.Pool, s.Limits.MemoryMB<<20/linkShare, log, counts.Saw, owner.Nudge)
	owner.Serve(link, routers)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reporter.Run(ctx, membership.Period)
	go link.Run(ctx)
	failed := make(chan error, 1)
	go func() {
		if err := routers.Serve(); err != nil {
			failed <- err
		}
	}()
	go func() {
		<-notice
		reporter.Leave()
		owner.Post(func() { owner.Leave(time.Duration(s.StopMS) * time.Millisecond) })
	}()
	log.Info("serving", "name", s.Name, "listen", s.Listen, "pool", s.Pool, "members", s.Members,
		"cores", s.Limits.Cores, "memory_mb", s.Limits.MemoryMB, "sockets", s.Limits.Sockets)
	left := make(chan struct{})
	go func() {
		owner.Run()
		close(left)
	}()
	select {
	case <-left:
		counts.Report()
		return nil
	case err := <-failed:
		return err
	}
}
