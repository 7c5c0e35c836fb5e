package configuration

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run draws the same cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261202")
	}
	m.Run()
}

func route(deadline int64) *Route {
	return &Route{LatencyTarget: 1000, Deadline: deadline, Value: 1, Idempotency: Retryable}
}

// drawChange draws a valid change of a document. It uses few names, so that later changes replace and remove the same
// entries.
func drawChange(t *rapid.T, d *Document) Change {
	change := Change{ReplaceAll: rapid.Float64Range(0, 1).Draw(t, "whole") > 0.9, Routes: map[string]*Route{"always": route(1)}, Tenants: map[string]*Tenant{}}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 6, rapid.ID).Draw(t, "names") {
		name := fmt.Sprint("name", i)
		if _, exists := d.Routes[name]; exists && rapid.Bool().Draw(t, "remove") {
			change.Routes[name] = nil
		} else {
			change.Routes[name] = route(rapid.Int64Range(1, 3).Draw(t, "deadline"))
		}
		if _, exists := d.Tenants[name]; exists && rapid.Bool().Draw(t, "remove") {
			change.Tenants[name] = nil
		} else {
			change.Tenants[name] = &Tenant{QuotaRPS: rapid.Float64Range(0, 3).Draw(t, "rate")}
		}
	}
	return change
}

// A watcher may be at any version when it connects. The snapshot of that version and the deltas after it must lead to
// the latest document, equal in content, digest and bytes, also after the history was encoded and decoded.
func TestSnapshotAndDeltasReachTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory(NewDocument())
		snapshots := [][]byte{h.Document.Snapshot()}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			change := drawChange(t, h.Document)
			version, err := h.Accept(change)
			require.NoError(t, err)
			require.Equal(t, uint64(i+1), version)
			snapshots = append(snapshots, h.Document.Snapshot())
		}
		decoded, err := DecodeHistory(h.Encode())
		require.NoError(t, err)
		assert.Equal(t, h.Encode(), decoded.Encode())
		for version, raw := range snapshots {
			d, err := DecodeSnapshot(raw)
			require.NoError(t, err)
			direct := d.Clone()
			require.NoError(t, direct.applyFromAnyVersion(Diff(d, h.Document)))
			deltas, needsSnapshot := decoded.Since(uint64(version))
			require.False(t, needsSnapshot)
			for _, raw := range deltas {
				delta, err := DecodeDelta(raw)
				require.NoError(t, err)
				require.NoError(t, d.Apply(delta))
			}
			assert.Equal(t, h.Document, d)
			assert.Equal(t, h.Document, direct)
			assert.Equal(t, h.Document.Snapshot(), d.Snapshot())
		}
	})
}

// applyFromAnyVersion applies a delta between any two versions.
func (d *Document) applyFromAnyVersion(delta Delta) error {
	d.Version = delta.Version - 1
	return d.Apply(delta)
}

// Deltas and snapshots can be damaged on the network or on disk, or arrive out of order. A delta that is not the next
// one or was altered must change nothing. A snapshot with a flipped bit must be rejected unless its content is the
// same.
func TestCorruptContentIsRejected(t *testing.T) {
	h := NewHistory(NewDocument())
	for i := range 3 {
		_, err := h.Accept(Change{Routes: map[string]*Route{fmt.Sprint("r", i): route(1)}, Tenants: map[string]*Tenant{"t": {QuotaRPS: float64(i)}}})
		require.NoError(t, err)
	}
	d := NewDocument()
	deltas, _ := h.Since(0)
	first, err := DecodeDelta(deltas[0])
	require.NoError(t, err)
	require.NoError(t, d.Apply(first))
	before := d.Clone()
	for name, raw := range map[string][]byte{"same delta twice": deltas[0], "one delta skipped": deltas[2]} {
		delta, err := DecodeDelta(raw)
		require.NoError(t, err, name)
		assert.ErrorIs(t, d.Apply(delta), ErrCorrupt, name)
		assert.Equal(t, before, d, name)
	}
	second, err := DecodeDelta(deltas[1])
	require.NoError(t, err)
	second.Tenants["t"].QuotaRPS = 7
	second.Routes["other"] = nil
	assert.ErrorIs(t, d.Apply(second), ErrCorrupt)
	assert.Equal(t, before, d)

	snapshot := h.Document.Snapshot()
	for i := range snapshot {
		for _, bit := range []byte{1, 0x80} {
			bad := slices.Clone(snapshot)
			bad[i] ^= bit
			if got, err := DecodeSnapshot(bad); err == nil {
				got.Version = h.Document.Version // the version is not part of the digest; Document.Apply checks it
				assert.Equal(t, h.Document, got, "byte %d", i)
			}
		}
		_, err := DecodeSnapshot(snapshot[:i])
		assert.ErrorIs(t, err, ErrCorrupt, "truncated to %d bytes", i)
	}
}

