package baseline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/emulator"
)

// TestBaselines checks that every baseline answers each request once and in time and shuts down gracefully. At a load of
// half the capacity nearly all value is served in time; at a load of twice the capacity policies with a limit still serve
// a part.
func TestBaselines(t *testing.T) {
	for _, name := range append(Names(), "quartzpoint") {
		t.Run(name, func(t *testing.T) {
			policy, err := PolicyByName(name)
			require.NoError(t, err)
			f := emulator.Fleet{
				Servers: 4, Zones: 2, Machine: emulator.Machine{Cores: 4, Speed: 1, MemoryKB: 640000}, Routes: emulator.BranchRoutes(),
				Policy: policy, Routers: 1, RouterOptions: emulator.RouterOptions{Balancing: "least", MaxAttempts: 2}, Delay: 300 * time.Microsecond,
			}
			goodput := func(load float64) float64 {
				w := emulator.New(f, 3)
				w.At(5*time.Second, func() { w.Restart([]int{1}, 2500*time.Millisecond) })
				r := w.Run(emulator.Load{Rate: 4 * emulator.Rate(f.Routes, f.Machine, load), Span: 12 * time.Second})
				assert.Zero(t, r.DuplicateAnswers)
				assert.Zero(t, r.Rules.Violations[1]+r.Rules.Violations[2]+r.Rules.Violations[3], r.Rules.Messages)
				if bounded := name != "no-limit" && name != "gradient2" && name != "vegas"; bounded { // the others limit runs by latency alone, or not at all
					assert.Zero(t, r.Rules.Violations[4], r.Rules.Messages)
				}
				assert.Equal(t, r.Requests, r.Served+r.Rejected+r.Aborted+r.Unanswered)
				return r.Goodput / r.OfferedValue
			}
			assert.Greater(t, goodput(0.5), 0.98)
			overloaded := goodput(2)
			t.Logf("goodput at 200%% load: %.3f", overloaded)
			if name == "no-limit" {
				assert.Less(t, overloaded, 0.3, "without a limit few requests are served in time")
			} else {
				assert.Greater(t, overloaded, 0.2)
			}
		})
	}
	_, err := PolicyByName("best")
	assert.ErrorContains(t, err, "codel")
}
