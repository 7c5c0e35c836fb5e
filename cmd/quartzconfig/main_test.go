package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

const testTimeout = 30 * time.Second

// binDir is the directory with the binaries of quartzconfig and quartzpoint, which TestMain builds once.
var binDir string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "quartzconfig")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, ".", "../quartzpoint")
	build.Stderr = os.Stderr
	code := 1
	if binDir = folder; build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// cluster is a set of control machines, each a process of the real binary.
type cluster struct {
	folder   string
	sessions []string
	replicas []string
	keyFile  string
	running  []*exec.Cmd
	logs     []*harness.LogBuffer
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{folder: t.TempDir()}
	c.keyFile = c.write(t, "keys", strings.Repeat("5e", 16)+"\n")
	for range 3 {
		for _, list := range []*[]string{&c.sessions, &c.replicas} {
			free, err := harness.FreeAddress()
			require.NoError(t, err)
			*list = append(*list, free)
		}
		c.running, c.logs = append(c.running, nil), append(c.logs, nil)
	}
	for i := range c.running {
		c.start(t, i)
	}
	t.Cleanup(func() {
		for i := range c.running {
			c.kill(i)
		}
	})
	return c
}

func (c *cluster) write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(c.folder, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// file writes a configuration file of the service and returns its path. head holds the settings that only serving needs,
// name and data; it is empty in a file for the other commands.
func (c *cluster) file(t *testing.T, name, head string) string {
	text := head + fmt.Sprintf("key-file = %q\n", c.keyFile)
	for i := range c.sessions {
		text += fmt.Sprintf("[[machine]]\nname = \"c%d\"\nzone = \"z%d\"\nreplication = %q\nsessions = %q\n", i, i, c.replicas[i], c.sessions[i])
	}
	return c.write(t, name, text)
}

func (c *cluster) start(t *testing.T, i int) {
	t.Helper()
	head := fmt.Sprintf("name = \"c%d\"\ndata = %q\n", i, filepath.Join(c.folder, fmt.Sprint("data", i)))
	cmd := exec.Command(filepath.Join(binDir, "quartzconfig"), "serve", "--config", c.file(t, fmt.Sprintf("c%d.toml", i), head))
	c.logs[i] = &harness.LogBuffer{}
	cmd.Stderr = c.logs[i]
	require.NoError(t, cmd.Start())
	c.running[i] = cmd
	require.Eventually(t, func() bool { return strings.Contains(c.logs[i].String(), "msg=serving") }, testTimeout, time.Millisecond, c.logs[i].String())
}

func (c *cluster) kill(i int) {
	if cmd := c.running[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		c.running[i] = nil
	}
}

// run runs a command and returns its output and exit code.
func (c *cluster) run(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "quartzconfig"), append(args, "--config", c.file(t, "client.toml", ""))...)
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	var exit *exec.ExitError
	if err := cmd.Run(); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		require.NoError(t, err)
	}
	return output.String(), code
}

// apply applies a change and returns the resulting version.
func (c *cluster) apply(t *testing.T, change string) int {
	t.Helper()
	out, code := c.run(t, "apply", c.write(t, "change.json", change))
	require.Zero(t, code, out)
	version, err := strconv.Atoi(strings.TrimSpace(out))
	require.NoError(t, err, out)
	return version
}

// server starts an app server that watches the service.
func (c *cluster) server(t *testing.T) *harness.Daemon {
	t.Helper()
	section := fmt.Sprintf("[configuration]\nname = \"app\"\nzone = \"z1\"\ndir = %q\nkey-file = %q\n", filepath.Join(c.folder, "kept"), c.keyFile)
	for i, address := range c.sessions {
		section += fmt.Sprintf("[[configuration.machine]]\nzone = \"z%d\"\naddress = %q\n", i, address)
	}
	appRoutes := []harness.Route{{Name: "base", LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}}
	d, err := harness.Start(filepath.Join(binDir, "quartzpoint"), c.folder, "app", appRoutes, harness.Machine{Cores: 4, Speed: 1, MemoryKB: 1e6}, section)
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Stop() })
	return d
}

func waitForVersion(t *testing.T, d *harness.Daemon, version int) {
	t.Helper()
	want := fmt.Sprintf("msg=\"configuration: in force\" version=%d ", version)
	require.Eventually(t, func() bool { return strings.Contains(d.Log(), want) }, testTimeout, time.Millisecond, d.Log())
}

// sendRequest sends one request of a route and returns the status code of its response.
func sendRequest(t *testing.T, d *harness.Daemon, route string) (code byte) {
	t.Helper()
	appRoutes := []harness.Route{{Name: route, LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}}
	got, err := harness.Run(d.Address, appRoutes, []harness.Arrival{{Work: time.Millisecond, Rank: 0.9}}, 1)
	require.NoError(t, err)
	require.Len(t, got.Codes, 1)
	for code = range got.Codes {
	}
	return code
}

