package configwatch_test

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/store"
)

// storedMessages returns messages of the configuration service, by the names under which testdata holds their encoding
// by commit f1daac1.
func storedMessages(t *testing.T) map[string]any {
	t.Helper()
	change := configuration.Change{
		ID: "first", Routes: map[string]*configuration.Route{
			"base": {LatencyTarget: 1e6, Deadline: 2e6, Value: 1.25, LateValueShare: 0.5, Idempotency: configuration.Retryable},
			"pay":  {LatencyTarget: 1, Deadline: 2, Value: 3, Idempotency: configuration.Keyed, DedupWindow: 4, CallsDependency: true, SkipValueShare: 0.75},
		},
		Tenants: map[string]*configuration.Tenant{"north": {QuotaRPS: 50, TrafficShare: 0.5}},
	}
	raw, err := json.Marshal(change)
	require.NoError(t, err)
	d := configuration.NewDocument()
	first := d.Accept(change)
	second := d.Accept(configuration.Change{Routes: map[string]*configuration.Route{"base": nil}})
	return map[string]any{
		"watch": &configwatch.Request{
			Watch: &configwatch.WatchRequest{Name: "app", Zone: "z1", Version: 7, Digest: 9973943769626869115},
		},
		"change":   &configwatch.Request{Change: raw},
		"status":   &configwatch.Request{Status: &configwatch.StatusRequest{}},
		"deltas":   &configwatch.Update{Deltas: [][]byte{first.Encode(), second.Encode()}, Latest: 2},
		"snapshot": &configwatch.Update{Snapshot: d.Snapshot(), Latest: 2},
		"report":   &configwatch.Report{Version: 1, Digest: 5, Rejected: 2, Reason: "no room"},
		"outcome": &configwatch.ChangeResponse{
			Version: 3, Violations: []configuration.Violation{{Key: "routes.x.deadline", Value: "-1", Allowed: "above 0"}},
			Leader: "here", Error: "late",
		},
		"machine": &configwatch.ReplicaStatus{
			Name: "c0", Leader: "c1", Version: 4, Digest: 6, Watchers: 2, PropagationDelays: []time.Duration{1, 2},
			Lagging: []configwatch.LaggingWatcher{{Name: "app", Zone: "z0", Version: 3, Lag: time.Second, Reason: "no room"}},
		},
	}
}

// The encoding of messages must not change in either direction, because servers of two versions communicate during a
// rolling upgrade.
func TestStoredMessages(t *testing.T) {
	sent := map[string]string{}
	for name, message := range storedMessages(t) {
		sent[name] = hex.EncodeToString(configwatch.Encode(message))
	}
	got, err := json.MarshalIndent(sent, "", "  ")
	require.NoError(t, err)
	want, err := os.ReadFile(filepath.Join("testdata", "f1daac1", "messages.json"))
	require.NoError(t, err)
	require.Equal(t, string(want), string(got)+"\n")
	for name, message := range storedMessages(t) {
		raw, err := hex.DecodeString(sent[name])
		require.NoError(t, err)
		decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		require.NoError(t, configwatch.Decode(raw, decoded), name)
		assert.Equal(t, message, decoded, name)
	}
}

// A watcher that starts with the document stored by an app server of commit f1daac1 starts with its version and
// applies the next delta to it.
func TestResumeFromStoredDocument(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "f1daac1", "configuration"))))
	open := func() (*store.ConfigurationStore, *configuration.Document) {
		in, err := datadir.Open(dir, false)
		require.NoError(t, err)
		configurationStore, stored, err := store.OpenConfigurationStore(in)
		require.NoError(t, err)
		require.NotNil(t, stored.Document)
		require.Empty(t, stored.Skipped)
		return configurationStore, stored.Document
	}
	configurationStore, document := open()
	assert.Equal(t, uint64(4), document.Version)
	assert.Equal(t, configuration.Digest(0x39fd3cc70b6903d2), document.Digest)
	assert.Equal(t, map[string]configuration.Route{
		"base": {LatencyTarget: 1000000, Deadline: 2000000, Value: 1, Idempotency: configuration.Retryable},
		"calls": {
			LatencyTarget: 700000, Deadline: 1500000, Value: 2, Idempotency: configuration.Retryable, CallsDependency: true, SkipValueShare: 0.5,
		},
		"charge": {LatencyTarget: 1500000, Deadline: 3000000, Value: 5, Idempotency: configuration.Keyed, DedupWindow: 60000000},
		"order":  {LatencyTarget: 900000, Deadline: 3000000, Value: 4, LateValueShare: 0.25, Idempotency: configuration.AtMostOnce},
	}, document.Routes)
	assert.Equal(t, map[string]configuration.Tenant{"north": {QuotaRPS: 75, TrafficShare: 0.5}, "south": {QuotaRPS: 12.5}}, document.Tenants)

	// the delta of the fifth change, as a control machine of commit f1daac1 would send it
	fifth := &configuration.Route{LatencyTarget: 800000, Deadline: 2000000, Value: 1.5, Idempotency: configuration.Retryable}
	delta := document.Clone().Accept(configuration.Change{Routes: map[string]*configuration.Route{"base": fifth}})
	assert.Equal(t, configuration.Digest(15045096694224017753), delta.Digest)
	require.NoError(t, document.Apply(delta))
	require.NoError(t, configurationStore.Append(delta, document))
	require.NoError(t, configurationStore.Close())
	configurationStore, reopened := open()
	assert.Equal(t, document, reopened)
	require.NoError(t, configurationStore.Close())
}
