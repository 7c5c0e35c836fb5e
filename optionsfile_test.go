package quartzpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// everyKey contains each key of an options file, spelled as in the first version.
const everyKey = `
Cores = 2.5
MemoryMB = 512
TaskKB = 32.0
Grace = "50ms"
Seed = 7
Stuck = 3
Servers = 4.0
OverShare = 0.25

[[Types]]
Name = "slots"
Importance = 2.0
Contract = "300ms"
Outer = "1s"
Repeats = "reissuable"
Window = "2m"
SkipShare = 0.5

[[Types]]
Name = "pay"
Repeats = "numbered"

[[Types]]
Name = "notify"
Repeats = "at-most-once"

[Calls]
Share = 3.0
Over = "4s"
Linger = "20ms"

[[Customers]]
Name = "acme"
Rate = 10.0

[State]
Dir = "d"
Site = "s"
MostMB = 16
Commit = "3ms"
NoNumbers = true
`

// Options files of older programs stay in use although fields of Options were renamed. Each key must still set the same
// field, and a key that never existed, such as a new field name, must be an error.
func TestOptionsFileKeepsItsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options.toml")
	require.NoError(t, os.WriteFile(path, []byte(everyKey), 0o600))
	options, err := ReadOptions(path)
	require.NoError(t, err)
	assert.Equal(t, Options{
		Routes: []Route{
			{
				Name: "slots", Value: 2, LatencyTarget: 300 * time.Millisecond, Deadline: time.Second, Idempotency: Retryable,
				DedupWindow: 2 * time.Minute, SkipValueShare: 0.5,
			},
			{Name: "pay", Idempotency: Keyed},
			{Name: "notify", Idempotency: AtMostOnce},
		},
		Cores: 2.5, MemoryMB: 512, RequestKB: 32, Grace: 50 * time.Millisecond, Seed: 7, OverrunLimit: 3,
		Calls:        CallOptions{Share: 3, Window: 4 * time.Second, Linger: 20 * time.Millisecond},
		Tenants:      []Tenant{{Name: "acme", Rate: 10}},
		FleetServers: 4, OverQuotaValue: 0.25,
		State: &State{Dir: "d", Site: "s", MaxMB: 16, CommitInterval: 3 * time.Millisecond, EstimatesOnly: true},
	}, options)

	for _, text := range []string{
		"Options = 1", "RequestKB = 1.0", "[[Routes]]\nName = \"a\"", "[[Types]]\nValue = 1.0", "[[Types]]\nDeadline = \"1s\"",
		"[Calls]\nWindow = \"1s\"", "[State]\nMaxMB = 8", "[[Tenants]]\nName = \"a\"", "FleetServers = 2.0", "OverQuotaValue = 1.0",
		"Gauges = 1", "Rounds = 1",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadOptions(path)
		assert.Error(t, err, text)
	}
}

func TestReadOptions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("Cores = 2.0\nGrace = \"50ms\"\n[[Types]]\nName = \"a\"\nContract = \"300ms\"\n")
	options, err := ReadOptions(path)
	require.NoError(t, err)
	assert.Equal(t, Options{Cores: 2, Grace: 50 * ms, Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}}, options)
	write("Coers = 2\n")
	_, err = ReadOptions(path)
	assert.ErrorContains(t, err, "Coers")
	_, err = ReadOptions("/nowhere")
	assert.ErrorContains(t, err, "/nowhere")
}