const (
	codeServed   = 20
	codeRejected = 50
)

func routes(names ...string) string {
	var all []string
	for _, name := range names {
		all = append(all, fmt.Sprintf(`%q:{"goal-time":1000000,"deadline":2000000,"gain":1,"idempotency":"retryable"}`, name))
	}
	return `{"routes":{` + strings.Join(all, ",") + `}}`
}

// Tests the real binaries. A change comes into force at a running server without a restart. Changes are still accepted
// after the leader is killed. After all control machines are killed, the server continues with the version that it
// stored, even after a restart. Each kind of error has its exit code.
func TestRealPrograms(t *testing.T) {
	c := newCluster(t)
	d := c.server(t)
	require.Equal(t, byte(codeServed), sendRequest(t, d, "base"))
	require.Equal(t, byte(codeRejected), sendRequest(t, d, "quote"))
	require.Equal(t, 1, c.apply(t, routes("base", "quote")))
	waitForVersion(t, d, 1)
	assert.Equal(t, byte(codeServed), sendRequest(t, d, "quote"), "added")
	require.Equal(t, 2, c.apply(t, `{"routes":{"base":null}}`))
	waitForVersion(t, d, 2)
	assert.Equal(t, byte(codeRejected), sendRequest(t, d, "base"), "removed")

	out, code := c.run(t, "apply", c.write(t, "bad.json", `{"base":1,"routes":{"x":{"deadline":-1}},"tenants":{"nobody":null}}`))
	assert.Equal(t, exitRejected, code)
	for _, key := range []string{"base = 1", "routes.x.deadline = -1", "routes.x.goal-time = 0", "routes.x.idempotency", "tenants.nobody"} {
		assert.Contains(t, out, key)
	}
	out, code = c.run(t, "apply", c.write(t, "typo.json", `{"rutes":{}}`))
	assert.Equal(t, exitRejected, code)
	assert.Contains(t, out, "rutes")
	_, code = c.run(t, "apply")
	assert.Equal(t, exitUsage, code)

	leader := c.leader(t)
	c.kill(leader)
	require.Equal(t, 3, c.apply(t, routes("late")))
	waitForVersion(t, d, 3)
	out, code = c.run(t, "status")
	assert.Zero(t, code)
	assert.Contains(t, out, "version 3, 1 watchers")
	assert.Contains(t, out, fmt.Sprintf("no answer: c%d", leader))

	for i := range c.running {
		c.kill(i)
	}
	require.Equal(t, byte(codeServed), sendRequest(t, d, "late"), "the server must continue with the version in force")
	out, code = c.run(t, "apply", "--wait", "300ms", c.write(t, "change.json", routes("later")))
	assert.Equal(t, exitUnavailable, code, out)
	out, code = c.run(t, "status", "--wait", "300ms")
	assert.Equal(t, exitUnavailable, code, out)
	require.NoError(t, d.Kill())
	d = c.server(t)
	assert.Contains(t, d.Log(), `msg="configuration: stored version in force" version=3 age=`)
	assert.Equal(t, byte(codeServed), sendRequest(t, d, "late"), "the stored version must be in force")
	assert.Equal(t, byte(codeRejected), sendRequest(t, d, "base"), "the platform's configuration must not be in force")
	for i := range c.running {
		c.start(t, i)
	}
	require.Equal(t, 4, c.apply(t, `{"routes":{"quote":null}}`))
	waitForVersion(t, d, 4)
	assert.Equal(t, byte(codeRejected), sendRequest(t, d, "quote"))
}

// leader waits until the status names a leader, and returns its index.
func (c *cluster) leader(t *testing.T) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		out, _ := c.run(t, "status")
		n, err := fmt.Sscanf(out, "leader c%d,", &leader)
		return n == 1 && err == nil
	}, testTimeout, 10*time.Millisecond)
	return leader
}

// All errors of an invalid file are reported, each by file, line and key, and the service does not start.
func TestFaultyFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "c.toml")
	require.NoError(t, os.WriteFile(path, []byte(`name = "c9"
[[machine]]
name = "c1"
replication = "10.0.0.1:1"
sessions = "nowhere"
zonne = "a"
`), 0o600))
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "quartzconfig"), "serve", "--config", path)
	cmd.Stderr = &out
	assert.Error(t, cmd.Run())
	for _, want := range []string{"c.toml:1: name", "c.toml:4: machine.0.replication", "c.toml:5: machine.0.sessions", "c.toml:6: machine.0.zonne"} {
		assert.Contains(t, out.String(), want)
	}
}
