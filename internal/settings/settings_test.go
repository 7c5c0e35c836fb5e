package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
)

const flat = `extra.cores=2
extra.ram-kb=1000.0
extra.cold=false
extra.gauges=links,core_use,elsewhere,heap_share,on_cores
extra.calls-by-class=true,false
extra.class-skip-worth=0.5,0.0
extra.calls-over=5000000
obligations.overload-factor=4.0
services.count=2
services.0.name=browse
services.0.goal-time=2000000
services.0.idempotency=dedup
services.0.dedup-window=9000000
services.1.name=pay
services.1.idempotency=fragile
tenants.count=1
tenants.0.quota-rps=12.5
localities=here,there
tiers=
unheard.of=1
no setting`

const nested = `{"extra":{"cores":2,"ram-kb":1000.0,"cold":false,
"gauges":["links","core_use","elsewhere","heap_share","on_cores"],"calls-by-class":[true,false],
"class-skip-worth":[0.5,0.0],"calls-over":5000000},"obligations":{"overload-factor":4.0},
"services":[{"name":"browse","goal-time":2000000,"idempotency":"dedup","dedup-window":9000000},
{"name":"pay","idempotency":"fragile"}],"tenants":[{"quota-rps":12.5}],"localities":["here","there"],
"tiers":[],"nothing":null,"unheard":{"of":1}}`

func TestBothFormsGiveTheSame(t *testing.T) {
	lines, err := FromLines(flat)
	require.NoError(t, err)
	tree, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	assert.Equal(t, lines, tree)
	want := admission.DefaultSettings()
	want.Cores, want.MemoryKB, want.MaxRunsPerCore, want.CallWindow = 2, 1000, 4, 5*time.Second
	want.Routes = []admission.Route{
		{
			Name: "browse", Value: 1, LatencyTarget: 2 * time.Second, Deadline: time.Second, Idempotency: admission.Keyed,
			DedupWindow: 9 * time.Second, CallsDependency: true, SkipValueShare: 0.5,
		},
		{Name: "pay", Value: 1, LatencyTarget: time.Second, Deadline: time.Second, Idempotency: admission.AtMostOnce},
	}
	want.Tenants = []admission.Tenant{{QuotaRPS: 12.5}}
	assert.Equal(t, want, tree.Admission)
	assert.Equal(t, map[string]string{
		"extra.cores": "2", "extra.ram-kb": "1000", "extra.cold": "false", "extra.calls-over": "5s",
		"obligations.overload-factor": "4", "services.count": "2", "services.0.name": "browse",
		"services.0.goal-time": "2s", "services.0.idempotency": "numbered", "services.0.dedup-window": "9s",
		"extra.calls-by-class.0": "true", "extra.class-skip-worth.0": "0.5", "services.1.name": "pay",
		"services.1.idempotency": "at-most-once", "extra.calls-by-class.1": "false", "extra.class-skip-worth.1": "0",
		"tenants.count": "1", "tenants.0.quota-rps": "12.5",
	}, tree.fixed)

	gauges := admission.Gauges{Runnable: 7}
	tree.SetGauges(&gauges, []float64{1, 2, 3, 4})
	assert.Equal(t, admission.Gauges{Connections: 1, CPU: 2, Memory: 4, Runnable: 7}, gauges)
}

