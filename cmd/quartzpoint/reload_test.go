package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// SIGHUPs in quick succession, each with a file that is replaced while it is read, during service and during the drain.
// None may end the process or lose a request, and the last file must be in force.
func TestConfigurationsInARow(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := launch(t, build)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			raw, err := os.ReadFile(p.path)
			require.NoError(t, err)
			texts := []string{string(raw), strings.Replace(string(raw), `"halt":"suspend"`, `"halt":"none"`, 1)}
			replaceFile := func(text string) { // atomically, so that a reader sees one file or the other
				require.NoError(t, os.WriteFile(p.path+".new", []byte(text), 0o600))
				require.NoError(t, os.Rename(p.path+".new", p.path))
			}
			reload := func() { require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP)) }
			done := map[uint32]byte{}
			serveWhileReloading := func(stream uint32) {
				router.Send(t, fake.RequestFrame(stream, "pay", ""))
				run := p.pool.Next(t, "spawn")
				replaceFile(texts[stream%2])
				reload()
				replaceFile(texts[(stream+1)%2]) // while the process may be reading the other file
				p.pool.Finish(run.RunID, "success", nil)
				reply := router.Next(t)
				done[reply.Stream] = reply.Code
			}
			for stream := range uint32(20) {
				serveWhileReloading(stream + 1)
			}
			assert.NotContains(t, p.log.String(), "failed, the old one stays")
			replaceFile(strings.Replace(texts[1], `"stop_ms":1500`, `"stop_ms":2500`, 1))
			reload()
			p.waitLogged(t, "stop_ms=2500")
			p.waitLogged(t, "setting=halt value=none")

			// The drain, with a run in progress. Files written in place may be read incomplete.
			router.Send(t, fake.RequestFrame(21, "pay", ""))
			last := p.pool.Next(t, "spawn")
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.waitLogged(t, "drain started")
			for i := range 20 {
				require.NoError(t, os.WriteFile(p.path, []byte(texts[i%2][:len(texts[i%2])-i%3]), 0o600))
				reload()
			}
			require.NoError(t, os.Remove(p.path))
			reload()
			p.waitLogged(t, "no such file")
			p.pool.Finish(last.RunID, "success", nil)
			for stream, codes := range readAnswers(t, router) {
				require.Len(t, codes, 1)
				done[stream] = codes[0]
			}
			assert.Len(t, done, 21)
			for stream, code := range done {
				assert.Equal(t, byte(20), code, stream)
			}
			assert.Zero(t, p.waitExit())
			assert.NotContains(t, p.log.String(), "check failed")
		})
	}
}

// A new configuration with every kind of change that needs a restart must report each of them, and the rest must come
// into force.
func TestKeysThatNeedARestart(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	raw, err := os.ReadFile(p.path)
	require.NoError(t, err)
	text := strings.NewReplacer(`"cores":1.0`, `"cores":0.5`, `"cores":4`, `"cores":5`, `"stop_ms":1500`, `"stop_ms":700.5`,
		`"seed":"1f"`, `"seed":"2e","index":"127.0.0.1:1"`, `"name":"pay"`, `"name":"paid"`,
		`"tenants":[]`, `"tenants":[{"name":"a","quota-rps":5}]`).Replace(string(raw))
	require.NoError(t, os.WriteFile(p.path, []byte(text), 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitLogged(t, "stop_ms=700")
	p.waitLogged(t, `only_with_a_restart="[limits index settings extra.cores,services.1.name,tenants.0.name,tenants.0.quota-rps,tenants.count]"`)
	router := fake.Dial(t, p.address)
	router.Send(t, fake.RequestFrame(1, "pay", "")) // the route has the name that it had at the start
	p.pool.Finish(p.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, byte(20), router.Next(t).Code)
	_ = router.Close()
	began := time.Now()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitLogged(t, "stop_in=700.5ms")
	assert.Zero(t, p.waitExit())
	assert.Less(t, time.Since(began), fake.WaitLimit)
}

// Settings whose text has not changed are not read again. After a file with a part that needs a restart, the original
// file must restore the settings that had changed at run time.
func TestTheSameSettingsAgain(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	first, err := os.ReadFile(p.path)
	require.NoError(t, err)
	other := strings.NewReplacer(`"halt":"suspend"`, `"halt":"none"`, `"cores":4`, `"cores":5`).Replace(string(first))
	require.NotEqual(t, string(first), other)
	reload := func(text, want string) {
		t.Helper()
		reloads := strings.Count(p.log.String(), "configuration reload")
		require.NoError(t, os.WriteFile(p.path, []byte(text), 0o600))
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Count(p.log.String(), "configuration reload") > reloads },
			fake.WaitLimit, time.Millisecond)
		lines := strings.Split(strings.TrimSpace(p.log.String()), "\n")
		last := ""
		for _, line := range lines {
			if strings.Contains(line, "configuration reload") {
				last = line
			}
		}
		assert.Contains(t, last, want)
	}
	reload(string(first), "moved=map[] only_with_a_restart=[]")
	reload(other, `moved=map[halt:none] only_with_a_restart="[settings extra.cores]"`)
	reload(other, `moved=map[] only_with_a_restart="[settings extra.cores]"`)
	reload(string(first), "moved=map[halt:suspend] only_with_a_restart=[]")
	reload(string(first), "moved=map[] only_with_a_restart=[]")
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	assert.Zero(t, p.waitExit())
}
