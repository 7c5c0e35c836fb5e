package settings

import (
	"strings"
	"time"

	"quartzpoint/admission"
)

// The platform's names of the worker pool's readings.
const (
	gaugeCPU         = "core_use"
	gaugeRunnable    = "on_cores"
	gaugeMemory      = "heap_share"
	gaugeConnections = "links"
)

// ReadingNames contains the names of all readings, in the order of admission.Gauges.
var ReadingNames = []string{gaugeCPU, gaugeRunnable, gaugeMemory, gaugeConnections}

// The platform's keys that are used outside the tables.
const (
	keyGauges           = "extra.gauges"
	keyCallsByClass     = "extra.calls-by-class"
	keySkipValueByClass = "extra.class-skip-worth"
	keyIdleTimeout      = "extra.idle"
	keyMemory           = "extra.ram-kb"
	keyValueBy          = "value-by"
	keyRouteCount       = "services.count"
	keyTenantCount      = "tenants.count"
	keyPreemption       = "extra.halt"
	keyShedLevelFormat  = "extra.advert"
)

// kind determines how the text of a setting is parsed.
type kind int

const (
	kindNumber   kind = iota
	kindDuration      // a whole number of microseconds
	kindFlag
	kindText
)

// value is the value of a setting. The field for its kind is set, and for a duration also number, in microseconds.
type value struct {
	number   float64
	duration time.Duration
	flag     bool
	text     string
}

// setting specifies how the value of one key is parsed and checked, and where it is stored in a T.
type setting[T any] struct {
	kind    kind
	bounds  bounds
	minimum time.Duration          // to which a shorter duration is raised
	allowed []string               // allowed texts; nil: any
	store   func(into *T, v value) // nil: the value is checked but not used
}

func numberOf[T any](within bounds, field func(*T) *float64) setting[T] {
	return setting[T]{kind: kindNumber, bounds: within, store: func(into *T, v value) { *field(into) = v.number }}
}

func durationOf[T any](within bounds, field func(*T) *time.Duration) setting[T] {
	return setting[T]{kind: kindDuration, bounds: within, store: func(into *T, v value) { *field(into) = v.duration }}
}

// atLeast returns the setting with a minimum to which shorter durations are raised.
func (s setting[T]) atLeast(minimum time.Duration) setting[T] {
	s.minimum = minimum
	return s
}

func flagOf[T any](field func(*T) *bool) setting[T] {
	return setting[T]{kind: kindFlag, store: func(into *T, v value) { *field(into) = v.flag }}
}

func textOf[T any](store func(*T, string), allowed ...string) setting[T] {
	return setting[T]{kind: kindText, allowed: allowed, store: func(into *T, v value) { store(into, v.text) }}
}

func checkedOnly[T any](k kind, within bounds) setting[T] { return setting[T]{kind: k, bounds: within} }

// serverKeys contains the settings that need a restart and are not part of a list or row.
var serverKeys = map[string]setting[Settings]{
	"extra.cores":                     numberOf(positive, func(s *Settings) *float64 { return &s.Admission.Cores }),
	keyMemory:                         numberOf(positive, func(s *Settings) *float64 { return &s.Admission.MemoryKB }),
	"extra.run-factor":                numberOf(nonNegative, func(s *Settings) *float64 { return &s.Admission.RunningMemoryFactor }),
	"extra.key-kb":                    numberOf(nonNegative, func(s *Settings) *float64 { return &s.Admission.KeyKB }),
	"extra.cold":                      flagOf(func(s *Settings) *bool { return &s.Admission.Cold }),
	"extra.below":                     textOf(func(s *Settings, v string) { s.Admission.CallsTier = v == "tier" }),
	"extra.calls-out":                 numberOf(nonNegative, func(s *Settings) *float64 { return &s.Admission.CallQuota }),
	"extra.calls-over":                durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.CallWindow }),
	"extra.lingers":                   durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.CallLinger }),
	keyIdleTimeout:                    durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.IdleTimeout }),
	"extra.tells-gone":                flagOf(func(s *Settings) *bool { return &s.RoutersReportCancel }),
	"extra.passes-deadline":           flagOf(func(s *Settings) *bool { return &s.RoutersSendDeadlines }),
	"limits.retry-after":              flagOf(func(s *Settings) *bool { return &s.Admission.RetryAfter }),
	"limits.max-retry-after":          durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.MaxRetryAfter }),
	"obligations.cold-share":          numberOf(fraction, func(s *Settings) *float64 { return &s.Admission.ColdSpeed }),
	"obligations.warm-up":             durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.WarmUp }),
	"obligations.overload-factor":     numberOf(positive, func(s *Settings) *float64 { return &s.Admission.MaxRunsPerCore }),
	"obligations.stop-sending-within": durationOf(nonNegative, func(s *Settings) *time.Duration { return &s.Admission.Grace }),
	"over-share-worth":                numberOf(fraction, func(s *Settings) *float64 { return &s.Admission.OverQuotaValue }),
	keyValueBy:                        textOf(func(s *Settings, v string) { s.Admission.ValueByWork = v == "work" }),
	"servers":                         numberOf(nonNegative, func(s *Settings) *float64 { return &s.Admission.FleetServers }),

	"extra.heeded":                checkedOnly[Settings](kindDuration, nonNegative),
	"extra.upstreams":             checkedOnly[Settings](kindNumber, nonNegative),
	"extra.deep-checks":           checkedOnly[Settings](kindFlag, anyFinite),
	"extra.readiness":             checkedOnly[Settings](kindFlag, anyFinite),
	"obligations.fall":            checkedOnly[Settings](kindDuration, nonNegative),
	"obligations.grace-to-answer": checkedOnly[Settings](kindDuration, nonNegative),
	"tick":                        checkedOnly[Settings](kindDuration, nonNegative),
	"scoring-mix.whole":           checkedOnly[Settings](kindNumber, nonNegative),
	"scoring-mix.worst-window":    checkedOnly[Settings](kindNumber, nonNegative),
	"scoring-mix.worst-class":     checkedOnly[Settings](kindNumber, nonNegative),
	"scoring-mix.worst-tenant":    checkedOnly[Settings](kindNumber, nonNegative),
	"prices.waste":                checkedOnly[Settings](kindNumber, anyFinite),
	"prices.late-fail":            checkedOnly[Settings](kindNumber, anyFinite),
	"prices.handshake":            checkedOnly[Settings](kindNumber, anyFinite),
}