func TestMalformedValues(t *testing.T) {
	_, err := FromLines("extra.cores=many")
	assert.ErrorContains(t, err, "extra.cores")
	for text, want := range map[string]string{
		`{"extra":{"cores":"many"}}`:           "extra.cores",
		`{"extra":{"idle":1.5}}`:               "extra.idle",
		`{"services":[{"deadline":"soon"}]}`:   "services.0.deadline",
		`{"extra":`:                            "unexpected EOF",
		`{} {}`:                                "more than one",
		`{"extra":{"calls-by-class":["x"]}}`:   "extra.calls-by-class",
		`{"extra":{"calls-by-class":[true,]}}`: "invalid character",
	} {
		_, err := FromJSON([]byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

func TestAdjustableSettingsAreChecked(t *testing.T) {
	cases := []struct {
		name, halt, wantErr string
	}{
		{"known value", `"halt":"none"`, ""},
		{"not given", `"tick":5000`, ""},
		{"unknown value", `"halt":"later"`, "setting extra.halt: later is not one of [none abort suspend]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := FromJSON([]byte(`{"extra":{` + c.halt + `}}`))
			if c.wantErr == "" {
				assert.NoError(t, err)
			} else {
				assert.EqualError(t, err, c.wantErr)
			}
		})
	}
}

func TestCompareSeparatesWhatMayChangeInService(t *testing.T) {
	read := func(lines string) *Settings {
		s, err := FromLines(lines)
		require.NoError(t, err)
		return s
	}
	was := read("extra.halt=suspend\nextra.advert=threshold\nextra.cores=4\nobligations.stop-sending-within=1000000")
	next := read("extra.halt=none\nextra.cores=4.0\nobligations.stop-sending-within=2000000")
	change := was.Compare(next)
	assert.Equal(t, map[string]any{"halt": "none", "advert": nil}, change.Adjusted, "nil for a setting that is no longer given")
	assert.Equal(t, []string{"obligations.stop-sending-within"}, change.Fixed)
	change = was.Compare(was)
	assert.Empty(t, change.Adjusted)
	assert.Empty(t, change.Fixed)

	adjusted := was.WithAdjustable(next)
	assert.Equal(t, Adjustable{admission.PreemptionNone, admission.ShedLevelNone}, adjusted.Adjustable())
	assert.Equal(t, time.Second, adjusted.Admission.Grace, "all other settings need a restart")
	assert.Empty(t, adjusted.Compare(next).Adjusted)
	assert.Equal(t, admission.PreemptionSuspend, was.Admission.Preemption, "the original settings must not change")
}

// Servers use estimates from servers whose settings have the same digest: from peers of another version, and from disk
// after an upgrade. The digest must therefore stay the same across versions. The expected digests were recorded with
// commit f1daac1, which used its own internal names as keys in the digest.
func TestDigestIsThatOfEarlierVersions(t *testing.T) {
	unusual := `{"extra":{"idle":3e7,"class-skip-worth":[0.25,null,1,0.5],"calls-by-class":[null,true]},"value-by":"work",
"services":[{"name":"a","idempotency":"retryable","deadline":9000000,"goal-time":0,"gain":1e21,"late-value":0.1},
{"name":"b","idempotency":"fragile","deadline":1.5e6,"goal-time":8000000}]}`
	lines, err := FromLines(flat)
	require.NoError(t, err)
	for _, c := range []struct {
		name                                       string
		read                                       func() (*Settings, error)
		withSkips, withoutSkips, dynamic, dynamic2 uint64
	}{
		{"flat", func() (*Settings, error) { return lines, nil }, 0x157bcb0acdda3d57, 0x84dcfe74bcd8030e, 0xef46db3751d8e999, 0xef46db3751d8e999},
		{"nested", func() (*Settings, error) { return FromJSON([]byte(nested)) }, 0x157bcb0acdda3d57, 0x84dcfe74bcd8030e, 0xef46db3751d8e999, 0xef46db3751d8e999},
		{"unusual values", func() (*Settings, error) { return FromJSON([]byte(unusual)) }, 0xcc039db41e8b0609, 0x693cd96e58a29594, 0x6b4594699ea74b, 0x6b4594699ea74b},
	} {
		s, err := c.read()
		require.NoError(t, err)
		assert.Equal(t, c.withSkips, s.Digest(false, true), c.name)
		assert.Equal(t, c.withoutSkips, s.Digest(false, false), c.name)
		assert.Equal(t, c.dynamic, s.Digest(true, true), c.name)
		assert.Equal(t, c.dynamic2, s.Digest(true, false), c.name)
	}
}

const routesJSON = `"services":[{"name":"a","idempotency":"dedup","deadline":9000000,"goal-time":8000000}]`

// All errors must be reported at once. Formerly, the first error hid all others, and values out of range were accepted.
func TestAllFaultsAtOnce(t *testing.T) {
	got, err := FromJSON([]byte(`{"extra":{"cores":-1,"ram-kb":0,"idle":-5,"cold":"maybe","halt":"later","advert":"louder",
"run-factor":"NaN","key-kb":1e999,"class-skip-worth":[0.5,1.5],"calls-by-class":[null,true,3]},
"obligations":{"cold-share":-0.1,"overload-factor":0,"stop-sending-within":-1,"warm-up":"soon"},"over-share-worth":2,"servers":"Inf",
"services":[{"deadline":0,"idempotency":"often","gain":-1,"goal-time":1.5,"late-value":1.1,"dedup-window":-1}],
"tenants":{"count":1000000000000}}`))
	assert.Nil(t, got)
	require.Error(t, err)
	for _, key := range []string{
		"extra.cores", "extra.ram-kb", "extra.idle", "extra.cold", "extra.halt", "extra.advert", "extra.run-factor",
		"extra.key-kb", "extra.class-skip-worth", "extra.calls-by-class", "obligations.cold-share", "obligations.overload-factor",
		"obligations.stop-sending-within", "obligations.warm-up", "over-share-worth", "servers", "services.0.deadline",
		"services.0.idempotency", "services.0.gain", "services.0.goal-time", "services.0.late-value",
		"services.0.dedup-window", "tenants",
	} {
		assert.Contains(t, err.Error(), "setting "+key+": ")
	}
	assert.Len(t, err.(interface{ Unwrap() []error }).Unwrap(), 23)
}

func TestMalformedStructure(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                          "services: is missing",
		`{}`:                          "services: is missing",
		`null`:                        "services: is missing",
		`{"services":[]}`:             "services: is missing",
		`{"services":[null]}`:         "services: has an item that is not an object",
		`{"services":[{},"a"]}`:       "services: has an item that is not an object",
		`{"services":"a"}`:            "services: a is not a list",
		`{"services":{"count":1e12}}`: "services: is not a list",
		`7`:                           "7 is not an object",
		`{"services":[{"name":"a","idempotency":"dedup"},{"name":""}]}`: "services.0.deadline: is missing\n" +
			"setting services.0.goal-time: is missing\nsetting services.1.name: is missing\n" +
			"setting services.1.idempotency: is missing\nsetting services.1.deadline: is missing\n" +
			"setting services.1.goal-time: is missing",
		`{"services":[{"name":"a","idempotency":"dedup","deadline":1,"goal-time":1},
{"name":"a","idempotency":"dedup","deadline":1,"goal-time":1}]}`: "services.1.name: a is also the name of services.0",
	} {
		got, err := FromJSON([]byte(text))
		if err == nil {
			err = got.CheckRequired()
		}
		assert.ErrorContains(t, err, want, text)
	}
}

// Unusual but valid values must be accepted. Formerly, some were rejected, and so a server with them did not start.
func TestValidValues(t *testing.T) {
	idle := func(s *Settings) any { return s.Admission.IdleTimeout }
	calls := func(s *Settings) any { return s.Admission.Routes[0].CallsDependency }
	recordedAs := func(key string) func(s *Settings) any {
		return func(s *Settings) any {
			spelling, given := s.fixed[key]
			return fmt.Sprint(given, " ", spelling)
		}
	}
	cases := []struct {
		settings string
		of       func(*Settings) any
		want     any
	}{
		{`"extra":{"idle":3e7}`, idle, 30 * time.Second},
		{`"extra":{"idle":30000000.0}`, idle, 30 * time.Second},
		{`"extra":{"idle":0}`, idle, time.Duration(0)},
		{`"extra":{"idle":9223372036854775807}`, idle, MaxDuration},
		{`"extra":{"idle":1e300}`, idle, MaxDuration},
		{`"extra":{"idle":null}`, recordedAs("extra.idle"), "false "},
		{`"extra":{"cores":0.25}`, func(s *Settings) any { return s.Admission.Cores }, 0.25},
		{`"extra":{"ram-kb":1e15}`, func(s *Settings) any { return s.Admission.MemoryKB }, 1e15},
		{`"extra":{"upstreams":2.5}`, recordedAs("extra.upstreams"), "true 2.5"},
		{`"extra":{"calls-by-class":[null]}`, recordedAs("extra.calls-by-class.0"), "false "},
		{`"extra":{"calls-by-class":[]}`, recordedAs("extra.calls-by-class.0"), "false "},
		{`"extra":{"calls-by-class":[true,true,true]}`, calls, true},
		{`"extra":{"below":"elsewhere"}`, recordedAs("extra.below"), "true elsewhere"},
		{`"prices":{"waste":-0.5}`, recordedAs("prices.waste"), "true -0.5"},
		{`"tenants":[{"quota-rps":0},{"name":"b"}]`, func(s *Settings) any { return len(s.Admission.Tenants) }, 2},
		{`"tenants":null`, func(s *Settings) any { return len(s.Admission.Tenants) }, 0},
		{`"later":{"keys":[1,{"a":[[]]}]}`, func(s *Settings) any { return len(s.Admission.Routes) }, 1},
	}
	for _, c := range cases {
		got, err := FromJSON([]byte(`{` + routesJSON + `,` + c.settings + `}`))
		if assert.NoError(t, err, c.settings) {
			assert.NoError(t, got.CheckRequired(), c.settings)
			assert.Equal(t, c.want, c.of(got), c.settings)
		}
	}
	// Decisions divide by the latency target, so it must not be zero.
	got, err := FromJSON([]byte(`{"services":[{"name":"a","goal-time":0}]}`))
	require.NoError(t, err)
	assert.Equal(t, time.Microsecond, got.Admission.Routes[0].LatencyTarget)
}

// A route may have the same name as a kind of idempotency. Formerly, such a name was translated as if it were the
// idempotency, so the route's requests were treated as those of no route.
func TestRouteNamedLikeAnIdempotency(t *testing.T) {
	for spelling, want := range idempotencies {
		got, err := FromJSON([]byte(`{"services":[{"name":"` + spelling + `","idempotency":"` + spelling + `"}]}`))
		require.NoError(t, err)
		assert.Equal(t, spelling, got.Admission.Routes[0].Name)
		assert.Equal(t, want, got.Admission.Routes[0].Idempotency)
	}
}

// The length of a list must be bounded. Formerly, an infinite one was a list without an end on arm64, and an empty list
// on x86-64.
func TestListLengthIsBounded(t *testing.T) {
	for _, key := range []string{keyRouteCount, keyTenantCount} {
		for _, count := range []string{"inf", "1e18", "262145"} {
			_, err := FromLines(key + "=" + count)
			assert.ErrorContains(t, err, "is more than 262144", "%s=%s", key, count)
		}
		got, err := FromLines(key + "=nan")
		require.NoError(t, err)
		assert.Empty(t, got.Admission.Routes)
		assert.Empty(t, got.Admission.Tenants)
	}
}
