package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

const (
	// maxViolations limits how many violations of one change are reported: an arbitrary file may have thousands.
	maxViolations = 256

	maxMicroseconds = 10 * 365 * 24 * 3600 * 1e6 // ten years, the bound of the platform's settings
	maxValue        = 1e9
	maxQuotaRPS     = 1e9
)

// Violation is one rule that a change violates. Its texts are part of the response to the client.
type Violation struct {
	Key     string `json:"key"`             // path of the entry, such as "routes.NAME.deadline"
	Value   string `json:"value,omitempty"` // as given in the change; empty if there is none
	Allowed string `json:"allowed"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	if v.Value == "" {
		return v.Key + ": " + v.Allowed
	}
	return v.Key + " = " + v.Value + ": " + v.Allowed
}

// ValidationError reports why a change is rejected: all its violations, sorted by key.
type ValidationError struct {
	Violations []Violation `json:"faults"`
}

// Error returns the violations, one on each line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "\n")
}

// Validate returns a *ValidationError with all violations of a change to this document, or nil.
func (d *Document) Validate(change Change) error {
	v := &validator{}
	if len(change.ID) > MaxIDBytes {
		v.add("id", nil, fmt.Sprintf("%d bytes at most are allowed", MaxIDBytes))
	}
	if change.Base != nil && *change.Base != d.Version {
		v.add("base", *change.Base, fmt.Sprintf("is not the newest version, which is %d", d.Version))
	}
	if len(change.Routes)+len(change.Tenants) == 0 && !change.ReplaceAll {
		v.add("routes", nil, "neither routes nor tenants are named")
	}
	routes := validateTable(v, "routes", d.Routes, change.Routes, change.ReplaceAll, v.checkRoute)
	tenants := validateTable(v, "tenants", d.Tenants, change.Tenants, change.ReplaceAll, v.checkTenant)
	if routes == 0 {
		v.add("routes", nil, "none would be left; one at least is needed")
	}
	v.checkRange("routes", float64(routes), 0, MaxRoutes)
	v.checkRange("tenants", float64(tenants), 0, MaxTenants)
	return v.err()
}

// validateTable checks the part of a change that concerns one table, and returns the number of entries after the
// change.
func validateTable[T any](
	v *validator, kind string, table map[string]T, change map[string]*T, replaceAll bool, check func(string, *T),
) int {
	count := len(table)
	if replaceAll {
		count = 0
	}
	for name, value := range change {
		check(name, value)
		_, exists := table[name]
		switch {
		case value == nil && !exists:
			v.add(kind+"."+name, nil, "is to be removed and is not there")
		case value == nil && !replaceAll:
			count--
		case value != nil && (replaceAll || !exists):
			count++
		}
	}
	return count
}

// validator collects the violations of a change.
type validator struct{ violations []Violation }

func (v *validator) add(key string, value any, allowed string) {
	violation := Violation{Key: key, Allowed: allowed}
	if value != nil {
		violation.Value = fmt.Sprint(value)
	}
	v.violations = append(v.violations, violation)
}

// err returns the violations as an error, sorted and cut off after maxViolations, or nil if there are none.
func (v *validator) err() error {
	if len(v.violations) == 0 {
		return nil
	}
	slices.SortFunc(v.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Allowed, b.Allowed))
	})
	if len(v.violations) > maxViolations {
		v.violations = append(v.violations[:maxViolations], Violation{Key: "", Allowed: "and more faults than are told"})
	}
	return &ValidationError{Violations: v.violations}
}

func (v *validator) checkRange(key string, value, low, high float64) {
	if !(value >= low && value <= high) { // also rejects NaN
		v.add(key, value, fmt.Sprintf("from %g to %g is allowed", low, high))
	}
}

func (v *validator) checkName(kind, name string) {
	invalid := func(r rune) bool { return unicode.IsControl(r) || r == unicode.ReplacementChar }
	if name == "" || len(name) > MaxNameBytes || strings.ContainsFunc(name, invalid) {
		v.add(kind+"."+fmt.Sprintf("%.40q", name), nil, fmt.Sprintf("a name of 1 to %d bytes of text is allowed", MaxNameBytes))
	}
}

func (v *validator) checkRoute(name string, route *Route) {
	prefix := "routes." + name + "."
	v.checkName("routes", name)
	if route == nil {
		return
	}
	v.checkRange(prefix+"goal-time", float64(route.LatencyTarget), 1, maxMicroseconds)
	v.checkRange(prefix+"deadline", float64(route.Deadline), 1, maxMicroseconds)
	v.checkRange(prefix+"gain", route.Value, 0, maxValue)
	v.checkRange(prefix+"late-value", route.LateValueShare, 0, 1)
	v.checkRange(prefix+"skip-worth", route.SkipValueShare, 0, 1)
	v.checkRange(prefix+"dedup-window", float64(route.DedupWindow), 0, maxMicroseconds)
	kinds := []Idempotency{Retryable, Keyed, AtMostOnce}
	if !slices.Contains(kinds, route.Idempotency) {
		v.add(prefix+"idempotency", fmt.Sprintf("%q", route.Idempotency), fmt.Sprintf("one of %v is allowed", kinds))
	}
	if route.Idempotency == Keyed && route.DedupWindow == 0 {
		v.add(prefix+"dedup-window", nil, "is needed where idempotency is dedup")
	}
}

func (v *validator) checkTenant(name string, tenant *Tenant) {
	prefix := "tenants." + name + "."
	v.checkName("tenants", name)
	if tenant == nil {
		return
	}
	v.checkRange(prefix+"quota-rps", tenant.QuotaRPS, 0, maxQuotaRPS)
	v.checkRange(prefix+"fraction", tenant.TrafficShare, 0, 1)
}
