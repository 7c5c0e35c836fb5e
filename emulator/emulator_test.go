package emulator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func branchFleet(servers int) Fleet {
	return Fleet{
		Servers: servers, Zones: 2, Machine: Machine{Cores: 4, Speed: 1, MemoryKB: 64000}, Routes: BranchRoutes(), Routers: 2,
		RouterOptions: RouterOptions{Balancing: "round", MaxAttempts: 3, RetryBudget: 0.2, HeedsBackpressure: true}, Delay: 300 * time.Microsecond,
		Jitter: 100 * time.Microsecond, EndpointLag: 500 * time.Millisecond,
	}
}

func (f Fleet) rate(share float64) float64 {
	return float64(f.Servers) * Rate(f.Routes, f.Machine, share)
}

func fingerprint(r Result) string {
	raw, _ := json.Marshal(r)
	return string(raw) + fmt.Sprint(r.Latencies.TotalCount(), r.Latencies.Mean())
}

func TestSmoke(t *testing.T) {
	for _, share := range []float64{0.5, 0.9, 1.2, 2} {
		start := time.Now()
		f := branchFleet(10)
		r := New(f, 1).Run(Load{Rate: f.rate(share), Span: 20 * time.Second})
		t.Logf("load %.1f: %d requests, goodput %.3f, rejected %d, aborted %d, unanswered %d, attempts %d, rule violations %v, events %d in %v",
			share, r.Requests, r.Goodput/r.OfferedValue, r.Rejected, r.Aborted, r.Unanswered, r.Attempts, r.Rules.Violations, r.Events, time.Since(start))
		for _, message := range r.Rules.Messages {
			t.Log(message)
		}
		assert.Zero(t, r.Rules.Total())
		assert.Equal(t, r.Requests, r.Served+r.Rejected+r.Aborted+r.Unanswered)
	}
}

// TestSameSeed checks that runs with the same seed are identical with any number of processors.
func TestSameSeed(t *testing.T) {
	run := func(procs int, seed int64) string {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		f := branchFleet(6)
		w := New(f, seed)
		w.At(3*time.Second, func() { w.Kill(w.RandomServers(0.3)) })
		w.At(5*time.Second, func() { w.Freeze(w.RandomServers(0.3), time.Second) })
		return fingerprint(w.Run(Load{Rate: f.rate(1.1), Span: 8 * time.Second}))
	}
	first := run(1, 7)
	for _, procs := range []int{1, 2, 8} {
		require.Equal(t, first, run(procs, 7))
	}
	assert.NotEqual(t, first, run(1, 8))
}
