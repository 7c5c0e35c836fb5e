// Package configuration decides about the routes and tenants of a fleet as versioned changes: whether a change may be
// accepted, what the tables are behind it, and what a watcher of an older version lacks. It does no I/O and reads no
// clock.
//
// A Document is the tables at a version. A Change is what somebody asks for; an accepted one becomes a Delta, which
// takes a document of one version to the next and does nothing else. So a document is the same whether it was reached
// by deltas from the first one, or by deltas from any snapshot.
package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Bounds of a document and of a change.
const (
	MaxRoutes      = 1 << 14
	MaxTenants     = 1 << 18
	MaxNameBytes   = 128     // bytes of the name of a route or tenant
	MaxIDBytes     = 64      // bytes of a change's id
	MaxChangeBytes = 8 << 20 // bytes of a change as it is sent
	maxViolations  = 256     // told of one change; a file that is no change at all has more
)

// Idempotency says whether a request of a route may be run again, in the words of the platform's settings.
type Idempotency string

// The kinds.
const (
	Retryable  Idempotency = "retryable"
	Keyed      Idempotency = "dedup"
	AtMostOnce Idempotency = "fragile"
)

// Route is what is stated of a route, by the names of the platform's settings. Times are in microseconds.
type Route struct {
	LatencyTarget   int64       `json:"goal-time" cbor:"1,keyasint"`
	Deadline        int64       `json:"deadline" cbor:"2,keyasint"`
	Value           float64     `json:"gain" cbor:"3,keyasint"`
	LateValueShare  float64     `json:"late-value" cbor:"4,keyasint,omitempty"` // share of the value
	Idempotency     Idempotency `json:"idempotency" cbor:"5,keyasint"`
	DedupWindow     int64       `json:"dedup-window" cbor:"6,keyasint,omitempty"`
	CallsDependency bool        `json:"calls" cbor:"7,keyasint,omitempty"`      // the shared dependency
	SkipValueShare  float64     `json:"skip-worth" cbor:"8,keyasint,omitempty"` // share of the value without the call
}

// Tenant is what is stated of a tenant.
type Tenant struct {
	QuotaRPS  float64 `json:"quota-rps" cbor:"1,keyasint"` // requests a second over the whole fleet
	WorkShare float64 `json:"fraction" cbor:"2,keyasint,omitempty"`
}

// Change is what is asked for. A route or tenant without a value (null) is removed.
type Change struct {
	ID         string             `json:"id,omitempty"`    // the same for a change that is sent twice, which is then accepted once
	Base       *uint64            `json:"base,omitempty"`  // the version it was made on; without it, any
	ReplaceAll bool               `json:"whole,omitempty"` // what it does not name is removed
	Routes     map[string]*Route  `json:"routes,omitempty"`
	Tenants    map[string]*Tenant `json:"tenants,omitempty"`
}

// Violation is one thing that is wrong with a change.
type Violation struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// String is the fault in one line.
func (f Violation) String() string {
	if f.Value == "" {
		return f.Key + ": " + f.Allowed
	}
	return f.Key + " = " + f.Value + ": " + f.Allowed
}

// ValidationError is why a change is not accepted: every fault of it, by key.
type ValidationError struct {
	Violations []Violation `json:"faults"`
}

