// Package config reads the product's configuration file: TOML, a section for each subsystem, all optional. What is absent
// leaves its subsystem off. Every fault of a file is found at once and told with file, line, key, value and
// what is allowed.
package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"quartzpoint/classpool"
)

const maxFileBytes = 1 << 20 // bytes; a larger one is not what was meant

// Config is what the file states.
type Config struct {
	Peers         *Peers // nil: no exchange of knowledge
	ControlSocket string // path of the socket that operators ask; empty: none
	Dependencies  []Dependency
	Routes        []RoutePlan         // traffic types that are made of calls
	State         *State              // nil: nothing is kept for the server after this one
	Pools         []classpool.Options // empty: no pools; read and checked, not yet used in decisions
	Lease         *Lease              // nil: no duty is held by lease
	// Configuration is nil where routes and tenants are those of the platform's configuration for good.
	Configuration *ConfigSource
}

// FieldError is one thing that is wrong in a file.
type FieldError struct {
	File    string
	Line    int // 0 where it is the absence of something
	Key     string
	Value   string
	Allowed string
}

func (f *FieldError) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", at, f.Key, f.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s: %s", at, f.Key, f.Value, f.Allowed)
}

// Read reads a file whole. The error joins all faults.
func Read(path string) (*Config, error) {
	c := &Config{}
	if err := readFile(path, c.read); err != nil {
		return nil, err
	}
	return c, nil
}

// Parse reads the text of a file.
func Parse(path string, raw []byte) (*Config, error) {
	c := &Config{}
	if err := parse(path, raw, c.read); err != nil {
		return nil, err
	}
	return c, nil
}

// readFile has a file's text read by its top section.
func readFile(path string, read func(top *section)) error {
	about, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("configuration file: %w", err)
	}
	if about.Size() > maxFileBytes {
		return fmt.Errorf("configuration file %s: %d bytes, %d at most", path, about.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration file: %w", err)
	}
	return parse(path, raw, read)
}

// parse has a text read by its top section, and gives all faults.
func parse(path string, raw []byte, read func(top *section)) error {
	var values map[string]any
	if err := toml.Unmarshal(raw, &values); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) { // where the text itself is broken there is no telling what else is wrong
			line, column := at.Position()
			return &FieldError{File: path, Line: line, Key: fmt.Sprintf("column %d", column), Allowed: at.Error()}
		}
		return fmt.Errorf("configuration file %s: %w", path, err)
	}
	r := &parser{file: path, lines: lineIndex(raw)}
	read(r.section("", values))
	slices.SortStableFunc(r.errs, func(a, b *FieldError) int { return a.Line - b.Line })
	all := make([]error, len(r.errs))
	for i, f := range r.errs {
		all[i] = f
	}
	return errors.Join(all...)
}

// read takes the sections.
func (c *Config) read(top *section) {
	if peers := top.subsection("peers"); peers != nil {
		c.Peers = readPeers(peers)
	}
	if control := top.subsection("control"); control != nil {
		c.ControlSocket = control.stringValue("socket", "", "a path is allowed", isNotEmpty)
		control.rejectUnknown()
	}
	if dependencies := top.subsection("dependencies"); dependencies != nil {
		c.Dependencies = readDependencies(dependencies)
	}
	if types := top.subsection("types"); types != nil {
		c.Routes = readRoutes(types, c.Dependencies)
	}
	if state := top.subsection("state"); state != nil {
		c.State = readState(state)
	}
	if pools := top.subsection("pools"); pools != nil {
		c.Pools = readPools(pools)
	}
	if lease := top.subsection("lease"); lease != nil {
		c.Lease = readLease(lease, c.Peers)
	}
	if configuration := top.subsection("configuration"); configuration != nil {
		c.Configuration = readConfigSource(configuration)
	}
	top.rejectUnknown()
}

// lineIndex finds the line of each key and table.
func lineIndex(raw []byte) map[string]int {
	found := map[string]int{}
	p := unstable.Parser{}
	p.Reset(raw)
	table := ""
	items := map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable && e.Kind != unstable.KeyValue {
			continue
		}
		var parts []string
		line := 0
		for keys := e.Key(); keys.Next(); {
			k := keys.Node()
			parts = append(parts, string(k.Data))
			if k.Raw.Length > 0 {
				line = p.Shape(k.Raw).Start.Line
			}
		}
		path := strings.Join(parts, ".")
		if e.Kind == unstable.ArrayTable { // an item of a list of tables stands under its place in the list
			if _, begun := found[path]; !begun {
				found[path] = line
			}
			items[path]++
			path = fmt.Sprintf("%s.%d", path, items[path]-1)
		}
		if e.Kind != unstable.KeyValue {
			table = path
		} else if table != "" {
			path = table + "." + path
		}
		if _, again := found[path]; !again {
			found[path] = line
		}
	}
	return found
}

type parser struct {
	file  string
	lines map[string]int
	errs  []*FieldError
}

// section is a table of the file; its keys are asked for one by one, and those that nobody asked for are faults.
type section struct {
	*parser
	path   string
	name   string // its own part of the path, which may hold points
	values map[string]any
	known  []string
}

func (r *parser) section(path string, values map[string]any) *section {
	return &section{parser: r, path: path, values: values}
}

