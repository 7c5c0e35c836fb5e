package estimate

import (
	"flag"
	"testing"
	"time"
)

// TestMain makes rapid draw the same cases in every run, unless -rapid.seed states a seed.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

var testSchema = Schema{
	SettingsDigest: 7, Origin: 99, Routes: []string{"browse", "pay"}, Deadlines: []time.Duration{2 * time.Second, 4 * time.Second},
}

func estimateOf(mean float64) Estimate {
	return Estimate{Mean: mean, Spread: mean / 2, Samples: 20, Age: time.Second}
}

func snapshotOf(origin uint64, core float64) Snapshot {
	return Snapshot{Origin: origin, SettingsDigest: 7, Routes: []RouteEstimates{
		{Name: "browse", Core: estimateOf(core), Run: estimateOf(core)}, {Name: "pay", Core: estimateOf(2 * core), Run: estimateOf(3 * core)},
	}, HintRatio: estimateOf(1)}
}
