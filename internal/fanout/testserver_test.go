package fanout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/budget"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/testkit/harness"
	"quartzpoint/internal/workerapi"
)

const (
	testTimeout = 20 * time.Second
	ms          = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer runs a composer on an event loop.
type testServer struct {
	*Composer
	t         *testing.T
	counts    *invariant.Counters
	startedAt time.Time
	notices   chan workerapi.Notice
	submitted chan func()
	lastID    atomic.Int32
}

func dependency(name, address string) Dependency {
	return Dependency{
		Options: budget.Options{Name: name, MaxInFlight: 8, QueueLimit: 8, CancelledTimeout: 300 * ms, RetryRatio: 0.5},
		Address: address, Connections: 2, SilenceTimeout: 500 * ms,
	}
}

func newTestServer(t *testing.T, memory int, routes []Route, dependencies ...Dependency) *testServer {
	server := &testServer{
		t: t, counts: invariant.New(slog.New(slog.DiscardHandler)), startedAt: time.Now(),
		notices: make(chan workerapi.Notice, 100), submitted: make(chan func(), 100),
	}
	ctx, cancel := context.WithCancel(context.Background())
	woken := make(chan struct{}, 1)
	now := func() time.Duration { return time.Hour + time.Since(server.startedAt) }
	for _, route := range routes {
		require.NoError(t, route.Plan.Validate(len(dependencies), time.Minute))
	}
	server.Composer = New(ctx, dependencies, routes, memory, 1, now, server.counts, slog.New(slog.DiscardHandler), func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	})
	loopEnded := make(chan struct{})
	go func() {
		defer close(loopEnded)
		for {
			server.Advance(now())
			for _, n := range server.AppendNotices(nil) {
				server.notices <- n
			}
			server.Flush()
			select {
			case <-ctx.Done():
				return
			case f := <-server.submitted:
				f()
			case <-woken:
			case <-time.After(min(max(server.NextTimer()-now(), 0), 20*ms)):
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-loopEnded
		server.Wait()
	})
	for i := range dependencies {
		require.Eventually(t, func() bool { return server.transports[i].Available() > 0 || dependencies[i].Name == "down" }, testTimeout, ms)
	}
	return server
}

// start starts a request and returns its id.
func (s *testServer) start(route, body string, timeout time.Duration) string {
	id := fmt.Sprintf("%016x", s.lastID.Add(1))
	s.submitted <- func() { s.Start(workerapi.Run{ID: id, Route: route, Body: []byte(body), Deadline: s.now() + timeout}) }
	return id
}

// next waits until a request ends, and returns its outcome and answer.
func (s *testServer) next() (outcome string, a Answer) {
	s.t.Helper()
	select {
	case n := <-s.notices:
		if len(n.Result) > 0 {
			require.NoError(s.t, json.Unmarshal(n.Result, &a))
			assert.LessOrEqual(s.t, len(n.Result), maxAnswer)
		}
		return n.Outcome, a
	case <-time.After(testTimeout):
		require.FailNow(s.t, "the request did not end")
	}
	return "", a
}

func states(a Answer) (all []string) {
	for _, p := range a.Parts {
		all = append(all, p.State)
	}
	return all
}

func startDependency(t *testing.T, mean time.Duration, script harness.BehaviourScript) *harness.Dependency {
	d, err := harness.NewDependency(4, mean, 0, 1, script)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// readRoute returns a route with a required read from the first dependency and an optional read from the second.
func readRoute(change func(*Route)) []Route {
	route := Route{
		Plan: &budget.Plan{Route: "look", Reserve: 10 * ms, Calls: []budget.Call{
			{Name: "map", Required: true, Value: 3, Expected: 20 * ms, Retry: true},
			{Name: "guest", Dependency: 1, Value: 1, Expected: 20 * ms},
		}},
		Calls: []Call{{Op: "read-map"}, {Op: "read-guest"}},
	}
	if change != nil {
		change(&route)
	}
	return []Route{route}
}

// confirmRoute returns a route with a required, keyed hold and, after it, a required at-most-once deposit.
func confirmRoute() []Route {
	return []Route{{
		Plan: &budget.Plan{Route: "confirm", Reserve: 10 * ms, Calls: []budget.Call{
			{Name: "hold", Required: true, Value: 1, Expected: 20 * ms, Effect: budget.Keyed, Retry: true},
			{Name: "deposit", Dependency: 1, Required: true, Value: 1, Expected: 20 * ms, Effect: budget.AtMostOnce, After: []int{0}},
		}},
		Calls: []Call{{Op: "hold"}, {Op: "deposit"}},
	}}
}

// startCutProxy starts a proxy to a dependency that closes the connection once instead of forwarding the first
// response.
func startCutProxy(t *testing.T, to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var goroutines sync.WaitGroup
	var cut atomic.Bool
	goroutines.Add(1)
	go func() {
		defer goroutines.Done()
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			into, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			forward := func(dst, src net.Conn, up bool) {
				defer goroutines.Done()
				defer func() { _ = dst.Close() }()
				defer func() { _ = src.Close() }()
				buffer := make([]byte, 4096)
				for {
					n, err := src.Read(buffer)
					if err != nil {
						return
					}
					if !up && cut.CompareAndSwap(false, true) {
						return // the response is lost: the call has run
					}
					if _, err := dst.Write(buffer[:n]); err != nil {
						return
					}
				}
			}
			goroutines.Add(2)
			go forward(into, from, true)
			go forward(from, into, false)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		goroutines.Wait()
	})
	return listener.Addr().String()
}
