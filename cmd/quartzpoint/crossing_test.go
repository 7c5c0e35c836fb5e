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

// readAnswers reads to the end of a connection, which must be an orderly one, and gives the codes of answers by stream.
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

// The notice to leave waited while a new configuration was read, here one that never comes, and the stop did not.
func TestNoticeWhileAConfigurationIsRead(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	router := fake.Dial(t, p.address)
	router.Send(t, fake.RequestFrame(1, "pay", ""))
	run := p.pool.Next(t, "spawn").RunID
	require.NoError(t, os.Remove(p.path))
	require.NoError(t, syscall.Mkfifo(p.path, 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { // it can be opened for writing once the process has it open to read
		fd, err := syscall.Open(p.path, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			t.Cleanup(func() { _ = syscall.Close(fd) })
		}
		return err == nil
	}, fake.WaitLimit, time.Millisecond)
	for range 3 { // a notice told again changes nothing
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	}
	p.waitLogged(t, "drain started")
	p.pool.Finish(run, "success", nil)
	assert.Equal(t, map[uint32][]byte{1: {20}}, readAnswers(t, router))
	assert.Zero(t, p.waitExit())
}

// A machine that stands still across the end of the grace: the system takes connections, and tasks on them, that the
// process hears of only when it has begun to go. Each is answered, none runs, and no connection is reset.
func TestRequestsWhileTheProcessIsStalledAtTheEndOfTheGrace(t *testing.T) {
	p := launch(t, "release")
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	known := fake.Dial(t, p.address)
	known.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
	assert.Equal(t, byte(21), known.Next(t).Type)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitLogged(t, "drain started")
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(500 * time.Millisecond) // the grace of the site is 400 ms; what arrives from here on never runs
	var routers []*fake.Router
	for range 8 {
		routers = append(routers, fake.Dial(t, p.address))
	}
	for i, r := range append(routers, known) {
		r.Send(t, fake.RequestFrame(2, "pay", "", "call", fake.CallID(uint32(100+i))))
	}
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	for i, r := range append(routers, known) {
		assert.Equal(t, map[uint32][]byte{2: {50}}, readAnswers(t, r), "connection %d", i)
	}
	assert.Zero(t, p.waitExit())
	for len(p.pool.Commands) > 0 {
		assert.NotEqual(t, "spawn", (<-p.pool.Commands).Verb, "it ran past the grace")
	}
	_, err := net.Dial("tcp", p.address)
	assert.Error(t, err)
}

// A new configuration that is told of as soon as the program is there, before it can hear of it, ended the process. It
// reads its configuration later than that, so nothing is missed. Between there and serving the word was handled beside
// the start that still read what it writes.
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
		require.Eventually(t, func() bool { // the shell has become the program
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
