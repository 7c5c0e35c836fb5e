package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// callingSettings are the usual settings, with one route that calls a dependency.
var callingSettings = strings.Replace(fake.SiteSettings, `"below":"none","calls-by-class":[false,false]`,
	`"below":"shared","calls-out":20,"calls-over":5000000,"calls-by-class":[true,false]`, 1)

// startDependency starts a dependency that answers each call with its name, the id of the calling run and the body of
// the call.
func startDependency(t *testing.T, name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, name+" "+r.Header.Get("X-Parent-Id")+" "+string(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// The process must start with settings that have routes with calls to a dependency; such settings used to prevent the
// start. A reload must switch to another address of the dependency, and must keep the last one if the new file names
// none.
func TestRouteThatCalls(t *testing.T) {
	for build, path := range builds {
		t.Run(build, func(t *testing.T) {
			p := prepare(t, path)
			fake.RewriteConfigWithDependency(t, p.path, p.address, p.pool.Address, p.members.Address, startDependency(t, "first"), callingSettings)
			require.NoError(t, p.cmd.Start())
			p.killAtCleanup(t)
			p.pool.Ready()
			p.waitLogged(t, "pool link bound")
			router := fake.Dial(t, p.address)
			run := func(stream uint32) string {
				router.Send(t, fake.RequestFrame(stream, "browse", ""))
				runID := p.pool.Next(t, "spawn").RunID
				p.pool.Block(runID, []byte("what"))
				supplied := p.pool.Next(t, "supply")
				p.pool.Finish(runID, "success", supplied.Body)
				reply := router.Next(t)
				assert.Equal(t, byte(20), reply.Code)
				return reply.Body
			}
			assert.Equal(t, "first "+fake.RequestID(1)+" what", run(1))

			fake.RewriteConfigWithDependency(t, p.path, p.address, p.pool.Address, p.members.Address, startDependency(t, "second"), callingSettings)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			p.waitLogged(t, "only_with_a_restart=[]")
			assert.Equal(t, "second "+fake.RequestID(2)+" what", run(2))

			fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, callingSettings)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			p.waitLogged(t, "only_with_a_restart=[index]")
			assert.Equal(t, "second "+fake.RequestID(3)+" what", run(3))
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			_ = router.Close()
			assert.Zero(t, p.waitExit())
		})
	}
}

// Without the dependency's address the process must start, serve all other routes, and reject requests of the route
// that calls the dependency.
func TestRouteThatCallsWithoutADependency(t *testing.T) {
	p := prepare(t, builds["release"])
	fake.RewriteConfig(t, p.path, p.address, p.pool.Address, p.members.Address, callingSettings)
	require.NoError(t, p.cmd.Start())
	p.killAtCleanup(t)
	p.pool.Ready()
	p.waitLogged(t, "pool link bound")
	p.waitLogged(t, "types=[browse]")
	router := fake.Dial(t, p.address)
	router.Send(t, fake.RequestFrame(1, "browse", ""))
	reply := router.Next(t)
	assert.Equal(t, byte(50), reply.Code)
	assert.Equal(t, "1000", reply.Fields["pushback"])
	router.Send(t, fake.RequestFrame(2, "pay", ""))
	p.pool.Finish(p.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, byte(20), router.Next(t).Code)
	assert.Equal(t, 1, strings.Count(p.log.String(), "routes that call a dependency are rejected"), "%s", p.log)
}
