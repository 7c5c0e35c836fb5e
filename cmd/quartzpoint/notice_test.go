package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// readAnswers reads until the end of a connection, which must be orderly, and returns the codes of the answers by
// stream.
func readAnswers(t *testing.T, r *fake.Router) map[uint32][]byte {
	t.Helper()
	all := map[uint32][]byte{}
	for _, got := range r.ReadAll(t) {
		if got.Type == 11 {
			all[got.Stream] = append(all[got.Stream], got.Code)
		}
	}
	return all
}

// A stop signal must start the drain at once, even while a new configuration is being read (here from a FIFO that
// delivers nothing). The drain used to wait for the configuration, although the stop was not postponed.
func TestNoticeWhileAConfigurationIsRead(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	router := fake.Dial(t, p.address)
	router.Send(t, fake.RequestFrame(1, "pay", ""))
	run := p.pool.Next(t, "spawn").RunID
	require.NoError(t, os.Remove(p.path))
	require.NoError(t, syscall.Mkfifo(p.path, 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { // the FIFO can be opened for writing once the process has opened it for reading
		fd, err := syscall.Open(p.path, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			t.Cleanup(func() { _ = syscall.Close(fd) })
		}
		return err == nil
	}, fake.WaitLimit, time.Millisecond)
	for range 3 { // repeated notices must change nothing
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	}
	p.waitLogged(t, "drain started")
	p.pool.Finish(run, "success", nil)
	assert.Equal(t, map[uint32][]byte{1: {20}}, readAnswers(t, router))
	assert.Zero(t, p.waitExit())
}

// The process is stalled across the end of the grace. Meanwhile the system accepts connections, and requests on them,
// that the process reads only after the grace has ended. Each must be answered, none may run, and no connection may be
// reset.
func TestRequestsWhileTheProcessIsStalledAtTheEndOfTheGrace(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	existing := fake.Dial(t, p.address)
	existing.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
	assert.Equal(t, byte(21), existing.Next(t).Type)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitLogged(t, "drain started")
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(500 * time.Millisecond) // the grace of the settings is 400 ms; what arrives from here on never runs
	var routers []*fake.Router
	for range 8 {
		routers = append(routers, fake.Dial(t, p.address))
	}
	for i, r := range append(routers, existing) {
		r.Send(t, fake.RequestFrame(2, "pay", "", "call", fake.RequestID(uint32(100+i))))
	}
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	for i, r := range append(routers, existing) {
		assert.Equal(t, map[uint32][]byte{2: {50}}, readAnswers(t, r), "connection %d", i)
	}
	assert.Zero(t, p.waitExit())
	for len(p.pool.Commands) > 0 {
		assert.NotEqual(t, "spawn", (<-p.pool.Commands).Verb, "a request ran after the grace")
	}
	_, err := net.Dial("tcp", p.address)
	assert.Error(t, err)
}

// A SIGHUP during the start must neither end the process nor be lost. One that arrived before the program handled
// signals used to end the process. The program reads its configuration after it starts to handle signals, so no change
// is missed. One that arrived after that, but before the process served, used to be handled concurrently with the
// start, which was still reading what the reload writes.
func TestSignalsAtTheStart(t *testing.T) {
	var deploy struct{ Run string }
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	require.NoError(t, toml.Unmarshal(text, &deploy))
	require.Contains(t, deploy.Run, "exec bin/quartzpoint")
	for range 5 {
		p := prepare(t, "/bin/sh", "-c", strings.Replace(deploy.Run, "bin/quartzpoint", builds["release"], 1))
		require.NoError(t, p.cmd.Start())
		p.killAtCleanup(t)
		require.Eventually(t, func() bool { // until the shell has executed the program
			exe, _ := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.cmd.Process.Pid))
			return exe == builds["release"]
		}, fake.WaitLimit, time.Microsecond)
		require.Eventually(t, func() bool {
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			return strings.Contains(p.log.String(), "configuration reload")
		}, fake.WaitLimit, time.Microsecond, "%s", p.log)
		p.pool.Ready()
		p.waitLogged(t, "pool link bound")
		router := fake.Dial(t, p.address)
		router.Send(t, fake.RequestFrame(1, "pay", ""))
		run := p.pool.Next(t, "spawn").RunID
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		p.waitLogged(t, "drain started")
		p.pool.Finish(run, "success", nil)
		assert.Equal(t, map[uint32][]byte{1: {20}}, readAnswers(t, router))
		assert.Zero(t, p.waitExit())
	}
}
