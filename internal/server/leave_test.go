package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/internal/testkit/fake"
)

// The kill may come before the stop that the notice was told of: all has to be answered by then.
func TestStopIsNoLaterThanTheEarliestKill(t *testing.T) {
	site := func(deadline string) string {
		return strings.NewReplacer(`"deadline":9000000,"goal-time":8000000`, `"deadline":`+deadline+`,"goal-time":100000`).Replace(fake.SiteSettings)
	}
	limits := Limits{MemoryMB: 96, Sockets: 256, KilledEarly: true}
	cases := []struct {
		name, site string
		limits     Limits
		told, stop time.Duration
	}{
		{"a short deadline", site("1200000"), limits, 8 * time.Second, 1900 * time.Millisecond},
		{"a long deadline counts as 3 s", fake.SiteSettings, limits, 8 * time.Second, 3700 * time.Millisecond},
		{"an earlier stop holds", fake.SiteSettings, limits, time.Second, time.Second},
		{"a program that is not killed early", fake.SiteSettings, Limits{MemoryMB: 96, Sockets: 256}, 8 * time.Second, 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchWith(t, c.site, c.limits, nil)
			b.inTurn(func() {
				came := b.Now()
				b.leave(came, c.told)
				assert.Equal(t, came+c.stop-noticeDelay, b.stop)
			})
		})
	}
}
