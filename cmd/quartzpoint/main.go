// Command quartzpoint is one app server: it takes tasks from routers, has the worker pool run them as the
// decisions say, and answers each of them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
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
	Terms  json.RawMessage `json:"settings"`
	agreed map[string]any  // what Terms say
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

// again reads the configuration anew, sees that the whole of it could be started with, and then applies what
// can change while tasks run: the two addresses, and the time to the stop. It gives what is in force from then
// on; a file that is missing, half written or wrong changes nothing.
func (s start) again(link *pool.Link, reporter *membership.Reporter, log *slog.Logger) start {
	refuse := func(err error) start {
		log.Warn("new configuration refused, the old one stays", "error", err)
		return s
	}
	n, seed, err := told()
	if err != nil {
		return refuse(err)
	}
	agreed, err := terms.FromJSON(n.Terms)
	if err != nil {
		return refuse(fmt.Errorf("configuration: %w", err))
	}
	if _, err := server.New(agreed, int64(seed), server.Limits{MemoryMB: n.Limits.MemoryMB}, nil, log); err != nil {
		return refuse(err)
	}
	if _, err := net.ResolveTCPAddr("tcp", n.Pool); err != nil {
		return refuse(fmt.Errorf("configuration: pool: %w", err))
	}
	if n.Members != s.Members {
		if err := reporter.Move(n.Members); err != nil {
			return refuse(err)
		}
	}
	if n.Pool != s.Pool {
		link.Move(n.Pool)
	}
	var fixed []string
	for _, key := range []struct {
		name   string
		differ bool
	}{
		{"name", n.Name != s.Name}, {"listen", n.Listen != s.Listen}, {"limits", n.Limits != s.Limits},
		{"settings", !maps.Equal(agreed.Values, s.agreed)},
	} {
		if key.differ {
			fixed = append(fixed, key.name)
		}
	}
	log.Info("new configuration", "pool", n.Pool, "members", n.Members, "stop_ms", n.StopMS, "only_with_a_restart", fixed)
	s.Pool, s.Members, s.StopMS = n.Pool, n.Members, n.StopMS
	return s
}

func run(log *slog.Logger) error {
	// Before all else: unheard, each of them ends the process. Parted, so that no row of SIGHUP crowds out the notice.
	notice, anew := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(anew, syscall.SIGHUP)
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
	s.agreed = agreed.Values
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
		for {
			select {
			case <-anew:
				s = s.again(link, reporter, log)
			case <-notice:
				reporter.Leave()
				within := time.Duration(s.StopMS) * time.Millisecond
				owner.Post(func() { owner.Leave(within) })
			}
		}
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
