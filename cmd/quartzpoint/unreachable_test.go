package main

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// Unreachable services must prevent neither the start nor a reload. The process must serve, log once what is missing,
// and continue as before when a new configuration names a service that is reachable. A membership service without a
// route to it used to end the start and to make a reload fail.
func TestStartWithUnreachableServices(t *testing.T) {
	const unreachable = "[fe80::1]:9" // link-local, on no link
	p := prepare(t, builds["debug"])
	pool, members := p.pool.Address, p.members.Address
	fake.RewriteConfigWithDependency(t, p.path, p.address, unreachable, unreachable, unreachable, callingSettings)
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	p.waitLogged(t, "msg=serving")
	p.waitLogged(t, `msg="pool link down"`)
	p.waitLogged(t, `msg="membership reports" refused=true`)
	router := fake.Dial(t, p.address)
	router.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
	assert.Equal(t, byte(20), router.Next(t).Code)
	router.Send(t, fake.RequestFrame(2, "browse", "")) // queued, and run once there is a pool

	p.pool.Ready()
	reachable := startDependency(t, "there")
	fake.RewriteConfigWithDependency(t, p.path, p.address, pool, members, unreachable, callingSettings)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitLogged(t, `msg="configuration reloaded"`)
	assert.Equal(t, "HB n1 UP", p.members.Next(t))
	run := p.pool.Next(t, "spawn")
	p.pool.Block(run.RunID, []byte("what"))
	p.waitLogged(t, "msg=dependency reached=false")
	fake.RewriteConfigWithDependency(t, p.path, p.address, pool, unreachable, reachable, callingSettings)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitLogged(t, "msg=dependency reached=true")
	p.pool.Finish(run.RunID, "success", p.pool.Next(t, "supply").Body)
	assert.Equal(t, byte(20), router.Next(t).Code)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	_ = router.Close()
	assert.Zero(t, p.waitExit())
	assert.NotContains(t, p.log.String(), "failed, the old one stays")
}
