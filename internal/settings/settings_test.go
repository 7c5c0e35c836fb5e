package settings

import (
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
	assert.Equal(t, map[string]any{
		"cores": 2.0, "memory-kb": 1000.0, "cold": false, "calls-over": 5 * time.Second, "crowd": 4.0,
		"types": 2.0, "type.0.name": "browse", "type.0.contract-time": 2 * time.Second,
		"type.0.repeats": "numbered", "type.0.window": 9 * time.Second, "type.0.calls": true,
		"type.0.skip-share": 0.5, "type.1.name": "pay", "type.1.repeats": "at-most-once",
		"type.1.calls": false, "type.1.skip-share": 0.0, "customers": 1.0, "customer.0.rate": 12.5,
	}, tree.Values)

	gauges := admission.Gauges{Runnable: 7}
	tree.Gauges(&gauges, []float64{1, 2, 3, 4})
	assert.Equal(t, admission.Gauges{Connections: 1, CPU: 2, Memory: 4, Runnable: 7}, gauges)
}

func TestBroken(t *testing.T) {
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

func TestMovingSettingsAreChecked(t *testing.T) {
	cases := []struct {
		name, halt, fault string
	}{
		{"stated and known", `"halt":"none"`, ""},
		{"not stated", `"tick":5000`, ""},
		{"unknown", `"halt":"later"`, "setting extra.halt: later is none of [none abort suspend]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := FromJSON([]byte(`{"extra":{` + c.halt + `}}`))
			if c.fault == "" {
				assert.NoError(t, err)
			} else {
				assert.EqualError(t, err, c.fault)
			}
		})
	}
}

func TestMovesPartsWhatMayChangeInService(t *testing.T) {
	was := map[string]any{"halt": "suspend", "advert": "threshold", "cores": 4.0, "grace": time.Second}
	moved, fixed := Moves(was, map[string]any{"halt": "none", "cores": 4.0, "grace": 2 * time.Second})
	assert.Equal(t, map[string]any{"halt": "none", "advert": nil}, moved, "one no longer stated is as at a start")
	assert.Equal(t, []string{"grace"}, fixed)
	moved, fixed = Moves(was, was)
	assert.Empty(t, moved)
	assert.Empty(t, fixed)
}

const types = `"services":[{"name":"a","idempotency":"dedup","deadline":9000000,"goal-time":8000000}]`

// The first fault hid all others, and what is out of range was taken.
func TestAllFaultsAtOnce(t *testing.T) {
	told, err := FromJSON([]byte(`{"extra":{"cores":-1,"ram-kb":0,"idle":-5,"cold":"maybe","halt":"later","advert":"louder",
"run-factor":"NaN","key-kb":1e999,"class-skip-worth":[0.5,1.5],"calls-by-class":[null,true,3]},
"obligations":{"cold-share":-0.1,"overload-factor":0,"stop-sending-within":-1,"warm-up":"soon"},"over-share-worth":2,"servers":"Inf",
"services":[{"deadline":0,"idempotency":"often","gain":-1,"goal-time":1.5,"late-value":1.1,"dedup-window":-1}],
"tenants":{"count":1000000000000}}`))
	assert.Nil(t, told)
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

func TestShapesThatAreNone(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                          "services: is missing",
		`{}`:                          "services: is missing",
		`null`:                        "services: is missing",
		`{"services":[]}`:             "services: is missing",
		`{"services":[null]}`:         "services: holds what is no object",
		`{"services":[{},"a"]}`:       "services: holds what is no object",
		`{"services":"a"}`:            "services: a is no list",
		`{"services":{"count":1e12}}`: "services: is no list",
		`7`:                           "7 is no object",
		`{"services":[{"name":"a","idempotency":"dedup"},{"name":""}]}`: "services.0.deadline: is missing\n" +
			"setting services.0.goal-time: is missing\nsetting services.1.name: is missing\n" +
			"setting services.1.idempotency: is missing\nsetting services.1.deadline: is missing\n" +
			"setting services.1.goal-time: is missing",
		`{"services":[{"name":"a","idempotency":"dedup","deadline":1,"goal-time":1},
{"name":"a","idempotency":"dedup","deadline":1,"goal-time":1}]}`: "services.1.name: a is the name of services.0",
	} {
		told, err := FromJSON([]byte(text))
		if err == nil {
			err = told.Lacks()
		}
		assert.ErrorContains(t, err, want, text)
	}
}

// Values that settings may hold: some were refused, and a start with them.
func TestValidValues(t *testing.T) {
	cases := []struct {
		settings, name string
		want           any
	}{
		{`"extra":{"idle":3e7}`, "idle", 30 * time.Second},
		{`"extra":{"idle":30000000.0}`, "idle", 30 * time.Second},
		{`"extra":{"idle":0}`, "idle", time.Duration(0)},
		{`"extra":{"idle":9223372036854775807}`, "idle", MaxSpan},
		{`"extra":{"idle":1e300}`, "idle", MaxSpan},
		{`"extra":{"idle":null}`, "idle", nil},
		{`"extra":{"cores":0.25}`, "cores", 0.25},
		{`"extra":{"ram-kb":1e15}`, "memory-kb", 1e15},
		{`"extra":{"upstreams":2.5}`, "routers", 2.5},
		{`"extra":{"calls-by-class":[null]}`, "type.0.calls", nil},
		{`"extra":{"calls-by-class":[]}`, "type.0.calls", nil},
		{`"extra":{"calls-by-class":[true,true,true]}`, "type.0.calls", true},
		{`"extra":{"below":"elsewhere"}`, "below", "elsewhere"},
		{`"prices":{"waste":-0.5}`, "price-waste", -0.5},
		{`"tenants":[{"quota-rps":0},{"name":"b"}]`, "customers", 2.0},
		{`"tenants":null`, "customers", nil},
		{`"later":{"keys":[1,{"a":[[]]}]}`, "types", 1.0},
	}
	for _, c := range cases {
		told, err := FromJSON([]byte(`{` + types + `,` + c.settings + `}`))
		if assert.NoError(t, err, c.settings) {
			assert.NoError(t, told.Lacks(), c.settings)
			assert.Equal(t, c.want, told.Values[c.name], c.settings)
		}
	}
	// Decisions divide by the contract time.
	told, err := FromJSON([]byte(`{"services":[{"name":"a","goal-time":0}]}`))
	require.NoError(t, err)
	assert.Equal(t, time.Microsecond, told.Values["type.0.contract-time"])
}

// A type named like a kind of repeats got another name, so its tasks were taken for those of no type.
func TestTypeNamedLikeAKindOfRepeats(t *testing.T) {
	for theirs, ours := range repeats {
		told, err := FromJSON([]byte(`{"services":[{"name":"` + theirs + `","idempotency":"` + theirs + `"}]}`))
		require.NoError(t, err)
		assert.Equal(t, theirs, told.Values["type.0.name"])
		assert.Equal(t, ours, told.Values["type.0.repeats"])
	}
}
