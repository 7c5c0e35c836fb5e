// Package settings turns the settings a server is started under into the names and values that its decisions
// know. One table serves the flat lines of the simulator's wire and the nested JSON of a configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"quartzpoint/admission"
)

type kind int

const (
	number kind = iota
	span
	flag
	text
)

type word struct {
	ours  string
	kind  kind
	holds bounds
}

// plain holds the settings that stand alone, by the wire's name.
var plain = map[string]word{
	"extra.cores":                     {"cores", number, aboveZero},
	"extra.ram-kb":                    {"memory-kb", number, aboveZero},
	"extra.run-factor":                {"running-factor", number, notNegative},
	"extra.key-kb":                    {"number-kb", number, notNegative},
	"extra.cold":                      {"cold", flag, anything},
	"extra.advert":                    {"advert", text, anything},
	"extra.halt":                      {"halt", text, anything},
	"extra.below":                     {"below", text, anything},
	"extra.calls-out":                 {"calls-share", number, notNegative},
	"extra.calls-over":                {"calls-over", span, notNegative},
	"extra.lingers":                   {"calls-linger", span, notNegative},
	"extra.heeded":                    {"heeded", span, notNegative},
	"extra.idle":                      {"idle", span, notNegative},
	"extra.upstreams":                 {"routers", number, notNegative},
	"extra.tells-gone":                {"tells-gone", flag, anything},
	"extra.passes-deadline":           {"tells-due", flag, anything},
	"extra.deep-checks":               {"deep-checks", flag, anything},
	"extra.readiness":                 {"list-follows-health", flag, anything},
	"limits.retry-after":              {"come-back", flag, anything},
	"limits.max-retry-after":          {"come-back-most", span, notNegative},
	"obligations.cold-share":          {"cold-share", number, share},
	"obligations.warm-up":             {"warm-up", span, notNegative},
	"obligations.fall":                {"crowd-over", span, notNegative},
	"obligations.overload-factor":     {"crowd", number, aboveZero},
	"obligations.stop-sending-within": {"grace", span, notNegative},
	"obligations.grace-to-answer":     {"answer-slack", span, notNegative},
	"over-share-worth":                {"over-share", number, share},
	"value-by":                        {"importance-by", text, anything},
	"servers":                         {"servers", number, notNegative},
	"tick":                            {"tick", span, notNegative},
	"scoring-mix.whole":               {"weight-whole", number, notNegative},
	"scoring-mix.worst-window":        {"weight-window", number, notNegative},
	"scoring-mix.worst-class":         {"weight-type", number, notNegative},
	"scoring-mix.worst-tenant":        {"weight-customer", number, notNegative},
	"prices.waste":                    {"price-waste", number, anything},
	"prices.late-fail":                {"price-late", number, anything},
	"prices.handshake":                {"price-connection", number, anything},
	"services.count":                  {"types", number, anything},
	"tenants.count":                   {"customers", number, anything},
}

// listed holds the settings of list items: list, the wire's name, then ours; the position goes in between.
var listed = map[string]map[string]word{
	"services": {
		"gain":         {"importance", number, notNegative},
		"late-value":   {"late-share", number, share},
		"goal-time":    {"contract-time", span, notNegative},
		"deadline":     {"outer-limit", span, aboveZero},
		"dedup-window": {"window", span, notNegative},
		"idempotency":  {"repeats", text, anything},
		"name":         {"name", text, anything},
	},
	"tenants": {
		"quota-rps": {"rate", number, notNegative},
		"fraction":  {"share", number, share},
		"name":      {"name", text, anything},
	},
}

// rows holds the settings that carry one value for each traffic type, parted by commas.
var rows = map[string]word{
	"extra.calls-by-class":   {"calls", flag, anything},
	"extra.class-skip-worth": {"skip-share", number, share},
}

var lists = map[string]string{"services": "type", "tenants": "customer"}

var repeats = map[string]string{"retryable": "reissuable", "dedup": "numbered", "fragile": "at-most-once"}

// Settings are the settings in our words, and the server's gauges in the order in which readings come.
type Settings struct {
	Values map[string]any
	gauges []string
}

// Of are settings that are stated in our words already, with the gauges in the order in which readings come, each by
// its name in the settings.
func Of(values map[string]any, gauges ...string) *Settings { return &Settings{values, gauges} }

// FromLines reads the flat form: a line for each setting, its path and its value parted by "=".
func FromLines(info string) (*Settings, error) {
	r := reader{settings: &Settings{Values: map[string]any{}}}
	for line := range strings.SplitSeq(info, "\n") {
		if name, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			r.take(name, value)
		}
	}
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return r.settings, nil
}

// FromJSON reads the nested form. The error joins all faults: what can't be read, and what is out of range.
func FromJSON(raw []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // a span of microseconds stays the whole number it was written as
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("settings: more than one JSON value")
	}
	r := reader{settings: &Settings{Values: map[string]any{}}, strict: true}
	r.walk("", tree)
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return r.settings, nil
}

