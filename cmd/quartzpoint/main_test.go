package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// builds maps the names of the programs under test to their paths.
var builds = map[string]string{}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "quartzpoint")
	if err != nil {
		panic(err)
	}
	for name, tags := range map[string]string{"release": "", "debug": "debug"} {
		builds[name] = filepath.Join(dir, name)
		out, err := exec.Command("go", "build", "-buildvcs=false", "-tags", tags, "-o", builds[name], ".").CombinedOutput()
		if err != nil {
			panic(fmt.Sprintf("building: %v\n%s", err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// program is a process under test with the fake services that it uses.
type program struct {
	cmd     *exec.Cmd
	address string
	pool    *fake.Pool
	members *fake.Membership
	path    string // of its configuration
	log     *harness.LogBuffer
}

func launch(t *testing.T, build string) *program {
	p := prepare(t, builds[build])
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	assert.Equal(t, "HB n1 UP", p.members.Next(t))
	p.waitLogged(t, "msg=serving")
	return p
}

// prepare sets up everything that a process needs, without starting it.
func prepare(t *testing.T, command ...string) *program {
	address, err := harness.FreeAddress() // not at 127.0.0.1, where another connection may be given the port before the process listens on it
	require.NoError(t, err)
	p := &program{address: address, pool: fake.NewPool(t), members: fake.NewMembership(t), log: &harness.LogBuffer{}}
	p.path = fake.WriteConfig(t, p.address, p.pool.Address, p.members.Address, fake.SiteSettings)
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.path, "EDGE_NAME=n1", "EDGE_LISTEN="+p.address)
	p.cmd.Stderr = p.log
	return p
}

// killAtCleanup kills the process at the end of the test, and logs its output if the test failed.
func (p *program) killAtCleanup(t *testing.T) {
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has exited by itself, which is fine
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Log(p.log)
		}
	})
}

func (p *program) waitLogged(t *testing.T, text string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Contains(p.log.String(), text) },
		fake.WaitLimit, time.Millisecond, text)
}

// waitExit waits for the end of the process and returns its exit code.
func (p *program) waitExit() int {
	_ = p.cmd.Wait() // the exit code is returned instead
	return p.cmd.ProcessState.ExitCode()
}

func TestServesRequestsUntilDrained(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := launch(t, build)
			health := fake.Dial(t, p.address)
			for stream, deep := range []string{"0", "1"} {
				health.Send(t, fake.Frame(20, uint32(stream), "", "e2e", deep))
				assert.Equal(t, byte(20), health.Next(t).Code, "health must be good before the pool is up")
			}
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")

			router := fake.Dial(t, p.address)
			body := "\x00\xff\r\n{}"
			router.Send(t, fake.RequestFrame(1, "browse", body), fake.RequestFrame(2, "pay", "second"))
			for range 2 {
				spawn := p.pool.Next(t, "spawn")
				p.pool.Finish(spawn.RunID, "success", append([]byte("did "), spawn.Body...))
			}
			got := map[uint32]string{}
			for range 2 {
				reply := router.Next(t)
				assert.Equal(t, byte(20), reply.Code)
				got[reply.Stream] = reply.Body
			}
			assert.Equal(t, map[uint32]string{1: "did " + body, 2: "did second"}, got)

			// A bad request and a bad frame must not disturb other traffic.
			router.Send(t, fake.RequestFrame(3, "unheard-of", ""))
			assert.Equal(t, byte(50), router.Next(t).Code)
			bad := fake.Dial(t, p.address)
			bad.Send(t, []byte("GET / HTTP/1.1\r\n"))
			assert.Equal(t, byte(51), bad.Next(t).Code)
			bad.WaitClosed(t)

			// The pool link is cut during a run: the server must learn the end of the run, and must not start it again.
			router.Send(t, fake.RequestFrame(4, "pay", ""))
			p.pool.Next(t, "spawn")
			first := len(p.pool.Commands)
			p.pool.CloseLink()
			p.pool.Finish(fake.RequestID(4), "success", []byte("once"))
			assert.Equal(t, "once", router.Next(t).Body)
			assert.Zero(t, first)
			for len(p.pool.Commands) > 0 {
				assert.NotEqual(t, "spawn", (<-p.pool.Commands).Verb)
			}
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			assert.Equal(t, byte(30), router.Next(t).Type)
			_ = router.Close()
			_ = health.Close()
			assert.Zero(t, p.waitExit())
		})
	}
}

// With far more load than the cores can serve, requests must be rejected, some of them with a Retry-After and some with
// the advice not to retry at another server, and the shed level must rise.
func TestOverload(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	router := fake.Dial(t, p.address)
	codes, advised, noRetryElsewhere, level := map[byte]int{}, 0, 0, ""
	for stream, open := uint32(1), 0; advised == 0 || noRetryElsewhere == 0 || level == "" || level == "0"; open-- {
		for ; open < 30; open++ {
			router.Send(t, fake.RequestFrame(stream, "browse", ""))
			stream++
		}
		reply := router.Next(t)
		codes[reply.Code]++
		level = reply.Fields["load"]
		if reply.Code == 50 && reply.Fields["pushback"] != "" {
			advised++
		}
		if reply.Code == 50 && reply.Fields["stop"] == "1" {
			noRetryElsewhere++
		}
	}
	assert.Zero(t, codes[20], "no run ends in this test")
	assert.Positive(t, codes[50])
}