// adjustableKeys contains the settings that may change while the server runs. No earlier decision depends on them: a
// new value applies from the next decision on. Every other setting needs a restart.
var adjustableKeys = map[string]setting[admission.Settings]{
	keyPreemption: textOf(func(s *admission.Settings, v string) {
		s.Preemption = preemptions[v]
	}, "none", "abort", "suspend"),
	keyShedLevelFormat: textOf(func(s *admission.Settings, v string) {
		s.ShedLevelFormat = shedLevelFormats[v]
	}, "none", "threshold", "window", "share_of"),
}

var preemptions = map[string]admission.Preemption{
	"none": admission.PreemptionNone, "abort": admission.PreemptionAbort, "suspend": admission.PreemptionSuspend,
}

// shedLevelFormats does not contain "window": with that value a server sends no shed level.
var shedLevelFormats = map[string]admission.ShedLevelFormat{
	"threshold": admission.ShedLevelThreshold, "share_of": admission.ShedLevelShare,
}

// routeKeys contains the settings of one item of the list "services".
var routeKeys = map[string]setting[admission.Route]{
	"gain":         numberOf(nonNegative, func(r *admission.Route) *float64 { return &r.Value }),
	"late-value":   numberOf(fraction, func(r *admission.Route) *float64 { return &r.LateValueShare }),
	"goal-time":    durationOf(nonNegative, func(r *admission.Route) *time.Duration { return &r.LatencyTarget }).atLeast(minLatencyTarget),
	"deadline":     durationOf(positive, func(r *admission.Route) *time.Duration { return &r.Deadline }),
	"dedup-window": durationOf(nonNegative, func(r *admission.Route) *time.Duration { return &r.DedupWindow }),
	"idempotency": textOf(func(r *admission.Route, v string) {
		r.Idempotency = idempotencies[v]
	}, "retryable", "dedup", "fragile"),
	"name": textOf(func(r *admission.Route, v string) { r.Name = v }),
}

// requiredOfRoute lists the settings that each route must have: without them the server cannot decide how to serve its
// requests.
var requiredOfRoute = []string{"name", "idempotency", "deadline", "goal-time"}

var idempotencies = map[string]admission.Idempotency{
	"retryable": admission.Retryable, "dedup": admission.Keyed, "fragile": admission.AtMostOnce,
}

// routeRows contains the settings that have one value for each route, separated by commas.
var routeRows = map[string]setting[admission.Route]{
	keyCallsByClass:     flagOf(func(r *admission.Route) *bool { return &r.CallsDependency }),
	keySkipValueByClass: numberOf(fraction, func(r *admission.Route) *float64 { return &r.SkipValueShare }),
}

// tenantKeys contains the settings of one item of the list "tenants".
var tenantKeys = map[string]setting[admission.Tenant]{
	"quota-rps": numberOf(nonNegative, func(t *admission.Tenant) *float64 { return &t.QuotaRPS }),
	"fraction":  checkedOnly[admission.Tenant](kindNumber, fraction),
	"name":      textOf(func(t *admission.Tenant, v string) { t.Name = v }),
}

// digestNames contains the names by which Settings.Digest identifies the platform's keys. Another name or spelling
// would change the digest, and so make the estimates of earlier versions unusable.
var digestNames = map[string]string{keyIdleTimeout: "idle", keyValueBy: "importance-by"}

// digestRouteNames contains the digest's names of a route's settings.
var digestRouteNames = map[string]string{
	"gain": "importance", "late-value": "late-share", "goal-time": "contract-time", "deadline": "outer-limit",
	"dedup-window": "window", "idempotency": "repeats", "name": "name",
}

// digestRowNames contains the digest's names of the settings that are given as a row over all routes.
var digestRowNames = map[string]string{keyCallsByClass: "calls", keySkipValueByClass: "skip-share"}

// digestIdempotency contains the digest's spellings of a route's idempotency.
var digestIdempotency = map[admission.Idempotency]string{
	admission.Retryable: "reissuable", admission.Keyed: "numbered", admission.AtMostOnce: "at-most-once",
}

// digestName returns the digest's name of a key, "" if the digest omits it, and whether the key belongs to a route.
func digestName(key string) (name string, ofRoute bool) {
	if name := digestNames[key]; name != "" {
		return name, false
	}
	if list, rest, found := strings.Cut(key, "."); found && list == listRoutes {
		index, field, _ := strings.Cut(rest, ".")
		if name := digestRouteNames[field]; name != "" {
			return "type." + index + "." + name, true
		}
		return "", true
	}
	for row, name := range digestRowNames {
		if index, found := strings.CutPrefix(key, row+"."); found {
			return "type." + index + "." + name, true
		}
	}
	return "", false
}