// reader files settings and keeps what is wrong with them.
type reader struct {
	settings *Settings
	strict   bool // a value out of range is a fault. The simulator's own lines are taken as they come
	faults   []error
}

func (r *reader) fault(name, words string, of ...any) {
	r.faults = append(r.faults, fmt.Errorf("setting %s: %s", name, fmt.Sprintf(words, of...)))
}

// walk goes down the nested form and takes each value by the path that it has in the flat form.
func (r *reader) walk(path string, node any) {
	at := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	_, list := lists[path]
	switch v := node.(type) {
	case map[string]any:
		if list { // its count would be whatever stands there
			r.fault(path, "is no list")
			return
		}
		for _, name := range slices.Sorted(maps.Keys(v)) { // in one order, so that faults come in one
			r.walk(at(name), v[name])
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			switch item.(type) {
			case map[string]any:
				r.walk(at(strconv.Itoa(i)), item)
			case nil:
				plain = append(plain, "") // its place counts, and it states nothing
			default:
				plain = append(plain, fmt.Sprint(item))
			}
		}
		if len(v) > 0 && len(plain) == 0 {
			r.take(at("count"), strconv.Itoa(len(v)))
			return
		}
		if list && len(v) > 0 {
			r.fault(path, "holds what is no object")
			return
		}
		r.take(path, strings.Join(plain, ","))
	case nil:
	default:
		if path == "" || list {
			r.fault(path, "%v is no %s", v, map[bool]string{true: "list", false: "object"}[list])
			return
		}
		r.take(path, fmt.Sprint(v))
	}
}

// take files one setting. Those the tables don't know are passed over.
func (r *reader) take(name, value string) {
	if name == "extra.gauges" {
		r.settings.gauges = strings.Split(value, ",")
		return
	}
	if w, known := plain[name]; known {
		r.put(w, w.ours, name, value)
		return
	}
	if w, known := rows[name]; known && value != "" {
		for i, item := range strings.Split(value, ",") {
			if item != "" {
				r.put(w, fmt.Sprintf("type.%d.%s", i, w.ours), name, item)
			}
		}
		return
	}
	parts := strings.SplitN(name, ".", 3)
	if len(parts) != 3 {
		return
	}
	if w, known := listed[parts[0]][parts[2]]; known {
		r.put(w, lists[parts[0]]+"."+parts[1]+"."+w.ours, name, value)
	}
}

// Gauges puts readings, in the order that the settings name, under our names. Where fewer come than were
// named, the rest keep what they had.
func (t *Settings) Gauges(into *admission.Gauges, readings []float64) {
	for i, name := range t.gauges[:min(len(readings), len(t.gauges))] {
		switch name {
		case "core_use":
			into.CPU = readings[i]
		case "on_cores":
			into.Runnable = readings[i]
		case "heap_share":
			into.Memory = readings[i]
		case "links":
			into.Connections = readings[i]
		}
	}
}

// Occupied are the readings of what is taken of the machine: all that wants a core, and the share of memory in use.
// complete is false where the settings do not name both, or too few readings came.
func (t *Settings) Occupied(readings []float64) (onCores, memory float64, complete bool) {
	cores, heap := slices.Index(t.gauges, "on_cores"), slices.Index(t.gauges, "heap_share")
	if cores < 0 || heap < 0 || max(cores, heap) >= len(readings) {
		return 0, 0, false
	}
	return readings[cores], readings[heap], true
}

// put files a value under our name for it.
func (r *reader) put(w word, ours, name, value string) {
	var plain float64 // the value as a number
	var filed any
	switch w.kind {
	case number:
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			r.fault(name, "%s is no number", value)
			return
		}
		plain, filed = v, v
	case span:
		v, took := microseconds(value)
		if !took {
			r.fault(name, "%s is no whole number of microseconds", value)
			return
		}
		plain, filed = v, spanOf(v)
		if w.ours == "contract-time" {
			filed = max(spanOf(v), time.Microsecond) // decisions look at parts of it, and there is none of nothing
		}
	case flag:
		v, err := strconv.ParseBool(value)
		if err != nil {
			r.fault(name, "%s is neither true nor false", value)
			return
		}
		filed = v
	case text:
		filed = value
		if theirs, known := words[w.ours]; known && r.strict && !slices.Contains(theirs, value) {
			r.fault(name, "%s is none of %v", value, theirs)
			return
		}
		if w.ours == "repeats" { // and nothing else: a type may well be named like one of them
			if known, is := repeats[value]; is {
				filed = known
			}
		}
	}
	if why := w.holds.broken(plain); why != "" && r.strict {
		r.fault(name, "%s is %s", value, why)
		return
	}
	r.settings.Values[ours] = filed
}