func (s *section) keyPath(key string) string {
	if s.path == "" || key == "" { // no key: the section as a whole
		return s.path + key
	}
	return s.path + "." + key
}

func (s *section) addError(key string, value any, allowed string) {
	f := &FieldError{File: s.file, Line: s.lines[s.keyPath(key)], Key: s.keyPath(key), Allowed: allowed}
	if f.Line == 0 {
		f.Line = s.lines[s.path]
	}
	switch v := value.(type) {
	case nil:
	case string:
		f.Value = fmt.Sprintf("%q", v)
	case map[string]any:
		f.Value = "a table"
	default:
		f.Value = fmt.Sprint(v)
	}
	s.errs = append(s.errs, f)
}

func (s *section) lookup(key string) (any, bool) {
	s.known = append(s.known, key)
	v, present := s.values[key]
	return v, present
}

// subsection is a section inside this one, nil where it is absent.
func (s *section) subsection(key string) *section {
	v, present := s.lookup(key)
	if !present {
		return nil
	}
	table, ok := v.(map[string]any)
	if !ok {
		s.addError(key, v, "a section, as ["+s.keyPath(key)+"], is allowed")
		return nil
	}
	one := s.section(s.keyPath(key), table)
	one.name = key
	return one
}

// stringValue is a string that fits, or the one that holds where none is stated.
func (s *section) stringValue(key, fallback, allowed string, valid func(string) bool) string {
	v, present := s.lookup(key)
	if !present {
		return fallback
	}
	t, ok := v.(string)
	if !ok || !valid(t) {
		s.addError(key, v, allowed)
		return fallback
	}
	return t
}

// stringList is a list of different strings that fit.
func (s *section) stringList(key string, limit int, allowed string, valid func(string) bool) (all []string) {
	v, present := s.lookup(key)
	if !present {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) > limit {
		s.addError(key, v, fmt.Sprintf("a list of %d at most, each %s, is allowed", limit, allowed))
		return nil
	}
	for _, item := range list {
		t, ok := item.(string)
		switch {
		case !ok || !valid(t):
			s.addError(key, item, "in the list, "+allowed+" is allowed")
		case slices.Contains(all, t):
			s.addError(key, item, "stands twice in the list")
		default:
			all = append(all, t)
		}
	}
	return all
}

// duration is a time between two bounds.
func (s *section) duration(key string, fallback, lowest, highest time.Duration) time.Duration {
	v, present := s.lookup(key)
	if !present {
		return fallback
	}
	t, ok := v.(string)
	d, err := time.ParseDuration(t)
	if !ok || err != nil || d < lowest || d > highest {
		s.addError(key, v, fmt.Sprintf("a time from %q to %q is allowed", lowest, highest))
		return fallback
	}
	return d
}

// float is one between two bounds.
func (s *section) float(key string, fallback, lowest, highest float64) float64 {
	v, present := s.lookup(key)
	if !present {
		return fallback
	}
	n, ok := v.(float64)
	if whole, also := v.(int64); also {
		n, ok = float64(whole), true
	}
	if !ok || !(n >= lowest && n <= highest) {
		s.addError(key, v, fmt.Sprintf("a number from %g to %g is allowed", lowest, highest))
		return fallback
	}
	return n
}

// integer is a whole number between two bounds.
func (s *section) integer(key string, fallback, lowest, highest int) int {
	v, present := s.lookup(key)
	if !present {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < int64(lowest) || n > int64(highest) {
		s.addError(key, v, fmt.Sprintf("a whole number from %d to %d is allowed", lowest, highest))
		return fallback
	}
	return int(n)
}

func (s *section) boolean(key string) bool {
	v, present := s.lookup(key)
	set, ok := v.(bool)
	if present && !ok {
		s.addError(key, v, "true or false is allowed")
	}
	return set
}

// subsections are the sections inside this one, by name.
func (s *section) subsections(limit int) (below []*section) {
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if len(below) == limit {
			s.addError(name, nil, fmt.Sprintf("%d at most are allowed", limit))
			return below
		}
		if one := s.subsection(name); one != nil {
			below = append(below, one)
		}
	}
	return below
}

// tables are the sections of a list of tables.
func (s *section) tables(key string, limit int) (items []*section) {
	v, present := s.lookup(key)
	if !present {
		return nil
	}
	tables, ok := v.([]any)
	if !ok || len(tables) > limit {
		s.addError(key, v, fmt.Sprintf("a list of %d at most, each as [[%s]], is allowed", limit, s.keyPath(key)))
		return nil
	}
	for i, t := range tables {
		table, ok := t.(map[string]any)
		if !ok {
			s.addError(key, t, "in the list, a table is allowed")
			continue
		}
		items = append(items, s.section(fmt.Sprintf("%s.%d", s.keyPath(key), i), table))
	}
	return items
}

// rejectUnknown makes faults of the keys that nobody asked for.
func (s *section) rejectUnknown() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !slices.Contains(s.known, key) {
			slices.Sort(s.known)
			s.addError(key, s.values[key], "unknown; allowed are "+strings.Join(s.known, ", "))
		}
	}
}

// isAddress tells whether a text is an address and a port that need no look-up of names.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0
}

// isLoopback tells whether an address can be reached from this machine alone.
func isLoopback(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().IsLoopback()
}
