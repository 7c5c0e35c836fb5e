package quartzpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// everyKey states each key that an options file may hold, under the names that files have had since the first version.
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

// The fields of Options have been renamed while files of older programs stay in use. Each key of such a file must still set
// the field that it set before, and a key that no field ever had must still be an error that names it.
func TestOptionsFileKeepsItsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options.toml")
	require.NoError(t, os.WriteFile(path, []byte(everyKey), 0o600))
	options, err := ReadTerms(path)
	require.NoError(t, err)
	assert.Equal(t, Terms{
		Types: []Type{
			{
				Name: "slots", Importance: 2, Contract: 300 * time.Millisecond, Outer: time.Second, Repeats: Reissuable,
				Window: 2 * time.Minute, SkipShare: 0.5,
			},
			{Name: "pay", Repeats: Numbered},
			{Name: "notify", Repeats: AtMostOnce},
		},
		Cores: 2.5, MemoryMB: 512, TaskKB: 32, Grace: 50 * time.Millisecond, Seed: 7, Stuck: 3,
		Calls:     Calls{Share: 3, Over: 4 * time.Second, Linger: 20 * time.Millisecond},
		Customers: []Customer{{Name: "acme", Rate: 10}},
		Servers:   4, OverShare: 0.25,
		State: &State{Dir: "d", Site: "s", MostMB: 16, Commit: 3 * time.Millisecond, NoNumbers: true},
	}, options)

	for _, text := range []string{
		"Options = 1", "RequestKB = 1.0", "[[Routes]]\nName = \"a\"", "[[Types]]\nValue = 1.0", "[[Types]]\nDeadline = \"1s\"",
		"[Calls]\nWindow = \"1s\"", "[State]\nMaxMB = 8", "[[Tenants]]\nName = \"a\"", "FleetServers = 2.0", "OverQuotaValue = 1.0",
		"Gauges = 1", "Rounds = 1",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadTerms(path)
		assert.Error(t, err, text)
	}
}
