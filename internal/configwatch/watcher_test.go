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
	w := &Watcher{Zone: "a", Machines: []Machine{{"b", "1"}, {"a", "2"}, {"b", "3"}, {"a", "4"}, {"c", "5"}}}
	chance := rand.New(rand.NewSource(1))
	for round := range 20 {
		seen := map[string]bool{}
		for i := range w.Machines {
			m := w.next(chance)
			assert.Equal(t, i < 2, m.Zone == "a", "round %d", round)
			seen[m.Address] = true
		}
		assert.Len(t, seen, len(w.Machines), "round %d", round)
	}
}

// failing is a disk that takes nothing.
type failing struct{ err error }

func (f failing) Replace(*configuration.Document) error                     { return f.err }
func (f failing) Append(configuration.Delta, *configuration.Document) error { return f.err }

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
		Document: configuration.NewDocument(), Log: slog.New(slog.DiscardHandler), Disk: failing{errors.New("full")},
		Apply: func(context.Context, configuration.Delta, *configuration.Document) error {
			if refuse {
				return errors.New("no room")
			}
			return nil
		},
	}
	require.NoError(t, w.take(t.Context(), Update{Deltas: [][]byte{all[0].Encode()}}))
	before := w.Document.Clone()
	refuse = true
	assert.ErrorContains(t, w.take(t.Context(), Update{Deltas: [][]byte{all[1].Encode()}}), "no room")
	assert.ErrorContains(t, w.take(t.Context(), Update{Snapshot: newest.Snapshot()}), "no room")
	assert.Equal(t, before, w.Document)
	refuse = false
	assert.ErrorIs(t, w.take(t.Context(), Update{Deltas: [][]byte{all[2].Encode()}}), configuration.ErrCorrupt)
	assert.ErrorIs(t, w.take(t.Context(), Update{Snapshot: newest.Snapshot()[1:]}), configuration.ErrCorrupt)
	assert.Equal(t, before, w.Document)
	require.NoError(t, w.take(t.Context(), Update{Snapshot: newest.Snapshot()}))
	assert.Equal(t, newest, w.Document)
	assert.ErrorIs(t, w.take(t.Context(), Update{Snapshot: before.Snapshot()}), configuration.ErrCorrupt)
	assert.Equal(t, Standing{Version: 3, Silent: -1}, w.Standing())
}
