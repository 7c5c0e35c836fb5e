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

// Machines of the own zone are tried first, each once before any is tried again.
func TestNextMachine(t *testing.T) {
	w := &Watcher{Zone: "a", Endpoints: []Endpoint{{"b", "1"}, {"a", "2"}, {"b", "3"}, {"a", "4"}, {"c", "5"}}}
	chance := rand.New(rand.NewSource(1))
	for round := range 20 {
		seen := map[string]bool{}
		for i := range w.Endpoints {
			m := w.nextEndpoint(chance)
			assert.Equal(t, i < 2, m.Zone == "a", "round %d", round)
			seen[m.Address] = true
		}
		assert.Len(t, seen, len(w.Endpoints), "round %d", round)
	}
}

// failingStore is a disk that takes nothing.
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

// What cannot come into force leaves all as it was; a disk that fails costs the server nothing; and an older snapshot is
// never taken.
func TestTake(t *testing.T) {
	all, newest := deltas(t, 3)
	refuse := false
	w := &Watcher{
		Document: configuration.NewDocument(), Logger: slog.New(slog.DiscardHandler), Store: failingStore{errors.New("full")},
		Apply: func(context.Context, configuration.Delta, *configuration.Document) error {
			if refuse {
				return errors.New("no room")
			}
			return nil
		},
	}
	require.NoError(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[0].Encode()}}))
	before := w.Document.Clone()
	refuse = true
	assert.ErrorContains(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[1].Encode()}}), "no room")
	assert.ErrorContains(t, w.applyUpdate(t.Context(), Update{Snapshot: newest.Snapshot()}), "no room")
	assert.Equal(t, before, w.Document)
	refuse = false
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Deltas: [][]byte{all[2].Encode()}}), configuration.ErrCorrupt)
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Snapshot: newest.Snapshot()[1:]}), configuration.ErrCorrupt)
	assert.Equal(t, before, w.Document)
	require.NoError(t, w.applyUpdate(t.Context(), Update{Snapshot: newest.Snapshot()}))
	assert.Equal(t, newest, w.Document)
	assert.ErrorIs(t, w.applyUpdate(t.Context(), Update{Snapshot: before.Snapshot()}), configuration.ErrCorrupt)
	assert.Equal(t, WatcherStatus{Version: 3, SinceContact: -1}, w.Status())
}
