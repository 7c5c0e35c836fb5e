package frontend

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerlink"
)

// fixture is a front end with a server and a fake worker pool.
type fixture struct {
	*Frontend
	pool *fake.Pool
}

func newFixture(t testing.TB, limits server.Limits) *fixture {
	return newFixtureAt(t, limits, fake.SiteSettings, nil)
}

// newFixtureAt returns a fixture for a site. If wrap is not nil, the front end accepts from the listener that wrap
// returns.
func newFixtureAt(t testing.TB, limits server.Limits, site string, wrap func(netpoll.Listener) netpoll.Listener) *fixture {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	configured, err := settings.FromJSON([]byte(site))
	require.NoError(t, err)
	counters := invariant.New(log)
	srv, err := server.New(configured, 1, limits, counters, log)
	require.NoError(t, err)
	b := &fixture{pool: fake.NewPool(t).Ready()}
	b.Frontend, err = Listen("127.0.0.1:0", srv, limits, counters, log)
	require.NoError(t, err)
	if wrap != nil {
		counting := b.listener.(*countingListener)
		counting.Listener = wrap(counting.Listener)
	}
	link := workerlink.New(b.pool.Address, 1<<20, log, counters.Count, srv.Wake)
	srv.Attach(link, b.Frontend)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go link.Run(ctx)
	go func() { _ = b.Serve() }()
	go func() { srv.Run(); close(stopped) }()
	t.Cleanup(func() {
		srv.Drain(0)
		select {
		case <-stopped:
		case <-time.After(fake.WaitLimit):
			t.Error("the server does not stop")
		}
		cancel()
	})
	return b
}

func defaultLimits() server.Limits { return server.Limits{MemoryMB: 96, Sockets: 256} }

// waitCounted waits until the event named what was counted, by the front end or the server, at least once.
func (b *fixture) waitCounted(t *testing.T, what string) {
	t.Helper()
	require.Eventually(t, func() bool { return b.counters.Times(what) > 0 }, fake.WaitLimit, time.Millisecond, what)
}

// dialActive opens a connection and waits for the answer to a health check on it.
func (b *fixture) dialActive(t testing.TB) *fake.Router {
	t.Helper()
	r := fake.Dial(t, b.Address())
	r.Send(t, fake.Frame(20, 1, "", "e2e", "0"))
	assert.Equal(t, byte(21), r.Next(t).Type)
	return r
}

// onLoop runs f on the event loop and waits for it.
func (b *fixture) onLoop(f func()) {
	done := make(chan struct{})
	b.server.Submit(func() { f(); close(done) })
	<-done
}

// sendUnread sends a request and waits until the poller has read it. It must be called on the event loop, which can't
// parse the request meanwhile.
func (b *fixture) sendUnread(t *testing.T, c *conn, r *fake.Router, stream uint32) {
	t.Helper()
	r.Send(t, fake.RequestFrame(stream, "pay", ""))
	require.Eventually(t, func() bool { return c.received.Len() > 0 }, fake.WaitLimit, time.Millisecond)
}
