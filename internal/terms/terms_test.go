package terms

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/choice"
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

	gauges := choice.Gauges{Crowd: 7}
	tree.Gauges(&gauges, []float64{1, 2, 3, 4})
	assert.Equal(t, choice.Gauges{Links: 1, CPU: 2, Memory: 4, Crowd: 7}, gauges)
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
		{"unknown", `"halt":"later"`, "setting halt: later is none of [none abort suspend]"},
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
