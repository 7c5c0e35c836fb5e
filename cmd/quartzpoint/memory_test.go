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

// residentKB returns the resident anonymous memory of the process in KiB, which excludes the program file
// that it maps.
func (p *program) residentKB(t *testing.T) (kb int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		_, _ = fmt.Sscanf(line, "RssAnon: %d", &kb)
	}
	require.Positive(t, kb)
	return kb
}

// With 8 or 16 MB of memory, the idle runtime uses more than the share of it that the runtime's memory limit would
// allow. Near that limit the runtime used to collect without end.
func TestLittleMemory(t *testing.T) {
	for _, mb := range []int{8, 16, 32} {
		t.Run(fmt.Sprint(mb), func(t *testing.T) {
			p := prepare(t, builds["release"])
			text, err := os.ReadFile(p.path)
			require.NoError(t, err)
			replacer := strings.NewReplacer(`"sockets":256`, `"sockets":512`, `"memory_mb":96`, fmt.Sprintf(`"memory_mb":%d`, mb))
			require.NoError(t, os.WriteFile(p.path, []byte(replacer.Replace(string(text))), 0o600))
			p.cmd.Env = append(p.cmd.Env, "GODEBUG=gctrace=1")
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.SetEcho()
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			atStart := p.residentKB(t)
			defer p.openConnections(400, checkHealthOnce)()
			idle := p.residentKB(t)
			router := fake.Dial(t, p.address)
			const requests = 2000
			for stream := range uint32(requests) {
				router.Send(t, fake.RequestFrame(stream+1, "browse", strings.Repeat("x", 1000)))
				assert.Equal(t, byte(20), router.Next(t).Code)
			}
			collections := strings.Count(p.log.String(), "\ngc ")
			t.Logf("%d KiB at the start, %d with 400 idle connections, %d after %d requests; %d threads, %d collections",
				atStart, idle, p.residentKB(t), requests, p.stat(t, 20), collections)
			assert.Less(t, collections, requests/20)
			assert.Less(t, (idle-atStart)/400, 16, "KiB per idle connection")
			assert.Less(t, p.stat(t, 20), 16)
		})
	}
}
