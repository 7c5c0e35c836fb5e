package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"quartzpoint/internal/dependency"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/registration"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/workerlink"
)

// start is what the program is told at its start.
type start struct {
	Name     string
	Listen   string
	Pool     string
	Members  string
	Index    string // the dependency that runs call, empty where none does
	Seed     uint64
	Stop     time.Duration
	Limits   limits
	settings *settings.Settings       // as asked last
	types    map[string]time.Duration // that a task of each type has
	sum      uint64                   // of the settings' text, by which one that has not changed is known
}

// limits are those of the program itself, as stated. Each may be any number above 0.
type limits struct{ Cores, MemoryMB, Sockets float64 }

// Larger limits are taken for these, which no machine has: bytes and descriptors still fit their types.
const (
	maxMemoryMB = 1 << 24
	maxSockets  = 1 << 24
)

// cores are those that the runtime may use. More than there are help nobody, and the runtime keeps room for each.
func (l limits) cores() int { return int(max(1, min(l.Cores, float64(runtime.NumCPU())))) }

// memory is the limit in bytes.
func (l limits) memory() int { return int(min(l.MemoryMB, maxMemoryMB) * (1 << 20)) }

// megabytes is the same in whole ones; a part of one is one, as of none nothing could be held.
func (l limits) megabytes() int { return max(1, l.memory()>>20) }

// sockets is the number of descriptors; with fewer than two there is no room for any connection.
func (l limits) sockets() int { return int(max(2, min(l.Sockets, maxSockets))) }

// largeSettings is the number of settings past which the memory that their reading took is given back at once.
const largeSettings = 10_000

// told reads the configuration and the two variables that repeat a part of it, and sees that it could be served with:
// the one check for the start, for a configuration read anew and for the command. The error joins all faults.
func told(path string) (start, error) { return toldSince(path, start{}) }

// toldSince does the same behind an earlier reading. Settings whose text is the same are not read again: they are most
// of the file, and of a large site their reading takes long.
func toldSince(path string, before start) (s start, err error) {
	if path == "" {
		return s, errors.New("EDGE_CONFIG names no configuration; see quartzpoint --help")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("configuration: %w", err)
	}
	c := platformFile{path: path}
	if err := json.Unmarshal(raw, &c.keys); err != nil {
		return s, fmt.Errorf("configuration %s: %w", path, err)
	}
	s.Name = c.text("name", "EDGE_NAME")
	s.Listen = c.text("listen", "EDGE_LISTEN")
	c.address("listen", s.Listen, false)
	s.Pool = c.text("pool", "")
	c.address("pool", s.Pool, true)
	s.Members = c.text("members", "")
	c.address("members", s.Members, true)
	if c.states("index") {
		s.Index = c.text("index", "")
		c.address("index", s.Index, true)
	}
	if seed := c.text("seed", ""); seed != "" {
		if s.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			c.fault("seed", "%s is no hexadecimal number of 64 bits", seed)
		}
	}
	stop := c.positive("stop_ms")
	s.Stop = time.Duration(min(stop, float64(settings.MaxDuration/time.Millisecond)) * float64(time.Millisecond))
	s.Limits = limits{c.positive("limits.cores"), c.positive("limits.memory_mb"), c.positive("limits.sockets")}
	if s.sum = xxhash.Sum64(c.keys["settings"]); before.settings != nil && s.sum == before.sum {
		s.settings, s.types = before.settings, before.types
	} else {
		c.settings(&s)
	}
	return s, errors.Join(c.faults...)
}

// platformFile is the file's text by key, and what is wrong with it.
type platformFile struct {
	path   string
	keys   map[string]json.RawMessage
	faults []error
}

func (c *platformFile) fault(key, words string, of ...any) {
	c.faults = append(c.faults, fmt.Errorf("configuration %s: %s: %s", c.path, key, fmt.Sprintf(words, of...)))
}

func (c *platformFile) missing(key, wanted string) {
	c.faults = append(c.faults, fmt.Errorf("configuration %s: %s is missing: %s", c.path, key, wanted))
}

// states tells whether the file says anything under a key.
func (c *platformFile) states(key string) bool {
	raw, stated := c.keys[key]
	return stated && string(raw) != "null" && string(raw) != `""`
}

// text is the text under a key, where no variable wins over it.
func (c *platformFile) text(key, variable string) (text string) {
	if variable != "" && os.Getenv(variable) != "" {
		return os.Getenv(variable)
	}
	if !c.states(key) {
		c.missing(key, "a text")
	} else if json.Unmarshal(c.keys[key], &text) != nil {
		c.fault(key, "%s is no text", c.keys[key])
	}
	return text
}

// address sees that a text is a host and a port. Whether anybody is there, or the name known yet, is not asked: that
// comes and goes, and is waited for.
func (c *platformFile) address(key, text string, dialed bool) {
	if text == "" {
		return // text said so
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		c.fault(key, "%v", err)
		return
	}
	number, err := net.LookupPort("tcp", port)
	if err != nil || port == "" || dialed && number == 0 || strings.ContainsFunc(host, unicode.IsSpace) {
		c.fault(key, "%q is no host:port", text)
	}
}

