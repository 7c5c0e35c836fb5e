package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerlink"
)

// receivedAnswer is an answer that a caller was sent on a stream.
type receivedAnswer struct {
	stream uint32
	Answer
}

// fixture is a server with a fake worker pool. It is also the server's front end and the requests' caller, and records
// the answers.
type fixture struct {
	*Server
	pool             *fake.Pool
	workerLink       *workerlink.Link
	counts           *invariant.Counters
	answers          chan receivedAnswer
	checks           chan bool
	done             chan struct{}
	stoppedAccepting bool
	peersStalled     bool        // the front end's peers do not read
	inputPending     atomic.Bool // input has arrived that is not read yet
}

func (b *fixture) Answer(stream uint32, a Answer) { b.answers <- receivedAnswer{stream, a} }

func (b *fixture) ReportHealth(_ uint32, healthy bool, _ string) { b.checks <- healthy }

func (b *fixture) SetIdleTimeout(time.Duration) {}

func (b *fixture) Flush() bool { return !b.peersStalled }

func (b *fixture) StopAccepting() { b.stoppedAccepting = true }

func (b *fixture) OpenConnections() int { return 0 }

func (b *fixture) InputDrained() bool { return !b.inputPending.Load() }

func newFixture(t *testing.T) *fixture { return newFixtureAt(t, fake.SiteSettings) }

func newFixtureAt(t *testing.T, site string) *fixture {
	return newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256}, nil)
}

func newFixtureWith(t *testing.T, site string, limits Limits, dependency Dependency) *fixture {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	parsed, err := settings.FromJSON([]byte(site))
	require.NoError(t, err)
	b := &fixture{
		pool: fake.NewPool(t), counts: invariant.New(log), done: make(chan struct{}),
		answers: make(chan receivedAnswer, 100), checks: make(chan bool, 100),
	}
	b.Server, err = New(parsed, 1, limits, b.counts, log)
	require.NoError(t, err)
	link := workerlink.New(b.pool.Address, 1<<20, log, b.counts.Count, b.Wake)
	b.workerLink = link
	b.Attach(link, b)
	if dependency != nil {
		b.SetDependency(dependency, link)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go link.Run(ctx)
	go func() { b.Run(); close(b.done) }()
	t.Cleanup(func() {
		b.Drain(0)
		select {
		case <-b.done:
		case <-time.After(fake.WaitLimit):
			t.Error("the server does not end")
		}
		cancel()
	})
	return b
}

// submitRequest has the event loop receive a request.
func (b *fixture) submitRequest(stream uint32, route string, timeout time.Duration) {
	b.Submit(func() {
		b.Receive(IncomingRequest{
			ID: fake.RequestID(stream), Route: route, QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: timeout,
			Body: fmt.Appendf(nil, "body %d", stream), Caller: b, Stream: stream,
		})
	})
}

func (b *fixture) nextAnswer(t *testing.T) receivedAnswer {
	t.Helper()
	select {
	case a := <-b.answers:
		return a
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "no answer")
		return receivedAnswer{}
	}
}

// waitLinkSynced waits until the link is up and answers a poll.
func (b *fixture) waitLinkSynced(t *testing.T) {
	t.Helper()
	pollNonce := uint64(0) // poll on the current link; an answer on an earlier link proves nothing
	require.Eventually(t, func() bool {
		synced := make(chan bool)
		b.Submit(func() {
			nonce, up := b.link.Poll()
			switch {
			case !up:
				pollNonce = 0
			case pollNonce == 0:
				pollNonce = nonce
			}
			synced <- pollNonce > 0 && b.polls.answered >= pollNonce
		})
		return <-synced
	}, fake.WaitLimit, time.Millisecond)
}

// waitAllRead waits until the worker pool has read all commands that were sent, and the server knows it.
func (b *fixture) waitAllRead(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		known := make(chan bool)
		b.Submit(func() {
			all := true
			for _, request := range b.requests.byID {
				all = all && (!request.active || request.sent && request.startNonce <= b.polls.answered)
			}
			known <- all
		})
		return <-known
	}, fake.WaitLimit, time.Millisecond)
}

// onLoop runs f on the event loop, and waits until it returns.
func (b *fixture) onLoop(f func()) {
	done := make(chan struct{})
	b.Submit(func() { f(); close(done) })
	<-done
}
