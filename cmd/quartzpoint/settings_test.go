package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// The process must start and serve with valid configurations of every kind. Some used to be rejected because they had a
// fraction instead of a whole number. One crashed the runtime, which allocates memory for as many cores as it is given.
func TestValidConfigurations(t *testing.T) {
	var many []string
	for i := range 48 {
		many = append(many, fmt.Sprintf(`{"name":"%s-%d","deadline":9000000,"goal-time":8000000,"gain":1.0,"idempotency":"dedup",
"dedup-window":%d,"late-value":0.0}`, strings.Repeat("long", 30), i, i))
	}
	replace := func(old, with string) func(string) string {
		return func(text string) string {
			require.Contains(t, text, old)
			return strings.Replace(text, old, with, 1)
		}
	}
	cases := map[string]func(string) string{
		"stop time as a fraction": replace(`"stop_ms":1500`, `"stop_ms":1500.5`),
		"stop time as a float":    replace(`"stop_ms":1500`, `"stop_ms":1.5e3`),
		"memory as a fraction":    replace(`"memory_mb":96`, `"memory_mb":96.5`),
		"sockets as a float":      replace(`"sockets":256`, `"sockets":256.0`),
		"fraction of a core":      replace(`"limits":{"cores":1.0`, `"limits":{"cores":0.01`),
		"huge number of cores":    replace(`"limits":{"cores":1.0`, `"limits":{"cores":1e18`),
		"huge memory":             replace(`"memory_mb":96`, `"memory_mb":1e18`),
		"huge number of sockets":  replace(`"sockets":256`, `"sockets":1e18`),
		"huge stop time":          replace(`"stop_ms":1500`, `"stop_ms":1e18`),
		"little memory":           replace(`"memory_mb":96`, `"memory_mb":12`),
		"no dependency":           replace(`"name":"n1"`, `"name":"n1","index":null,"more":[{}]`),
		"host and port names":     replace(`"seed":`, `"index":"calls.invalid:http","seed":`),
		"no tenants key":          replace(`"tenants":[],`, ``),
		"tenants without names":   replace(`"tenants":[]`, `"tenants":[{"quota-rps":3},{"name":"b","quota-rps":2.5}]`),
		"zero durations": replace(`"warm-up":9000000`,
			`"warm-up":0,"fall":0,"grace-to-answer":0`),
		"no grace, no idle time": func(text string) string {
			text = replace(`"stop-sending-within":400000`, `"stop-sending-within":0`)(text)
			return replace(`"idle":30000000`, `"idle":0,"heeded":0,"lingers":0,"calls-over":0`)(text)
		},
		"no Retry-After":      replace(`"max-retry-after":1000000`, `"max-retry-after":0`),
		"no ticks":            replace(`"servers":3`, `"servers":0,"tick":0`),
		"durations as floats": replace(`"idle":30000000`, `"idle":3e7,"heeded":1000000.0,"calls-over":1e30`),
		"dozens of routes":    replace(`"services":[`, `"services":[`+strings.Join(many, ",")+`,`),
		"one core, no lists": replace(`"calls-by-class":[false,false],
"class-skip-worth":[0.0,0.0],`, `"calls-by-class":[],"class-skip-worth":null,`),
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			p := prepare(t, builds["debug"])
			raw, err := os.ReadFile(p.path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(p.path, []byte(change(string(raw))), 0o600))
			out, code := runCommand(t, nil, "check", p.path)
			assert.Zero(t, code, out)
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			p.waitLogged(t, `msg="configuration reloaded"`)
			router := fake.Dial(t, p.address)
			router.Send(t, fake.RequestFrame(1, "pay", ""))
			p.pool.Finish(p.pool.Next(t, "spawn").RunID, "success", nil)
			assert.Equal(t, byte(20), router.Next(t).Code)
			assert.Contains(t, p.log.String(), "only_with_a_restart=[]")
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			_ = router.Close()
			assert.Zero(t, p.waitExit())
		})
	}
}

