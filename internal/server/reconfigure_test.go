package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
)

// Settings that change while the server runs are used from the next decision on. After its caller canceled, a run is
// stopped if the settings in force allow preemption, and left to end otherwise. No run is started twice, and a request
// that was admitted before the changes is answered once.
func TestSettingsChangeWhileRunning(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	b.pool.Next(t, "bind")
	b.waitLinkSynced(t)
	b.submitRequest(1, "browse", time.Minute) // admitted before the first change, answered after the last
	first := b.pool.Next(t, "spawn")
	adjusted := func(halt string) *settings.Settings {
		next, err := settings.FromLines(halt)
		require.NoError(t, err)
		return b.settings.WithAdjustable(next)
	}
	for i, halt := range []string{"none", "suspend", "none"} {
		id := fmt.Sprint("gone-", i)
		var request *Request
		b.Submit(func() {
			b.Reconfigure(adjusted("extra.halt=" + halt))
			request = b.Receive(IncomingRequest{ID: id, Route: "browse", QueuedKB: 1, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute, Caller: b})
		})
		assert.Equal(t, id, b.pool.Next(t, "spawn").RunID)
		b.Submit(func() { b.Cancel(request) })
		stopped := false
		for waited := time.After(200 * time.Millisecond); waited != nil; {
			select {
			case c := <-b.pool.Commands:
				assert.NotEqual(t, "spawn", c.Verb, "started more than once")
				stopped = stopped || c.Verb == "suspend" && c.RunID == id
			case <-waited:
				waited = nil
			}
		}
		assert.Equal(t, halt == "suspend", stopped, "stopped under %s", halt)
	}
	unstated := make(chan bool)
	b.Submit(func() {
		b.Reconfigure(adjusted("")) // the setting is not stated, as at a start without it
		unstated <- b.settings.Admission.Preemption == admission.PreemptionUnspecified &&
			b.settings.Compare(adjusted("")).Adjusted["halt"] == nil && len(b.settings.Compare(adjusted("")).Adjusted) == 0
	})
	assert.True(t, <-unstated)
	b.pool.Finish(first.RunID, "success", []byte("done"))
	got := b.nextAnswer(t)
	assert.Equal(t, []any{uint32(1), Served}, []any{got.stream, got.Verdict})
	assert.Empty(t, b.answers, "one answer per request, and none for canceled ones")
}