// Error lists the faults, a line each.
func (r *ValidationError) Error() string {
	lines := make([]string, len(r.Violations))
	for i, f := range r.Violations {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// validator gathers the faults of a change.
type validator struct{ violations []Violation }

func (v *validator) add(key string, value any, allowed string) {
	f := Violation{Key: key, Allowed: allowed}
	if value != nil {
		f.Value = fmt.Sprint(value)
	}
	v.violations = append(v.violations, f)
}

// checkRange sees that a value lies between two bounds.
func (v *validator) checkRange(key string, value, low, high float64) {
	if !(value >= low && value <= high) { // not a number is neither
		v.add(key, value, fmt.Sprintf("from %g to %g is allowed", low, high))
	}
}

func (v *validator) checkName(kind, name string) {
	badRune := func(r rune) bool { return unicode.IsControl(r) || r == unicode.ReplacementChar }
	if name == "" || len(name) > MaxNameBytes || strings.ContainsFunc(name, badRune) {
		v.add(kind+"."+fmt.Sprintf("%.40q", name), nil, fmt.Sprintf("a name of 1 to %d bytes of text is allowed", MaxNameBytes))
	}
}

const (
	maxMicroseconds = 10 * 365 * 24 * 3600 * 1e6 // microseconds, as the platform's settings are bounded
	maxValue        = 1e9
	maxQuotaRPS     = 1e9
)

func (v *validator) checkRoute(name string, r *Route) {
	at := "routes." + name + "."
	v.checkName("routes", name)
	if r == nil {
		return
	}
	v.checkRange(at+"goal-time", float64(r.LatencyTarget), 1, maxMicroseconds)
	v.checkRange(at+"deadline", float64(r.Deadline), 1, maxMicroseconds)
	v.checkRange(at+"gain", r.Value, 0, maxValue)
	v.checkRange(at+"late-value", r.LateValueShare, 0, 1)
	v.checkRange(at+"skip-worth", r.SkipValueShare, 0, 1)
	v.checkRange(at+"dedup-window", float64(r.DedupWindow), 0, maxMicroseconds)
	kinds := []Idempotency{Retryable, Keyed, AtMostOnce}
	if !slices.Contains(kinds, r.Idempotency) {
		v.add(at+"idempotency", fmt.Sprintf("%q", r.Idempotency), fmt.Sprintf("one of %v is allowed", kinds))
	}
	if r.Idempotency == Keyed && r.DedupWindow == 0 {
		v.add(at+"dedup-window", nil, "is needed where idempotency is dedup")
	}
}

func (v *validator) checkTenant(name string, t *Tenant) {
	at := "tenants." + name + "."
	v.checkName("tenants", name)
	if t == nil {
		return
	}
	v.checkRange(at+"quota-rps", t.QuotaRPS, 0, maxQuotaRPS)
	v.checkRange(at+"fraction", t.WorkShare, 0, 1)
}

// Validate tells everything that keeps a change from being accepted, or nothing.
func (d *Document) Validate(change Change) error {
	c := &validator{}
	if len(change.ID) > MaxIDBytes {
		c.add("id", nil, fmt.Sprintf("%d bytes at most are allowed", MaxIDBytes))
	}
	if change.Base != nil && *change.Base != d.Version {
		c.add("base", *change.Base, fmt.Sprintf("is not the newest version, which is %d", d.Version))
	}
	if len(change.Routes)+len(change.Tenants) == 0 && !change.ReplaceAll {
		c.add("routes", nil, "neither routes nor tenants are named")
	}
	routes := validateTable(c, "routes", d.Routes, change.Routes, change.ReplaceAll, c.checkRoute)
	tenants := validateTable(c, "tenants", d.Tenants, change.Tenants, change.ReplaceAll, c.checkTenant)
	if routes == 0 {
		c.add("routes", nil, "none would be left; one at least is needed")
	}
	c.checkRange("routes", float64(routes), 0, MaxRoutes)
	c.checkRange("tenants", float64(tenants), 0, MaxTenants)
	if len(c.violations) == 0 {
		return nil
	}
	slices.SortFunc(c.violations, func(a, b Violation) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Allowed, b.Allowed)) })
	if len(c.violations) > maxViolations {
		c.violations = append(c.violations[:maxViolations], Violation{Key: "", Allowed: "and more faults than are told"})
	}
	return &ValidationError{Violations: c.violations}
}

// validateTable looks at what a change says of one table, and gives how many entries that would have.
func validateTable[T any](c *validator, kind string, table map[string]T, change map[string]*T, replaceAll bool, one func(string, *T)) int {
	count := len(table)
	if replaceAll {
		count = 0
	}
	for name, value := range change {
		one(name, value)
		_, exists := table[name]
		switch {
		case value == nil && !exists:
			c.add(kind+"."+name, nil, "is to be removed and is not there")
		case value == nil && !replaceAll:
			count--
		case value != nil && (replaceAll || !exists):
			count++
		}
	}
	return count
}