// All errors must be reported at once, with the file and the key, in the same words at the start, on a reload and by
// the check command. The first error used to hide others, several errors had the same message, and impossible addresses
// and numbers were found late or never.
func TestAllErrorsReportedAtOnce(t *testing.T) {
	cases := []struct {
		text string
		want []string
	}{
		{`{`, []string{"unexpected end"}},
		{`[]`, []string{"json: cannot unmarshal array"}},
		{`{}`, []string{"name is missing", "listen is missing", "pool is missing", "members is missing", "seed is missing",
			"stop_ms is missing", "limits.cores is missing", "limits.memory_mb is missing", "limits.sockets is missing",
			"settings is missing"}},
		{`{"name":7,"listen":"here","pool":"127.0.0.1","members":"127.0.0.1:0","index":"127.0.0.1:66000","seed":"xyz",
"stop_ms":-1,"limits":{"cores":-0.5,"memory_mb":"much","sockets":0},"settings":{"extra":{"cores":-4,"ram-kb":"NaN"},
"services":[{"name":"a","idempotency":"dedup","deadline":-1,"goal-time":1}]}}`,
			[]string{"name: want a string, got 7", "listen: ", "pool: ", "members: ", "index: ", "seed: ", "stop_ms: want a number above 0, got -1",
				"limits.cores: want a number above 0, got -0.5", "limits.memory_mb: ", "limits.sockets: want a number above 0, got 0",
				"setting extra.cores: -4 is not above 0", "setting extra.ram-kb: ", "setting services.0.deadline: "}},
		{`{"name":"n1","listen":"127.0.0.1:0","pool":"a b:1","members":":x","seed":"1","stop_ms":1e999,"limits":[],
"settings":{"services":[{"name":"a"}]}}`,
			[]string{"pool: ", "members: ", "stop_ms: ", "limits.cores: ", "limits.memory_mb: ", "limits.sockets: ",
				"setting services.0.idempotency: is missing", "setting services.0.deadline: is missing",
				"setting services.0.goal-time: is missing"}},
	}
	running := launch(t, "release")
	began := len(running.log.String())
	for i, c := range cases {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		started, code := runCommand(t, []string{"EDGE_CONFIG=" + path})
		assert.Equal(t, 1, code, started)
		assert.Equal(t, 1, strings.Count(started, "\n"), started)
		checked, code := runCommand(t, nil, "check", path)
		assert.Equal(t, 1, code, checked)
		for _, text := range c.want {
			assert.Contains(t, checked, "configuration "+path+": "+text, c.text)
			assert.Contains(t, started, strings.ReplaceAll(text, `"`, `\"`), c.text)
		}
		require.NoError(t, os.WriteFile(running.path, []byte(c.text), 0o600))
		require.NoError(t, running.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool {
			return strings.Count(running.log.String(), "failed, the old one stays") == i+1
		}, fake.WaitLimit, time.Millisecond, c.text)
	}
	// On a reload the environment variables override the file.
	assert.NotContains(t, running.log.String()[began:], "listen")
	assert.NotContains(t, running.log.String()[began:], "name: want")
	router := fake.Dial(t, running.address)
	running.pool.Ready()
	router.Send(t, fake.RequestFrame(1, "pay", ""))
	running.pool.Finish(running.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, byte(20), router.Next(t).Code, "the configuration in force must stay")
}

// Every number that may be 0 is 0. A timer without a duration, or a round that causes the next one, would keep a thread
// busy.
func TestZeroSettingsKeepNoThreadBusy(t *testing.T) {
	const settings = `{"extra":{"advert":"threshold","below":"shared","calls-by-class":[true],"cold":true,"cores":1,"gauges":[],
"halt":"none","idle":0,"heeded":0,"lingers":0,"calls-over":0,"calls-out":0,"ram-kb":60000,"run-factor":0,"key-kb":0},
"limits":{"max-retry-after":0,"retry-after":true},"obligations":{"cold-share":0,"overload-factor":0.1,"fall":0,
"stop-sending-within":0,"warm-up":0,"grace-to-answer":0},"servers":0,"tick":0,"over-share-worth":0,"services":[{"name":"a",
"deadline":1,"goal-time":0,"idempotency":"dedup","dedup-window":0,"gain":0,"late-value":0}],"tenants":[{"quota-rps":0}]}`
	for _, unreachable := range []bool{false, true} {
		t.Run(fmt.Sprintf("pool unreachable: %t", unreachable), func(t *testing.T) {
			p := prepare(t, builds["debug"])
			pool := p.pool.Address
			if unreachable {
				pool = "127.0.0.1:1"
			}
			fake.RewriteConfigWithDependency(t, p.path, p.address, pool, p.members.Address, "127.0.0.1:1", settings)
			began := time.Now()
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "msg=serving")
			router := fake.Dial(t, p.address)
			router.Send(t, fake.RequestFrame(1, "a", "")) // its deadline passes at once
			assert.Equal(t, byte(50), router.Next(t).Code)
			for range 9 { // two seconds of reports
				p.members.Next(t)
			}
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			_ = router.Close()
			assert.Zero(t, p.waitExit())
			used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
			assert.Less(t, used, time.Since(began)/2)
		})
	}
}