// positive is the number under a key, which may stand within that of an object.
func (c *platformFile) positive(path string) (number float64) {
	within, key, nested := strings.Cut(path, ".")
	of := c
	if nested {
		of = &platformFile{}
		if c.states(within) && json.Unmarshal(c.keys[within], &of.keys) != nil {
			c.fault(path, "%s is no object", within)
			return 0
		}
	} else {
		key = path
	}
	if !of.states(key) {
		c.missing(path, "a number above 0")
	} else if json.Unmarshal(of.keys[key], &number) != nil {
		c.fault(path, "%s is no number", of.keys[key])
	} else if number <= 0 {
		c.fault(path, "%v is not above 0", number)
	}
	return number
}

// settings reads the settings and sees that a server could be made for them.
func (c *platformFile) settings(s *start) {
	if !c.states("settings") {
		c.missing("settings", "an object")
		return
	}
	agreed, err := settings.FromJSON(c.keys["settings"])
	if err == nil {
		err = agreed.Missing()
	}
	if err != nil {
		all := []error{err}
		if joined, is := err.(interface{ Unwrap() []error }); is {
			all = joined.Unwrap()
		}
		for _, err := range all {
			c.faults = append(c.faults, fmt.Errorf("configuration %s: %w", c.path, err))
		}
		return
	}
	made, err := server.New(agreed, int64(s.Seed), s.bounds(), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		c.faults = append(c.faults, fmt.Errorf("configuration %s: settings: %w", c.path, err))
		return
	}
	s.settings, s.types = agreed, made.RouteTimeouts()
}

// bounds are those of the program itself.
func (s start) bounds() server.Limits {
	return server.Limits{
		MemoryMB: s.Limits.megabytes(), Sockets: max(2, s.Limits.sockets()-s.callSockets()),
		Keys: true, Tenants: true, Calls: s.Index != "", EarlyKill: true,
	}
}

// callShare is the part of the descriptors, as a divisor, that calls to the dependency may take.
const callShare = 8

// callSockets are the descriptors that calls to the dependency may take.
func (s start) callSockets() int {
	if s.Index == "" {
		return 0
	}
	return max(1, s.Limits.sockets()/callShare)
}

// calling makes the server call the dependency where the configuration names one, and gives what calls it, nil without.
// Types that call and have none are turned away: all others are served.
func calling(s start, owner *server.Server, link *workerlink.Link, counts *invariant.Counters, log *slog.Logger) *dependency.Caller {
	if unserved := owner.UnservedRoutes(); len(unserved) > 0 {
		log.Warn("types that call a dependency are turned away, as the configuration names none", "types", unserved)
	}
	if s.Index == "" {
		return nil
	}
	calls := dependency.New(s.Index, s.callSockets(), log, counts.Count, owner.HandleCallEnd)
	owner.SetDependency(calls, link)
	return calls
}

// again reads the configuration anew, sees that the whole of it could be started with, and then applies what
// can change while tasks run: the two addresses, the time to the stop, and the settings that settings.Adjustable
// names, which the owner takes in its turn. It gives what is in force from then on; a file that is missing,
// half written or wrong changes nothing.
func (s start) again(link *workerlink.Link, calls *dependency.Caller, reporter *registration.Reporter, owner *server.Server,
	log *slog.Logger,
) start {
	n, err := toldSince(os.Getenv("EDGE_CONFIG"), s)
	if err != nil {
		log.Warn("new configuration refused, the old one stays", "error", err)
		return s
	}
	if n.Members != s.Members {
		reporter.SetAddress(n.Members)
	}
	if n.Pool != s.Pool {
		link.SetAddress(n.Pool)
	}
	index := s.Index
	if calls != nil && n.Index != "" && n.Index != index {
		index = n.Index
		calls.SetAddress(index)
	}
	var change settings.Change
	if n.sum != s.sum {
		change = s.settings.Compare(n.settings)
		if n.settings.Len() > largeSettings { // what was read is as much again as what is kept
			defer debug.FreeOSMemory()
		}
	}
	var fixed []string
	for _, key := range []struct {
		name   string
		differ bool
	}{
		{"name", n.Name != s.Name}, {"listen", n.Listen != s.Listen}, {"limits", n.Limits != s.Limits},
		{"index", n.Index != index},
		{"settings " + strings.Join(change.Fixed, ","), len(change.Fixed) > 0},
	} {
		if key.differ {
			fixed = append(fixed, key.name)
		}
	}
	if len(change.Adjusted) > 0 {
		s.settings = s.settings.WithAdjustable(n.settings)
		next := s.settings
		owner.Submit(func() { owner.Reconfigure(next) })
	}
	log.Info("new configuration", "pool", n.Pool, "members", n.Members, "index", index, "stop_ms", n.Stop.Milliseconds(), "moved", change.Adjusted,
		"only_with_a_restart", fixed)
	s.Pool, s.Members, s.Index, s.Stop = n.Pool, n.Members, index, n.Stop
	if s.sum = n.sum; len(change.Fixed) > 0 {
		s.sum = 0 // what is in force is no text that was read
	}
	return s
}
