// Package terms turns the settings a server is started under into the names and values that its decisions
// know. One table serves the flat lines of the simulator's wire and the nested JSON of a configuration.
package terms

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"quartzpoint/choice"
)

type kind int

const (
	number kind = iota
	span
	flag
	text
)

type word struct {
	ours string
	kind kind
}

// plain holds the settings that stand alone, by the wire's name.
var plain = map[string]word{
	"extra.cores":                     {"cores", number},
	"extra.ram-kb":                    {"memory-kb", number},
	"extra.run-factor":                {"running-factor", number},
	"extra.key-kb":                    {"number-kb", number},
	"extra.cold":                      {"cold", flag},
	"extra.advert":                    {"advert", text},
	"extra.halt":                      {"halt", text},
	"extra.below":                     {"below", text},
	"extra.calls-out":                 {"calls-share", number},
	"extra.calls-over":                {"calls-over", span},
	"extra.lingers":                   {"calls-linger", span},
	"extra.heeded":                    {"heeded", span},
	"extra.idle":                      {"idle", span},
	"extra.upstreams":                 {"routers", number},
	"extra.tells-gone":                {"tells-gone", flag},
	"extra.passes-deadline":           {"tells-due", flag},
	"extra.deep-checks":               {"deep-checks", flag},
	"extra.readiness":                 {"list-follows-health", flag},
	"limits.retry-after":              {"come-back", flag},
	"limits.max-retry-after":          {"come-back-most", span},
	"obligations.cold-share":          {"cold-share", number},
	"obligations.warm-up":             {"warm-up", span},
	"obligations.fall":                {"crowd-over", span},
	"obligations.overload-factor":     {"crowd", number},
	"obligations.stop-sending-within": {"grace", span},
	"obligations.grace-to-answer":     {"answer-slack", span},
	"over-share-worth":                {"over-share", number},
	"value-by":                        {"importance-by", text},
	"servers":                         {"servers", number},
	"tick":                            {"tick", span},
	"scoring-mix.whole":               {"weight-whole", number},
	"scoring-mix.worst-window":        {"weight-window", number},
	"scoring-mix.worst-class":         {"weight-type", number},
	"scoring-mix.worst-tenant":        {"weight-customer", number},
	"prices.waste":                    {"price-waste", number},
	"prices.late-fail":                {"price-late", number},
	"prices.handshake":                {"price-connection", number},
	"services.count":                  {"types", number},
	"tenants.count":                   {"customers", number},
}

// listed holds the settings of list items: list, the wire's name, then ours; the position goes in between.
var listed = map[string]map[string]word{
	"services": {
		"gain":         {"importance", number},
		"late-value":   {"late-share", number},
		"goal-time":    {"contract-time", span},
		"deadline":     {"outer-limit", span},
		"dedup-window": {"window", span},
		"idempotency":  {"repeats", text},
		"name":         {"name", text},
	},
	"tenants": {
		"quota-rps": {"rate", number},
		"fraction":  {"share", number},
		"name":      {"name", text},
	},
}

// rows holds the settings that carry one value for each traffic type, parted by commas.
var rows = map[string]word{
	"extra.calls-by-class":   {"calls", flag},
	"extra.class-skip-worth": {"skip-share", number},
}

var lists = map[string]string{"services": "type", "tenants": "customer"}

var repeats = map[string]string{"retryable": "reissuable", "dedup": "numbered", "fragile": "at-most-once"}

// Terms are the settings in our words, and the server's gauges in the order in which readings come.
type Terms struct {
	Values map[string]any
	gauges []string
}

// Of are terms that are stated in our words already, with the gauges in the order in which readings come, each by
// its name in the settings.
func Of(values map[string]any, gauges ...string) *Terms { return &Terms{values, gauges} }

// FromLines reads the flat form: a line for each setting, its path and its value parted by "=".
func FromLines(info string) (*Terms, error) {
	t := &Terms{Values: map[string]any{}}
	for line := range strings.SplitSeq(info, "\n") {
		name, value, found := strings.Cut(strings.TrimSpace(line), "=")
		if !found {
			continue
		}
		if err := t.take(name, value); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// FromJSON reads the nested form.
func FromJSON(raw []byte) (*Terms, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // a span of microseconds stays the whole number it was written as
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("settings: more than one JSON value")
	}
	t := &Terms{Values: map[string]any{}}
	if err := t.walk("", tree); err != nil {
		return nil, err
	}
	return t, t.check()
}

// walk goes down the nested form and takes each value by the path that it has in the flat form.
func (t *Terms) walk(path string, node any) error {
	at := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch v := node.(type) {
	case map[string]any:
		for name, below := range v { // each path stands once, so the order decides nothing
			if err := t.walk(at(name), below); err != nil {
				return err
			}
		}
		return nil
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			if _, object := item.(map[string]any); !object {
				plain = append(plain, fmt.Sprint(item))
				continue
			}
			if err := t.walk(at(strconv.Itoa(i)), item); err != nil {
				return err
			}
		}
		if len(v) > 0 && len(plain) == 0 {
			return t.take(at("count"), strconv.Itoa(len(v)))
		}
		return t.take(path, strings.Join(plain, ","))
	case nil:
		return nil
	default:
		return t.take(path, fmt.Sprint(v))
	}
}

// take files one setting. Those the tables don't know are passed over.
func (t *Terms) take(name, value string) error {
	if name == "extra.gauges" {
		t.gauges = strings.Split(value, ",")
		return nil
	}
	if w, known := plain[name]; known {
		return put(t.Values, w.ours, w.kind, name, value)
	}
	if w, known := rows[name]; known && value != "" {
		for i, item := range strings.Split(value, ",") {
			if err := put(t.Values, fmt.Sprintf("type.%d.%s", i, w.ours), w.kind, name, item); err != nil {
				return err
			}
		}
		return nil
	}
	parts := strings.SplitN(name, ".", 3)
	if len(parts) != 3 {
		return nil
	}
	if w, known := listed[parts[0]][parts[2]]; known {
		return put(t.Values, lists[parts[0]]+"."+parts[1]+"."+w.ours, w.kind, name, value)
	}
	return nil
}

// Gauges puts readings, in the order that the settings name, under our names. Where fewer come than were
// named, the rest keep what they had.
func (t *Terms) Gauges(into *choice.Gauges, readings []float64) {
	for i, name := range t.gauges[:min(len(readings), len(t.gauges))] {
		switch name {
		case "core_use":
			into.CPU = readings[i]
		case "on_cores":
			into.Crowd = readings[i]
		case "heap_share":
			into.Memory = readings[i]
		case "links":
			into.Links = readings[i]
		}
	}
}

func put(terms map[string]any, ours string, k kind, name, value string) error {
	switch k {
	case number:
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("setting %s: %w", name, err)
		}
		terms[ours] = v
	case span:
		v, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("setting %s: %w", name, err)
		}
		terms[ours] = time.Duration(v) * time.Microsecond
	case flag:
		v, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("setting %s: %w", name, err)
		}
		terms[ours] = v
	case text:
		if ours, known := repeats[value]; known {
			value = ours
		}
		terms[ours] = value
	}
	return nil
}
