package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"quartzpoint/admission"
)

// Keys of the platform's lists of objects.
const (
	listRoutes  = "services"
	listTenants = "tenants"
)

// Fault is an error in one setting.
type Fault struct {
	Key     string // the platform's key
	Problem string
}

func (f *Fault) Error() string { return "setting " + f.Key + ": " + f.Problem }

// FromLines decodes the flat form: one line for each setting, with its path and its value separated by "=". Values out
// of range are accepted, because the simulator uses them. The error joins a *Fault for each setting that cannot be
// parsed.
func FromLines(info string) (*Settings, error) {
	d := newDecoder(false)
	for line := range strings.SplitSeq(info, "\n") {
		if key, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			d.take(key, value)
		}
	}
	return d.finish()
}

// FromJSON decodes the nested form. The error joins a *Fault for each setting that cannot be parsed or is out of range.
func FromJSON(raw []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps microseconds as the whole number in the text
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("settings: the text has more than one JSON value")
	}
	d := newDecoder(true)
	d.walk("", tree)
	return d.finish()
}

// decoder collects settings and their faults.
type decoder struct {
	settings    *Settings
	routes      map[int]*admission.Route
	tenants     map[int]*admission.Tenant
	routeCount  float64
	tenantCount float64
	strict      bool // values out of range are faults
	faults      []error
}

func newDecoder(strict bool) *decoder {
	return &decoder{
		settings: &Settings{
			Admission: admission.DefaultSettings(), stated: map[string]string{}, adjustable: map[string]string{},
		},
		routes: map[int]*admission.Route{}, tenants: map[int]*admission.Tenant{}, strict: strict,
	}
}

func (d *decoder) fault(key, format string, args ...any) {
	d.faults = append(d.faults, &Fault{key, fmt.Sprintf(format, args...)})
}

// finish returns the settings with the lists of routes and tenants, or an error that joins all faults.
func (d *decoder) finish() (*Settings, error) {
	if len(d.faults) > 0 {
		return nil, errors.Join(d.faults...)
	}
	for i := range int(d.routeCount) {
		route := admission.DefaultRoute()
		if stated := d.routes[i]; stated != nil {
			route = *stated
		}
		d.settings.Admission.Routes = append(d.settings.Admission.Routes, route)
	}
	for i := range int(d.tenantCount) {
		tenant := admission.DefaultTenant()
		if stated := d.tenants[i]; stated != nil {
			tenant = *stated
		}
		d.settings.Admission.Tenants = append(d.settings.Admission.Tenants, tenant)
	}
	return d.settings, nil
}

// walk traverses the nested form and decodes each value under the path that it has in the flat form.
func (d *decoder) walk(path string, node any) {
	isList := path == listRoutes || path == listTenants
	switch v := node.(type) {
	case map[string]any:
		if isList { // as an object, the list could set its own count
			d.fault(path, "is not a list")
			return
		}
		for _, name := range slices.Sorted(maps.Keys(v)) { // sorted, so that faults have a fixed order
			d.walk(join(path, name), v[name])
		}
	case []any:
		d.walkList(path, v, isList)
	case nil:
	default:
		if isList {
			d.fault(path, "%v is not a list", v)
			return
		}
		if path == "" {
			d.fault(path, "%v is not an object", v)
			return
		}
		d.take(path, fmt.Sprint(v))
	}
}