// The drain starts with requests running and queued: all must be answered, and none may run after the grace.
func TestDrain(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := launch(t, build)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			const before = 20
			for stream := range uint32(before) {
				router.Send(t, fake.RequestFrame(stream+1, "pay", ""))
			}
			p.pool.Next(t, "spawn")
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.waitLogged(t, "stopped accepting connections\"")
			answered := map[uint32]byte{}
			for len(answered) < before {
				if reply := router.Next(t); reply.Type == 11 {
					answered[reply.Stream] = reply.Code
					assert.NotEqual(t, byte(20), reply.Code)
				}
			}
			_, err := net.Dial("tcp", p.address)
			assert.ErrorIs(t, err, syscall.ECONNREFUSED)
			_ = router.Close()
			assert.Zero(t, p.waitExit())
			assert.Contains(t, p.log.String(), "msg=\"drain complete\"")
		})
	}
}

// A SIGHUP must make the process read its configuration file again: a valid one, an invalid one, while the pool link is
// down, and during the drain. It used to end the process.
func TestNewConfiguration(t *testing.T) {
	for build := range builds {
		t.Run(build, func(t *testing.T) {
			p := launch(t, build)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			reloads := 0
			reload := func(want string) {
				t.Helper()
				require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
				reloads++
				var last []string
				require.Eventually(t, func() bool {
					last = strings.Split(p.log.String(), `msg="configuration reload`)
					return len(last) == reloads+1
				}, fake.WaitLimit, time.Millisecond, want)
				assert.Contains(t, last[reloads], want)
			}
			relocate := func() {
				p.pool.Relocate(t)
				p.members = fake.NewMembership(t)
				fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, fake.SiteSettings)
			}
			run := func(stream uint32, route string) string {
				t.Helper()
				router.Send(t, fake.RequestFrame(stream, route, ""))
				return p.pool.Next(t, "spawn").RunID
			}
			finish := func(runID string) {
				t.Helper()
				p.pool.Finish(runID, "success", []byte(runID))
				assert.Equal(t, runID, router.Next(t).Body)
			}
			first := run(1, "pay")
			relocate()
			reload("only_with_a_restart=[]")
			assert.Equal(t, "HB n1 UP", p.members.Next(t))
			p.waitLogged(t, "pool link changes address")
			finish(first)
			finish(run(2, "pay"))

			for _, bad := range []string{"", `{"name":"n1"`, `{}`} {
				require.NoError(t, os.WriteFile(p.path, []byte(bad), 0o600))
				reload("failed, the old one stays")
			}
			require.NoError(t, os.Remove(p.path))
			reload("failed, the old one stays")
			fake.RewriteConfig(t, p.path, p.address, "pool without port", p.members.Address, fake.SiteSettings)
			reload("failed, the old one stays")
			fake.RewriteConfig(t, p.path, "127.0.0.1:9", p.pool.Address, p.members.Address, fake.SiteSettings)
			reload("only_with_a_restart=[]") // the environment variable for listen overrides the file
			changed := strings.Replace(fake.SiteSettings, `"cores":4`, `"cores":5`, 1)
			fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, changed)
			reload(`only_with_a_restart="[settings extra.cores]"`)
			finish(run(3, "pay"))
			// Settings that may change at run time are changed and changed back, while a run is in progress.
			across := run(4, "browse")
			for _, halt := range []string{"none", "suspend"} {
				changed := strings.Replace(fake.SiteSettings, `"halt":"suspend"`, `"halt":"`+halt+`"`, 1)
				fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, changed)
				reload("moved=map[halt:" + halt + "] only_with_a_restart=[]")
				p.waitLogged(t, "msg=\"setting changed\" setting=halt value="+halt)
			}
			wrong := strings.Replace(fake.SiteSettings, `"halt":"suspend"`, `"halt":"later"`, 1)
			fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, wrong)
			reload("failed, the old one stays")
			finish(across)
			fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, fake.SiteSettings)

			kept := run(5, "browse") // the lost link may leave it unknown whether this run has begun
			relocate()               // the old address accepts no new connections
			p.pool.CloseLink()
			p.waitLogged(t, "pool link down")
			reload("only_with_a_restart=[]")
			finish(kept)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			p.waitLogged(t, "drain started")
			relocate()
			reload("only_with_a_restart=[]")
			assert.Equal(t, "HB n1 OUT", p.members.Next(t))
			for range 20 { // in quick succession
				require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			}
			_ = router.Close()
			assert.Zero(t, p.waitExit())
		})
	}
}

func TestBadConfiguration(t *testing.T) {
	cases := map[string]string{
		`{`:             "unexpected end",
		`{"name":"n1"}`: "listen is missing",
		`{"name":"n1","listen":"127.0.0.1:0","pool":"127.0.0.1:1","members":"127.0.0.1:1","settings":{}}`: "above 0",
		`{"name":"n1","listen":"127.0.0.1:0","pool":"127.0.0.1:1","members":"127.0.0.1:1","settings":{},"stop_ms":9,
"limits":{"cores":1,"memory_mb":9,"sockets":9},"seed":"x"}`: "seed",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		cmd := exec.Command(builds["release"])
		cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME=", "EDGE_LISTEN=")
		out, err := cmd.CombinedOutput()
		assert.Error(t, err, text)
		assert.Contains(t, string(out), want)
		assert.Equal(t, 1, strings.Count(string(out), "\n"), "%s", out)
	}
}
