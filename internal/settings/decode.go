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
	"quartzpoint/saturate"
)

// Keys of the platform's lists of objects.
const (
	listRoutes  = "services"
	listTenants = "tenants"
)

// maxListLength is the maximum number of items of a list.
const maxListLength = 1 << 18

// FieldError is an error in one setting.
type FieldError struct {
	Key     string // the platform's key
	Problem string
}

func (f *FieldError) Error() string { return "setting " + f.Key + ": " + f.Problem }

// FromLines decodes the flat form: one line for each setting, with its path and its value separated by "=". Values out
// of range are accepted, because the simulator uses them. The error joins a *FieldError for each setting that cannot be
// parsed.
func FromLines(info string) (*Settings, error) {
	d := newDecoder(false)
	for line := range strings.SplitSeq(info, "\n") {
		if key, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			d.decodeSetting(key, value)
		}
	}
	return d.finish()
}

// FromJSON decodes the nested form. The error joins a *FieldError for each setting that cannot be parsed or is out of
// range.
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

// decoder collects settings and the errors in them.
type decoder struct {
	settings    *Settings
	routes      map[int]*admission.Route
	tenants     map[int]*admission.Tenant
	routeCount  float64
	tenantCount float64
	strict      bool // values out of range are errors
	errs        []error
}

func newDecoder(strict bool) *decoder {
	return &decoder{
		settings: &Settings{
			Admission: admission.DefaultSettings(), fixed: map[string]string{}, adjustable: map[string]string{},
		},
		routes: map[int]*admission.Route{}, tenants: map[int]*admission.Tenant{}, strict: strict,
	}
}

func (d *decoder) addError(key, format string, args ...any) {
	d.errs = append(d.errs, &FieldError{key, fmt.Sprintf(format, args...)})
}

// finish returns the settings with the lists of routes and tenants, or an error that joins all FieldErrors.
func (d *decoder) finish() (*Settings, error) {
	if len(d.errs) > 0 {
		return nil, errors.Join(d.errs...)
	}
	for i := range saturate.Int(d.routeCount) {
		route := admission.DefaultRoute()
		if decoded := d.routes[i]; decoded != nil {
			route = *decoded
		}
		d.settings.Admission.Routes = append(d.settings.Admission.Routes, route)
	}
	for i := range saturate.Int(d.tenantCount) {
		tenant := admission.DefaultTenant()
		if decoded := d.tenants[i]; decoded != nil {
			tenant = *decoded
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
			d.addError(path, "is not a list")
			return
		}
		for _, name := range slices.Sorted(maps.Keys(v)) { // sorted, so that errors have a fixed order
			d.walk(join(path, name), v[name])
		}
	case []any:
		d.walkList(path, v, isList)
	case nil:
	default:
		if isList {
			d.addError(path, "%v is not a list", v)
			return
		}
		if path == "" {
			d.addError(path, "%v is not an object", v)
			return
		}
		d.decodeSetting(path, fmt.Sprint(v))
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
		d.decodeSetting(join(path, "count"), strconv.Itoa(len(items)))
	case ofObjects && len(items) > 0:
		d.addError(path, "has an item that is not an object")
	default:
		d.decodeSetting(path, strings.Join(plain, ","))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// decodeSetting decodes and stores one setting by its path. Unknown keys are ignored.
func (d *decoder) decodeSetting(key, text string) {
	switch key {
	case keyGauges:
		d.settings.readingNames = strings.Split(text, ",")
		return
	case keyRouteCount:
		d.routeCount = d.count(key, text)
		return
	case keyTenantCount:
		d.tenantCount = d.count(key, text)
		return
	}
	if s, known := serverKeys[key]; known {
		decodeValue(d, s, d.settings, key, key, text, d.settings.fixed)
		return
	}
	if s, known := adjustableKeys[key]; known {
		decodeValue(d, s, &d.settings.Admission, key, key, text, d.settings.adjustable)
		return
	}
	if s, known := routeRows[key]; known && text != "" {
		for i, item := range strings.Split(text, ",") {
			if item != "" {
				decodeValue(d, s, d.route(i), key, fmt.Sprintf("%s.%d", key, i), item, d.settings.fixed)
			}
		}
		return
	}
	d.decodeListItem(key, text)
}

// decodeListItem decodes a setting of a list item, whose path consists of list, index and name.
func (d *decoder) decodeListItem(key, text string) {
	parts := strings.SplitN(key, ".", 3)
	if len(parts) != 3 {
		return
	}
	index, err := strconv.Atoi(parts[1])
	if err != nil {
		return
	}
	switch parts[0] {
	case listRoutes:
		if s, known := routeKeys[parts[2]]; known {
			decodeValue(d, s, d.route(index), key, key, text, d.settings.fixed)
			d.normalizeIdempotency(key, parts[2])
		}
	case listTenants:
		if s, known := tenantKeys[parts[2]]; known {
			decodeValue(d, s, d.tenant(index), key, key, text, d.settings.fixed)
		}
	}
}

// normalizeIdempotency replaces the recorded idempotency of a route by the spelling that the digest uses.
func (d *decoder) normalizeIdempotency(key, name string) {
	spelling, given := d.settings.fixed[key]
	if kind, known := idempotencies[spelling]; given && name == "idempotency" && known {
		d.settings.fixed[key] = digestIdempotency[kind]
	}
}

func (d *decoder) route(index int) *admission.Route {
	if d.routes[index] == nil {
		route := admission.DefaultRoute()
		d.routes[index] = &route
	}
	return d.routes[index]
}

func (d *decoder) tenant(index int) *admission.Tenant {
	if d.tenants[index] == nil {
		tenant := admission.DefaultTenant()
		d.tenants[index] = &tenant
	}
	return d.tenants[index]
}

// count parses the length of a list.
func (d *decoder) count(key, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		d.addError(key, "%s is not a number", text)
	case d.strict && (math.IsNaN(n) || math.IsInf(n, 0)):
		d.addError(key, "%s is %s", text, anyFinite.problem(n))
	case n > maxListLength:
		d.addError(key, "%s is more than %d", text, maxListLength)
	default:
		d.settings.fixed[key] = fmt.Sprint(n)
	}
	return n
}

// decodeValue parses and checks a value, stores it and records its spelling in recorded under recordedKey.
func decodeValue[T any](d *decoder, s setting[T], into *T, key, recordedKey, text string, recorded map[string]string) {
	v, spelling, problem := s.read(text)
	if problem != "" {
		d.addError(key, "%s", problem)
		return
	}
	if d.strict {
		if problem := s.check(v, text); problem != "" {
			d.addError(key, "%s", problem)
			return
		}
	}
	if s.store != nil {
		s.store(into, v)
	}
	recorded[recordedKey] = spelling
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
		n, whole := parseMicroseconds(text)
		if !whole {
			return v, "", text + " is not a whole number of microseconds"
		}
		v = value{number: n, duration: boundedDuration(n)}
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
	if s.allowed != nil && !slices.Contains(s.allowed, text) {
		return fmt.Sprintf("%s is not one of %v", text, s.allowed)
	}
	if problem := s.bounds.problem(v.number); problem != "" {
		return text + " is " + problem
	}
	return ""
}
