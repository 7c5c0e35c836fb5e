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
	MaxRoutes  = 1 << 14
	MaxTenants = 1 << 18
	MaxName    = 128     // bytes of the name of a route or tenant
	MaxID      = 64      // bytes of a change's id
	MaxChange  = 8 << 20 // bytes of a change as it is sent
	maxFaults  = 256     // told of one change; a file that is no change at all has more
)

// Idempotency says whether a request of a route may be run again, in the words of the platform's settings.
type Idempotency string

// The kinds.
const (
	Retryable Idempotency = "retryable"
	Keyed     Idempotency = "dedup"
	Fragile   Idempotency = "fragile"
)

// Route is what is stated of a route, by the names of the platform's settings. Times are in microseconds.
type Route struct {
	LatencyTarget int64       `json:"goal-time" cbor:"1,keyasint"`
	Deadline      int64       `json:"deadline" cbor:"2,keyasint"`
	Value         float64     `json:"gain" cbor:"3,keyasint"`
	LateValue     float64     `json:"late-value" cbor:"4,keyasint,omitempty"` // share of the value
	Idempotency   Idempotency `json:"idempotency" cbor:"5,keyasint"`
	Window        int64       `json:"dedup-window" cbor:"6,keyasint,omitempty"`
	Calls         bool        `json:"calls" cbor:"7,keyasint,omitempty"`      // the shared dependency
	SkipValue     float64     `json:"skip-worth" cbor:"8,keyasint,omitempty"` // share of the value without the call
}

// Tenant is what is stated of a tenant.
type Tenant struct {
	Rate  float64 `json:"quota-rps" cbor:"1,keyasint"` // requests a second over the whole fleet
	Share float64 `json:"fraction" cbor:"2,keyasint,omitempty"`
}

// Change is what is asked for. A route or tenant without a value (null) is removed.
type Change struct {
	ID      string             `json:"id,omitempty"`    // the same for a change that is sent twice, which is then accepted once
	Base    *uint64            `json:"base,omitempty"`  // the version it was made on; without it, any
	Whole   bool               `json:"whole,omitempty"` // what it does not name is removed
	Routes  map[string]*Route  `json:"routes,omitempty"`
	Tenants map[string]*Tenant `json:"tenants,omitempty"`
}

// Fault is one thing that is wrong with a change.
type Fault struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// String is the fault in one line.
func (f Fault) String() string {
	if f.Value == "" {
		return f.Key + ": " + f.Allowed
	}
	return f.Key + " = " + f.Value + ": " + f.Allowed
}

// Refusal is why a change is not accepted: every fault of it, by key.
type Refusal struct {
	Faults []Fault `json:"faults"`
}

// Error lists the faults, a line each.
func (r *Refusal) Error() string {
	lines := make([]string, len(r.Faults))
	for i, f := range r.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// checker gathers the faults of a change.
type checker struct{ faults []Fault }

func (c *checker) fault(key string, value any, allowed string) {
	f := Fault{Key: key, Allowed: allowed}
	if value != nil {
		f.Value = fmt.Sprint(value)
	}
	c.faults = append(c.faults, f)
}

// number sees that a value lies between two bounds.
func (c *checker) number(key string, value, low, high float64) {
	if !(value >= low && value <= high) { // not a number is neither
		c.fault(key, value, fmt.Sprintf("from %g to %g is allowed", low, high))
	}
}

func (c *checker) name(kind, name string) {
	badRune := func(r rune) bool { return unicode.IsControl(r) || r == unicode.ReplacementChar }
	if name == "" || len(name) > MaxName || strings.ContainsFunc(name, badRune) {
		c.fault(kind+"."+fmt.Sprintf("%.40q", name), nil, fmt.Sprintf("a name of 1 to %d bytes of text is allowed", MaxName))
	}
}

const (
	maxSpan  = 10 * 365 * 24 * 3600 * 1e6 // microseconds, as the platform's settings are bounded
	maxValue = 1e9
	maxRate  = 1e9
)

func (c *checker) route(name string, r *Route) {
	at := "routes." + name + "."
	c.name("routes", name)
	if r == nil {
		return
	}
	c.number(at+"goal-time", float64(r.LatencyTarget), 1, maxSpan)
	c.number(at+"deadline", float64(r.Deadline), 1, maxSpan)
	c.number(at+"gain", r.Value, 0, maxValue)
	c.number(at+"late-value", r.LateValue, 0, 1)
	c.number(at+"skip-worth", r.SkipValue, 0, 1)
	c.number(at+"dedup-window", float64(r.Window), 0, maxSpan)
	kinds := []Idempotency{Retryable, Keyed, Fragile}
	if !slices.Contains(kinds, r.Idempotency) {
		c.fault(at+"idempotency", fmt.Sprintf("%q", r.Idempotency), fmt.Sprintf("one of %v is allowed", kinds))
	}
	if r.Idempotency == Keyed && r.Window == 0 {
		c.fault(at+"dedup-window", nil, "is needed where idempotency is dedup")
	}
}

func (c *checker) tenant(name string, t *Tenant) {
	at := "tenants." + name + "."
	c.name("tenants", name)
	if t == nil {
		return
	}
	c.number(at+"quota-rps", t.Rate, 0, maxRate)
	c.number(at+"fraction", t.Share, 0, 1)
}

// Check tells everything that keeps a change from being accepted, or nothing.
func (d *Document) Check(change Change) error {
	c := &checker{}
	if len(change.ID) > MaxID {
		c.fault("id", nil, fmt.Sprintf("%d bytes at most are allowed", MaxID))
	}
	if change.Base != nil && *change.Base != d.Version {
		c.fault("base", *change.Base, fmt.Sprintf("is not the newest version, which is %d", d.Version))
	}
	if len(change.Routes)+len(change.Tenants) == 0 && !change.Whole {
		c.fault("routes", nil, "neither routes nor tenants are named")
	}
	routes := checkTable(c, "routes", d.Routes, change.Routes, change.Whole, c.route)
	tenants := checkTable(c, "tenants", d.Tenants, change.Tenants, change.Whole, c.tenant)
	if routes == 0 {
		c.fault("routes", nil, "none would be left; one at least is needed")
	}
	c.number("routes", float64(routes), 0, MaxRoutes)
	c.number("tenants", float64(tenants), 0, MaxTenants)
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortFunc(c.faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Allowed, b.Allowed)) })
	if len(c.faults) > maxFaults {
		c.faults = append(c.faults[:maxFaults], Fault{Key: "", Allowed: "and more faults than are told"})
	}
	return &Refusal{Faults: c.faults}
}

// checkTable looks at what a change says of one table, and gives how many entries that would have.
func checkTable[T any](c *checker, kind string, table map[string]T, change map[string]*T, whole bool, one func(string, *T)) int {
	count := len(table)
	if whole {
		count = 0
	}
	for name, value := range change {
		one(name, value)
		_, there := table[name]
		switch {
		case value == nil && !there:
			c.fault(kind+"."+name, nil, "is to be removed and is not there")
		case value == nil && !whole:
			count--
		case value != nil && (whole || !there):
			count++
		}
	}
	return count
}
