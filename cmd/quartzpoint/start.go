package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"strconv"
	"strings"

	"quartzpoint/internal/check"
	"quartzpoint/internal/dependency"
	"quartzpoint/internal/membership"
	"quartzpoint/internal/pool"
	"quartzpoint/internal/server"
	"quartzpoint/internal/terms"
)

// start is what the program is told at its start.
type start struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Pool    string `json:"pool"`
	Members string `json:"members"`
	Index   string `json:"index"` // the dependency that runs call, empty where none does
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

// told reads the configuration and the two variables that repeat a part of it. The error joins all faults.
func told(path string) (s start, seed uint64, err error) {
	if path == "" {
		return s, 0, errors.New("EDGE_CONFIG names no configuration; see quartzpoint --help")
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
	var faults []error
	fault := func(words string, of ...any) {
		faults = append(faults, fmt.Errorf("configuration %s: "+words, append([]any{path}, of...)...))
	}
	for _, needed := range []struct{ key, value string }{
		{"name", s.Name}, {"listen", s.Listen}, {"pool", s.Pool}, {"members", s.Members},
		{"settings", string(s.Terms)},
	} {
		if needed.value == "" {
			fault("%s is missing", needed.key)
		}
	}
	if s.StopMS <= 0 || s.Limits.Cores <= 0 || s.Limits.MemoryMB <= 0 || s.Limits.Sockets <= 0 {
		fault("stop_ms and each of limits must be above 0")
	}
	if seed, err = strconv.ParseUint(s.Seed, 16, 64); err != nil {
		fault("seed: %w", err)
	}
	return s, seed, errors.Join(faults...)
}

// bounds are those of the program itself.
func (s start) bounds() server.Limits {
	return server.Limits{
		MemoryMB: s.Limits.MemoryMB, Sockets: s.Limits.Sockets - s.callSockets(),
		Numbers: true, Customers: true, Calls: s.Index != "",
	}
}

// callShare is the part of the descriptors, as a divisor, that calls to the dependency may take.
const callShare = 8

// callSockets are the descriptors that calls to the dependency may take.
func (s start) callSockets() int {
	if s.Index == "" {
		return 0
	}
	return max(1, s.Limits.Sockets/callShare)
}

// calling makes the server call the dependency where the configuration names one, and gives what calls it, nil without.
// Types that call and have none are turned away: all others are served.
func calling(s start, owner *server.Server, link *pool.Link, counts *check.Counts, log *slog.Logger) *dependency.Caller {
	if unserved := owner.Unserved(); len(unserved) > 0 {
		log.Warn("types that call a dependency are turned away, as the configuration names none", "types", unserved)
	}
	if s.Index == "" {
		return nil
	}
	calls := dependency.New(s.Index, s.callSockets(), log, counts.Saw, owner.CallEnded)
	owner.Depend(calls, link)
	return calls
}

// again reads the configuration anew, sees that the whole of it could be started with, and then applies what
// can change while tasks run: the two addresses, the time to the stop, and the settings that terms.Moves
// names, which the owner takes in its turn. It gives what is in force from then on; a file that is missing,
// half written or wrong changes nothing.
func (s start) again(link *pool.Link, calls *dependency.Caller, reporter *membership.Reporter, owner *server.Server,
	log *slog.Logger,
) start {
	refuse := func(err error) start {
		log.Warn("new configuration refused, the old one stays", "error", err)
		return s
	}
	n, seed, err := told(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return refuse(err)
	}
	agreed, err := terms.FromJSON(n.Terms)
	if err != nil {
		return refuse(fmt.Errorf("configuration: %w", err))
	}
	if _, err := server.New(agreed, int64(seed), n.bounds(), nil, log); err != nil {
		return refuse(err)
	}
	if _, err := net.ResolveTCPAddr("tcp", n.Pool); err != nil {
		return refuse(fmt.Errorf("configuration: pool: %w", err))
	}
	if n.Members != s.Members {
		reporter.Move(n.Members)
	}
	if n.Pool != s.Pool {
		link.Move(n.Pool)
	}
	index := s.Index
	if calls != nil && n.Index != "" && n.Index != index {
		index = n.Index
		calls.Move(index)
	}
	moved, settings := terms.Moves(s.agreed, agreed.Values)
	var fixed []string
	for _, key := range []struct {
		name   string
		differ bool
	}{
		{"name", n.Name != s.Name}, {"listen", n.Listen != s.Listen}, {"limits", n.Limits != s.Limits},
		{"index", n.Index != index},
		{"settings " + strings.Join(settings, ","), len(settings) > 0},
	} {
		if key.differ {
			fixed = append(fixed, key.name)
		}
	}
	if len(moved) > 0 {
		maps.Copy(s.agreed, moved) // what was asked last; the owner's copy is its own
		maps.DeleteFunc(s.agreed, func(_ string, v any) bool { return v == nil })
		owner.Post(func() { owner.Retune(moved) })
	}
	log.Info("new configuration", "pool", n.Pool, "members", n.Members, "index", index, "stop_ms", n.StopMS, "moved", moved,
		"only_with_a_restart", fixed)
	s.Pool, s.Members, s.Index, s.StopMS = n.Pool, n.Members, index, n.StopMS
	return s
}
