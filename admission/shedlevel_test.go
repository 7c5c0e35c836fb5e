package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestShedLevelFollowsManyRequests(t *testing.T) {
	for name, c := range map[string]struct {
		ticks                            int // ticks between requests
		unread, shed, maxLevel, minLevel float64
	}{
		"many shed": {1, 0, 1, 0.95, 0.4}, "few shed": {16, 0, 1, 0.1, 0}, "many read late": {1, 0.5, 0, 0.95, 0.1},
	} {
		b := newFixture(nil)
		for i := range 64 {
			if i%c.ticks == 0 {
				b.shedding.unread.add(b.at, 1, c.unread)
				b.shedding.work.add(b.at, 1, c.shed)
			}
			b.pass(tickInterval, Gauges{CPU: 1})
		}
		assert.LessOrEqual(t, b.shedding.level, c.maxLevel, name)
		assert.GreaterOrEqual(t, b.shedding.level, c.minLevel, name)
		b.pass(6*time.Second, Gauges{CPU: 0.5})
		assert.Zero(t, b.shedding.level, "the level falls back to zero without requests")
	}
}
