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

// Endpoints in the watcher's own zone are tried first. Each endpoint is tried once before any is tried again.
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

// failingStore is a Store whose writes all fail.
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

// If Apply rejects an update, for example for lack of memory, the version in force stays unchanged. A full disk does
// not prevent a version from coming into force. An older snapshot, which a lagging control machine may send, is
// rejected.
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
