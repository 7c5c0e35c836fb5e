package configwatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/configuration"
)

// Endpoints of the own zone are tried first, and each endpoint once before any is tried again.
func TestNextEndpoint(t *testing.T) {
	w := &Watcher{Zone: "a", Endpoints: []Endpoint{{"b", "1"}, {"a", "2"}, {"b", "3"}, {"a", "4"}, {"c", "5"}}}
	random := rand.New(rand.NewSource(1))
	for round := range 20 {
		seen := map[string]bool{}
		for i := range w.Endpoints {
			endpoint := w.nextEndpoint(random)
			assert.Equal(t, i < 2, endpoint.Zone == "a", "round %d", round)
			seen[endpoint.Address] = true
		}
		assert.Len(t, seen, len(w.Endpoints), "round %d", round)
	}
}

// failingStore fails all writes.
type failingStore struct{ err error }

func (f failingStore) Replace(*configuration.Document) error                     { return f.err }
func (f failingStore) Append(configuration.Delta, *configuration.Document) error { return f.err }

func deltas(t *testing.T, versions int) (all []configuration.Delta, d *configuration.Document) {
	t.Helper()
	d = configuration.NewDocument()
	for i := range versions {
		all = append(all, d.Accept(configuration.Change{Tenants: map[string]*configuration.Tenant{"north": {QuotaRPS: float64(i + 1)}}}))
	}
	return all, d
}

// An update that cannot be applied, as for want of memory, leaves the version in force as it was. A full disk does not
// keep a version from coming into force. A machine that is behind may send an older snapshot, which is never applied.
func TestApplyUpdate(t *testing.T) {
	all, latest := deltas(t, 3)
	reject := false
	w := &Watcher{
		Document: configuration.NewDocument(), Logger: slog.New(slog.DiscardHandler), Store: failingStore{errors.New("full")},
		Apply: func(context.Context, configuration.Delta, *configuration.Document) error {
			if reject {
				return errors.New("no room")
			}
			return nil
		},
	}
	require.NoError(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[0].Encode()}}))
	before := w.Document.Clone()
	reject = true
	assert.ErrorContains(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[1].Encode()}}), "no room")
	assert.ErrorContains(t, w.applyUpdate(t.Context(), Update{Snapshot: latest.Snapshot()}), "no room")
	assert.Equal(t, before, w.Document)
	reject = false
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[2].Encode()}}), configuration.ErrCorrupt)
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Snapshot: latest.Snapshot()[1:]}), configuration.ErrCorrupt)
	assert.Equal(t, before, w.Document)
	require.NoError(t, w.applyUpdate(t.Context(), Update{Snapshot: latest.Snapshot()}))
	assert.Equal(t, latest, w.Document)
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Snapshot: before.Snapshot()}), configuration.ErrCorrupt)
	assert.Equal(t, WatcherStatus{Version: 3, SinceContact: -1}, w.Status())
}
