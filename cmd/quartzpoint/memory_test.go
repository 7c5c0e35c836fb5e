package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// resident is the memory of the process that the system holds for it, without what it shares with its file, in KiB.
func (p *program) resident(t *testing.T) (own int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		_, _ = fmt.Sscanf(line, "RssAnon: %d", &own)
	}
	require.Positive(t, own)
	return own
}

// Near its limit the runtime collected without end: of 8 and of 16 MB it takes more than its part of them at rest.
func TestLittleMemory(t *testing.T) {
	for _, mb := range []int{8, 16, 32} {
		t.Run(fmt.Sprint(mb), func(t *testing.T) {
			p := prepare(t, builds["release"])
			text, err := os.ReadFile(p.path)
			require.NoError(t, err)
			stated := strings.NewReplacer(`"sockets":256`, `"sockets":512`, `"memory_mb":96`, fmt.Sprintf(`"memory_mb":%d`, mb))
			require.NoError(t, os.WriteFile(p.path, []byte(stated.Replace(string(text))), 0o600))
			p.cmd.Env = append(p.cmd.Env, "GODEBUG=gctrace=1")
			require.NoError(t, p.cmd.Start())
			p.endWith(t)
			p.pool.SetEcho()
			p.pool.Ready()
			p.logged(t, "pool link bound")
			atStart := p.resident(t)
			defer p.flood(400, asksOnce)()
			idle := p.resident(t)
			router := fake.Dial(t, p.address)
			const tasks = 2000
			for stream := range uint32(tasks) {
				router.Send(t, fake.RequestFrame(stream+1, "browse", strings.Repeat("x", 1000)))
				assert.Equal(t, byte(20), router.Next(t).Code)
			}
			collections := strings.Count(p.log.String(), "\ngc ")
			t.Logf("%d KiB at the start, %d with 400 idle connections, %d after %d tasks; %d threads, %d collections",
				atStart, idle, p.resident(t), tasks, p.stat(t, 20), collections)
			assert.Less(t, collections, tasks/20)
			assert.Less(t, (idle-atStart)/400, 16, "KiB for an idle connection")
			assert.Less(t, p.stat(t, 20), 16)
		})
	}
}
