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

const mostFile = 1 << 20 // bytes; a larger one is not what was meant

// Config is what the file states.
type Config struct {
	Peers        *Peers // nil: no exchange of knowledge
	Control      string // path of the socket that operators ask; empty: none
	Dependencies []Dependency
	Types        []Type              // traffic types that are made of calls
	State        *State              // nil: nothing is kept for the server after this one
	Pools        []classpool.Options // empty: no pools; read and checked, not yet used in decisions
	Lease        *Lease              // nil: no duty is held by lease
	// Configuration is nil where routes and tenants are those of the platform's configuration for good.
	Configuration *Configuration
}

// Fault is one thing that is wrong in a file.
type Fault struct {
	File    string
	Line    int // 0 where it is the absence of something
	Key     string
	Value   string
	Allowed string
}

func (f *Fault) Error() string {
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
	if about.Size() > mostFile {
		return fmt.Errorf("configuration file %s: %d bytes, %d at most", path, about.Size(), mostFile)
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
			return &Fault{File: path, Line: line, Key: fmt.Sprintf("column %d", column), Allowed: at.Error()}
		}
		return fmt.Errorf("configuration file %s: %w", path, err)
	}
	r := &reader{file: path, lines: lines(raw)}
	read(r.section("", values))
	slices.SortStableFunc(r.faults, func(a, b *Fault) int { return a.Line - b.Line })
	all := make([]error, len(r.faults))
	for i, f := range r.faults {
		all[i] = f
	}
	return errors.Join(all...)
}

// read takes the sections.
func (c *Config) read(top *section) {
	if peers := top.below("peers"); peers != nil {
		c.Peers = readPeers(peers)
	}
	if control := top.below("control"); control != nil {
		c.Control = control.text("socket", "", "a path is allowed", notEmpty)
		control.end()
	}
	if dependencies := top.below("dependencies"); dependencies != nil {
		c.Dependencies = readDependencies(dependencies)
	}
	if types := top.below("types"); types != nil {
		c.Types = readTypes(types, c.Dependencies)
	}
	if state := top.below("state"); state != nil {
		c.State = readState(state)
	}
	if pools := top.below("pools"); pools != nil {
		c.Pools = readPools(pools)
	}
	if lease := top.below("lease"); lease != nil {
		c.Lease = readLease(lease, c.Peers)
	}
	if configuration := top.below("configuration"); configuration != nil {
		c.Configuration = readConfiguration(configuration)
	}
	top.end()
}