// An invalid change must be rejected with all its violations at once, sorted by key, and none of it may be applied.
func TestFaults(t *testing.T) {
	h := NewHistory(NewDocument())
	_, err := h.Accept(Change{ID: "first", Routes: map[string]*Route{"pay": route(9)}, Tenants: map[string]*Tenant{"north": {QuotaRPS: 1}}})
	require.NoError(t, err)
	before := h.Document.Clone()
	var change Change
	require.NoError(t, json.Unmarshal([]byte(`{"base":7,"routes":{"":{"goal-time":1,"deadline":1,"idempotency":"retryable"},
"look":{"goal-time":0,"deadline":-1,"gain":-2,"late-value":1.5,"idempotency":"often","skip-worth":2,"dedup-window":-1},
"key":{"goal-time":1,"deadline":1,"idempotency":"dedup"},"gone":null,"pay":null},
"tenants":{"south":{"quota-rps":-1,"fraction":3},"west":null}}`), &change))
	_, err = h.Accept(change)
	var validationErr *ValidationError
	require.ErrorAs(t, err, &validationErr)
	var keys []string
	for _, f := range validationErr.Violations {
		keys = append(keys, f.Key)
	}
	assert.Equal(t, []string{
		"base", `routes.""`, "routes.gone", "routes.key.dedup-window", "routes.look.deadline", "routes.look.dedup-window",
		"routes.look.gain", "routes.look.goal-time", "routes.look.idempotency", "routes.look.late-value",
		"routes.look.skip-worth", "tenants.south.fraction", "tenants.south.quota-rps", "tenants.west",
	}, keys)
	assert.Equal(t, before, h.Document)

	for name, c := range map[string]Change{
		"empty change":                 {},
		"all routes removed":           {Routes: map[string]*Route{"pay": nil}},
		"replaces all, without routes": {ReplaceAll: true, Tenants: map[string]*Tenant{"north": {}}},
		"ID too long":                  {ID: string(make([]byte, MaxIDBytes+1)), Routes: map[string]*Route{"pay": route(1)}},
		"name too long":                {Routes: map[string]*Route{string(make([]byte, MaxNameBytes+1)): route(1)}},
		"quota is NaN":                 {Tenants: map[string]*Tenant{"north": {QuotaRPS: nan()}}},
	} {
		_, err := h.Accept(c)
		assert.ErrorAs(t, err, &validationErr, name)
		assert.Equal(t, before, h.Document, name)
	}
}

func nan() float64 { zero := 0.0; return zero / zero }

// The response to a change may be lost, so the operator proposes the change again: the same ID must be accepted only
// once, also after a restart. A change with an outdated base version must be rejected.
func TestOnceAndInOrder(t *testing.T) {
	h := NewHistory(NewDocument())
	change := Change{ID: "a", Routes: map[string]*Route{"pay": route(1)}}
	for range 3 {
		version, err := h.Accept(change)
		require.NoError(t, err)
		assert.Equal(t, uint64(1), version)
	}
	base := uint64(1)
	_, err := h.Accept(Change{ID: "b", Base: &base, Routes: map[string]*Route{"pay": route(2)}})
	require.NoError(t, err)
	_, err = h.Accept(Change{ID: "c", Base: &base, Routes: map[string]*Route{"pay": route(3)}})
	assert.ErrorContains(t, err, "base = 1: is not the newest version, which is 2")
	decoded, err := DecodeHistory(h.Encode())
	require.NoError(t, err)
	version, err := decoded.Accept(change)
	require.NoError(t, err)
	assert.Equal(t, uint64(1), version, "IDs must survive a restart")
}

// The number and size of the stored deltas are bounded. A watcher whose version is older than the first stored delta,
// or newer than the latest version, needs a snapshot.
func TestSince(t *testing.T) {
	h := NewHistory(NewDocument())
	for i := range maxDeltas + 10 {
		_, err := h.Accept(Change{ID: fmt.Sprint(i), Routes: map[string]*Route{"pay": route(int64(i%2 + 1))}})
		require.NoError(t, err)
	}
	latest := h.Document.Version
	deltas, needsSnapshot := h.Since(latest)
	assert.Empty(t, deltas)
	assert.False(t, needsSnapshot)
	deltas, needsSnapshot = h.Since(latest - maxDeltas)
	assert.Len(t, deltas, maxDeltas)
	assert.False(t, needsSnapshot)
	for _, version := range []uint64{0, latest - maxDeltas - 1, latest + 1} {
		_, needsSnapshot = h.Since(version)
		assert.True(t, needsSnapshot, version)
	}
	assert.Len(t, h.versionByID, maxIDs)
	assert.Len(t, slices.Collect(maps.Keys(h.versionByID)), maxIDs)
}
