package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestIdleTimeoutFollowsTheReuseOfConnections(t *testing.T) {
	for _, c := range []struct {
		callers uint32
		idle    time.Duration
		want    time.Duration
	}{{1, 30 * time.Second, 20 * time.Second}, {1000, 30 * time.Second, 10 * ms}, {1, 0, 0}} {
		b := newFixture(func(s *Settings) { s.IdleTimeout = c.idle })
		for i := range uint32(50) {
			x := b.request("x", 0)
			x.Router = i % c.callers
			b.round(Round{Arrived: []*Request{x}})
		}
		assert.Zero(t, b.closeAfter, "no connection is closed before the first calibration")
		b.pass(calibrationPeriod, Gauges{CPU: 1})
		assert.GreaterOrEqual(t, b.closeAfter, c.want)
		assert.LessOrEqual(t, b.closeAfter, c.want*3/2)
		b.pass(31*time.Second, Gauges{CPU: 1})
		assert.True(t, c.idle == 0 || len(b.connections.lastSeen) == 0, "routers without recent requests are forgotten")
	}
}