// lines finds the line of each key and table.
func lines(raw []byte) map[string]int {
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

type reader struct {
	file   string
	lines  map[string]int
	faults []*Fault
}

// section is a table of the file; its keys are asked for one by one, and those that nobody asked for are faults.
type section struct {
	*reader
	path   string
	named  string // its own part of the path, which may hold points
	values map[string]any
	asked  []string
}

func (r *reader) section(path string, values map[string]any) *section {
	return &section{reader: r, path: path, values: values}
}

func (s *section) at(key string) string {
	if s.path == "" || key == "" { // no key: the section as a whole
		return s.path + key
	}
	return s.path + "." + key
}

func (s *section) fault(key string, value any, allowed string) {
	f := &Fault{File: s.file, Line: s.lines[s.at(key)], Key: s.at(key), Allowed: allowed}
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
	s.faults = append(s.faults, f)
}

func (s *section) ask(key string) (any, bool) {
	s.asked = append(s.asked, key)
	v, stated := s.values[key]
	return v, stated
}

// below is a section inside this one, nil where it is absent.
func (s *section) below(key string) *section {
	v, stated := s.ask(key)
	if !stated {
		return nil
	}
	table, is := v.(map[string]any)
	if !is {
		s.fault(key, v, "a section, as ["+s.at(key)+"], is allowed")
		return nil
	}
	one := s.section(s.at(key), table)
	one.named = key
	return one
}

// text is a string that fits, or the one that holds where none is stated.
func (s *section) text(key, otherwise, allowed string, fits func(string) bool) string {
	v, stated := s.ask(key)
	if !stated {
		return otherwise
	}
	t, is := v.(string)
	if !is || !fits(t) {
		s.fault(key, v, allowed)
		return otherwise
	}
	return t
}

// texts is a list of different strings that fit.
func (s *section) texts(key string, most int, allowed string, fits func(string) bool) (all []string) {
	v, stated := s.ask(key)
	if !stated {
		return nil
	}
	list, is := v.([]any)
	if !is || len(list) > most {
		s.fault(key, v, fmt.Sprintf("a list of %d at most, each %s, is allowed", most, allowed))
		return nil
	}
	for _, item := range list {
		t, is := item.(string)
		switch {
		case !is || !fits(t):
			s.fault(key, item, "in the list, "+allowed+" is allowed")
		case slices.Contains(all, t):
			s.fault(key, item, "stands twice in the list")
		default:
			all = append(all, t)
		}
	}
	return all
}

// span is a time between two bounds.
func (s *section) span(key string, otherwise, least, most time.Duration) time.Duration {
	v, stated := s.ask(key)
	if !stated {
		return otherwise
	}
	t, is := v.(string)
	d, err := time.ParseDuration(t)
	if !is || err != nil || d < least || d > most {
		s.fault(key, v, fmt.Sprintf("a time from %q to %q is allowed", least, most))
		return otherwise
	}
	return d
}

// number is one between two bounds.
func (s *section) number(key string, otherwise, least, most float64) float64 {
	v, stated := s.ask(key)
	if !stated {
		return otherwise
	}
	n, is := v.(float64)
	if whole, also := v.(int64); also {
		n, is = float64(whole), true
	}
	if !is || !(n >= least && n <= most) {
		s.fault(key, v, fmt.Sprintf("a number from %g to %g is allowed", least, most))
		return otherwise
	}
	return n
}

// whole is a whole number between two bounds.
func (s *section) whole(key string, otherwise, least, most int) int {
	v, stated := s.ask(key)
	if !stated {
		return otherwise
	}
	n, is := v.(int64)
	if !is || n < int64(least) || n > int64(most) {
		s.fault(key, v, fmt.Sprintf("a whole number from %d to %d is allowed", least, most))
		return otherwise
	}
	return int(n)
}

func (s *section) flag(key string) bool {
	v, stated := s.ask(key)
	set, is := v.(bool)
	if stated && !is {
		s.fault(key, v, "true or false is allowed")
	}
	return set
}

// all are the sections inside this one, by name.
func (s *section) all(most int) (below []*section) {
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if len(below) == most {
			s.fault(name, nil, fmt.Sprintf("%d at most are allowed", most))
			return below
		}
		if one := s.below(name); one != nil {
			below = append(below, one)
		}
	}
	return below
}

// list are the sections of a list of tables.
func (s *section) list(key string, most int) (items []*section) {
	v, stated := s.ask(key)
	if !stated {
		return nil
	}
	tables, is := v.([]any)
	if !is || len(tables) > most {
		s.fault(key, v, fmt.Sprintf("a list of %d at most, each as [[%s]], is allowed", most, s.at(key)))
		return nil
	}
	for i, t := range tables {
		table, is := t.(map[string]any)
		if !is {
			s.fault(key, t, "in the list, a table is allowed")
			continue
		}
		items = append(items, s.section(fmt.Sprintf("%s.%d", s.at(key), i), table))
	}
	return items
}

// end makes faults of the keys that nobody asked for.
func (s *section) end() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !slices.Contains(s.asked, key) {
			slices.Sort(s.asked)
			s.fault(key, s.values[key], "unknown; allowed are "+strings.Join(s.asked, ", "))
		}
	}
}

// address tells whether a text is an address and a port that need no look-up of names.
func address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0
}

// loopback tells whether an address can be reached from this machine alone.
func loopback(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().IsLoopback()
}
