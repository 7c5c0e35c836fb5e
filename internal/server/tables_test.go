package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/fake"
)

func newRoute(name string, deadline time.Duration) *admission.Route {
	return &admission.Route{Name: name, Value: 1, LateValueShare: 0.5, LatencyTarget: time.Second, Deadline: deadline}
}

// changeTables changes the tables and waits until the whole change is in force.
func (b *fixture) changeTables(t *testing.T, change TableChange) {
	t.Helper()
	done := make(chan struct{})
	change.Done = func() { close(done) }
	b.ChangeTables(change)
	select {
	case <-done:
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the tables have not changed")
	}
}

// A route is added, changed and removed while requests of it run. Each request ends under the definition with which it
// was accepted, and is answered once. A new request of a removed route is answered as one of an unknown route.
func TestRoutesChangeInService(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	b.submitRequest(1, "quote", time.Minute)
	assert.Equal(t, Rejected, b.nextAnswer(t).Verdict, "not known yet")

	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "quote", Route: newRoute("quote", time.Minute)}}})
	b.submitRequest(2, "quote", time.Minute)
	first := b.pool.Next(t, "spawn")

	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "quote", Route: newRoute("quote", 2*time.Second)}}})
	b.submitRequest(3, "quote", time.Minute)
	second := b.pool.Next(t, "spawn")
	late := b.nextAnswer(t)
	assert.Equal(t, []any{uint32(3), Aborted}, []any{late.stream, late.Verdict}, "the later request has the shorter deadline")
	b.pool.Finish(second.RunID, "interrupted", nil)

	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "quote"}}})
	b.submitRequest(4, "quote", time.Minute)
	rejected := b.nextAnswer(t)
	assert.Equal(t, []any{uint32(4), Rejected}, []any{rejected.stream, rejected.Verdict}, "removed")
	b.pool.Finish(first.RunID, "success", []byte("done"))
	got := b.nextAnswer(t)
	assert.Equal(t, receivedAnswer{2, Answer{Verdict: Served, Result: []byte("done")}}, got, "the run in flight is finished")
	assert.Empty(t, b.answers)
}

// The estimates of a route are kept when it is changed, and dropped when it is removed.
func TestEstimatesOutlastARouteChange(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	for stream := range uint32(3) {
		b.submitRequest(stream+1, "pay", time.Minute)
		b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
		b.nextAnswer(t)
	}
	samples := func() (n float64) {
		b.onLoop(func() {
			for _, published := range b.controller.Estimates(b.Now(), b.estimates.schema).Routes {
				if published.Name == "pay" {
					n = published.Run.Samples
				}
			}
		})
		return n
	}
	require.Equal(t, 3.0, samples())
	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "pay", Route: newRoute("pay", time.Minute)}}})
	assert.Equal(t, 3.0, samples())
	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "pay"}}})
	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "pay", Route: newRoute("pay", time.Minute)}}})
	assert.Zero(t, samples())
}

// A used key is kept for its window, even if its route is removed or changed meanwhile, so that nothing runs twice.
func TestKeysOutlastTheirRoute(t *testing.T) {
	b := newFixtureWith(t, fake.SiteSettings, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	keyed := newRoute("charge", time.Minute)
	keyed.Idempotency, keyed.DedupWindow = admission.Keyed, time.Hour
	put := TableChange{Routes: []settings.RouteChange{{Name: "charge", Route: keyed}}}
	submit := func(stream uint32) {
		b.Submit(func() {
			b.Receive(IncomingRequest{
				ID: fake.RequestID(stream), Route: "charge", QueuedKB: 1, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
				Caller: b, Stream: stream, Key: "once", Fingerprint: 1,
			})
		})
	}
	b.changeTables(t, put)
	submit(1)
	run := b.pool.Next(t, "spawn")
	b.pool.Finish(run.RunID, "success", []byte("done"))
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "charge"}}})
	b.changeTables(t, put)
	shorter := *keyed
	shorter.DedupWindow = time.Millisecond
	b.changeTables(t, TableChange{Routes: []settings.RouteChange{{Name: "charge", Route: &shorter}}})
	submit(2)
	assert.Equal(t, receivedAnswer{2, Answer{Verdict: Served, Result: []byte("done")}}, b.nextAnswer(t), "answered from the original")
}

// Tenants are added, changed and removed. The requests of a tenant still count against its quota after the quota
// changes, but not against another tenant that takes its index later. The index of a removed tenant is not reused while
// requests of it may be left.
func TestTenantsChangeInService(t *testing.T) {
	b := newFixtureWith(t, fake.SiteSettings, Limits{MemoryMB: 96, Sockets: 256, Tenants: true}, nil)
	b.pool.Ready()
	tenant := func(name string, rate float64) TableChange {
		return TableChange{Tenants: []settings.TenantChange{{Name: name, QuotaRPS: rate}}}
	}
	removed := func(name string) TableChange {
		return TableChange{Tenants: []settings.TenantChange{{Name: name, Removed: true}}}
	}
	index := func(name string) (index int) {
		b.onLoop(func() { index = b.TenantIndex(name) })
		return index
	}
	unknown := index("north")
	b.changeTables(t, tenant("north", 5))
	assert.Equal(t, 0, index("north"))
	b.Submit(func() {
		b.Receive(IncomingRequest{ID: "a", Route: "pay", QueuedKB: 1, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute, Caller: b})
	})
	run := b.pool.Next(t, "spawn")
	b.changeTables(t, tenant("north", 7))
	_, rates := b.Tables()
	assert.Equal(t, map[string]float64{"north": 7}, rates)
	b.changeTables(t, removed("north"))
	assert.Equal(t, unknown, index("north"), "no tenant's index")
	b.changeTables(t, tenant("south", 1))
	assert.Equal(t, 1, index("south"), "a request of north is in flight")
	b.pool.Finish(run.RunID, "success", nil)
	b.nextAnswer(t)
	b.changeTables(t, removed("south"))
	b.changeTables(t, tenant("west", 1))
	assert.Equal(t, 2, index("west"), "the index of north is the oldest, and not available until the deadline of the requests that were left")
	b.onLoop(func() { b.tables.free[0].availableAt = 0 })
	b.changeTables(t, tenant("east", 1))
	assert.Equal(t, 0, index("east"))
}

// A large change is made over many rounds. Requests are answered meanwhile, and changes come into force in the order of
// their submission.
func TestALargeChangeIsSpread(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	const many = 40 * changesPerRound
	large := TableChange{}
	for i := range many {
		large.Routes = append(large.Routes, settings.RouteChange{Name: fmt.Sprint("r", i), Route: newRoute("r", time.Second)})
	}
	done := make(chan struct{})
	counted := make(chan int, 1)
	large.Done = func() { counted <- len(b.tables.routes) }
	b.ChangeTables(large)
	previous := 0
	var step func()
	step = func() {
		left := 0
		if len(b.tables.changes) > 0 {
			left = len(b.tables.changes[0].Routes)
		}
		if previous > 0 && left > 0 {
			assert.LessOrEqual(t, previous-left, (maxPasses+1)*changesPerRound, "at most one part per round")
		}
		if previous = left; left > 0 {
			b.Submit(step)
		}
	}
	b.Submit(step)
	b.ChangeTables(TableChange{Routes: []settings.RouteChange{{Name: "r0"}}, Done: func() { close(done) }})
	b.submitRequest(1, "pay", time.Minute)
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	select {
	case <-done:
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the change is not in force")
	}
	assert.Equal(t, many+2, <-counted, "with the two routes of the site")
	b.onLoop(func() { assert.Len(t, b.tables.routes, many+1) })
}