// walkList decodes a list of objects item by item, and a list of plain values as a row separated by commas.
func (d *decoder) walkList(path string, items []any, ofObjects bool) {
	plain := make([]string, 0, len(items))
	for i, item := range items {
		switch item.(type) {
		case map[string]any:
			d.walk(join(path, strconv.Itoa(i)), item)
		case nil:
			plain = append(plain, "") // sets nothing, but keeps the index of the items after it
		default:
			plain = append(plain, fmt.Sprint(item))
		}
	}
	switch {
	case len(items) > 0 && len(plain) == 0:
		d.take(join(path, "count"), strconv.Itoa(len(items)))
	case ofObjects && len(items) > 0:
		d.fault(path, "has an item that is not an object")
	default:
		d.take(path, strings.Join(plain, ","))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// take decodes and stores one setting by its path. Unknown keys are ignored.
func (d *decoder) take(key, text string) {
	switch key {
	case keyGauges:
		d.settings.gauges = strings.Split(text, ",")
		return
	case keyRouteCount:
		d.routeCount = d.count(key, text)
		return
	case keyTenantCount:
		d.tenantCount = d.count(key, text)
		return
	}
	if s, known := serverKeys[key]; known {
		put(d, s, d.settings, key, key, text, d.settings.stated)
		return
	}
	if s, known := adjustableKeys[key]; known {
		put(d, s, &d.settings.Admission, key, key, text, d.settings.adjustable)
		return
	}
	if s, known := routeRows[key]; known && text != "" {
		for i, item := range strings.Split(text, ",") {
			if item != "" {
				put(d, s, d.route(i), key, fmt.Sprintf("%s.%d", key, i), item, d.settings.stated)
			}
		}
		return
	}
	d.takeListed(key, text)
}

// takeListed decodes a setting of a list item, whose path consists of list, index and name.
func (d *decoder) takeListed(key, text string) {
	parts := strings.SplitN(key, ".", 3)
	if len(parts) != 3 {
		return
	}
	place, err := strconv.Atoi(parts[1])
	if err != nil {
		return
	}
	switch parts[0] {
	case listRoutes:
		if s, known := routeKeys[parts[2]]; known {
			put(d, s, d.route(place), key, key, text, d.settings.stated)
			d.spellIdempotency(key, parts[2])
		}
	case listTenants:
		if s, known := tenantKeys[parts[2]]; known {
			put(d, s, d.tenant(place), key, key, text, d.settings.stated)
		}
	}
}

// spellIdempotency replaces the recorded idempotency of a route by the spelling that the digest uses.
func (d *decoder) spellIdempotency(key, name string) {
	stated, is := d.settings.stated[key]
	if kind, known := idempotencies[stated]; is && name == "idempotency" && known {
		d.settings.stated[key] = digestIdempotency[kind]
	}
}

func (d *decoder) route(place int) *admission.Route {
	if d.routes[place] == nil {
		route := admission.DefaultRoute()
		d.routes[place] = &route
	}
	return d.routes[place]
}

func (d *decoder) tenant(place int) *admission.Tenant {
	if d.tenants[place] == nil {
		tenant := admission.DefaultTenant()
		d.tenants[place] = &tenant
	}
	return d.tenants[place]
}

// count parses the length of a list.
func (d *decoder) count(key, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		d.fault(key, "%s is not a number", text)
	case d.strict && (math.IsNaN(n) || math.IsInf(n, 0)):
		d.fault(key, "%s is %s", text, anything.problem(n))
	default:
		d.settings.stated[key] = fmt.Sprint(n)
	}
	return n
}

// put parses and checks a value, stores it and records its spelling under the key statedAs.
func put[T any](d *decoder, s setting[T], into *T, key, statedAs, text string, stated map[string]string) {
	v, spelling, problem := s.read(text)
	if problem != "" {
		d.fault(key, "%s", problem)
		return
	}
	if d.strict {
		if problem := s.check(v, text); problem != "" {
			d.fault(key, "%s", problem)
			return
		}
	}
	if s.store != nil {
		s.store(into, v)
	}
	stated[statedAs] = spelling
}

// read parses the text of a value. spelling is the value in its canonical spelling, and problem is "" if the text is
// valid.
func (s setting[T]) read(text string) (v value, spelling, problem string) {
	switch s.kind {
	case kindNumber:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return v, "", text + " is not a number"
		}
		return value{number: n}, fmt.Sprint(n), ""
	case kindDuration:
		n, whole := microseconds(text)
		if !whole {
			return v, "", text + " is not a whole number of microseconds"
		}
		v = value{number: n, duration: spanOf(n)}
		if s.minimum > 0 {
			v.duration = max(v.duration, s.minimum)
		}
		return v, v.duration.String(), ""
	case kindFlag:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return v, "", text + " is neither true nor false"
		}
		return value{flag: b}, strconv.FormatBool(b), ""
	case kindText:
	}
	return value{text: text}, text, ""
}

// check returns why a value is not allowed, or "" if it is.
func (s setting[T]) check(v value, text string) string {
	if s.allow != nil && !slices.Contains(s.allow, text) {
		return fmt.Sprintf("%s is not one of %v", text, s.allow)
	}
	if problem := s.bounds.problem(v.number); problem != "" {
		return text + " is " + problem
	}
	return ""
}
