package configserve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/raftlog"
	"quartzpoint/internal/testkit/faultnet"
	"quartzpoint/internal/testkit/harness"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

var keys = peersync.Keys{bytes.Repeat([]byte{5}, 16)}

// localLog is a log with a single member, which applies entries immediately.
type localLog struct {
	replica    *Replica
	leadership atomic.Pointer[raftlog.Leadership]
	proposed   atomic.Int64
	unapplied  atomic.Pointer[[]byte] // committed entry that the replica has not applied yet
}

func (l *localLog) Propose(_ context.Context, entry []byte) (any, error) {
	l.proposed.Add(1)
	return l.replica.Apply(entry, time.Now()), nil
}

func (l *localLog) Barrier(context.Context) error {
	if entry := l.unapplied.Swap(nil); entry != nil {
		l.replica.Apply(*entry, time.Now())
	}
	return nil
}

func (l *localLog) Leadership() raftlog.Leadership { return *l.leadership.Load() }

// controlMachine is a control machine whose log is a localLog.
type controlMachine struct {
	replica *Replica
	log     *localLog
	address string
	logs    *harness.LogBuffer
}

func newControlMachine(t *testing.T) *controlMachine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &controlMachine{replica: NewReplica(), address: listener.Addr().String(), logs: &harness.LogBuffer{}}
	m.log = &localLog{replica: m.replica}
	m.log.leadership.Store(&raftlog.Leadership{Leader: "one", IsLeader: true})
	server := &Server{Name: "one", SessionAddresses: map[string]string{}, Keys: keys, Replica: m.replica, Log: m.log, Logger: slog.New(slog.NewTextHandler(m.logs, nil))}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return m
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (m *controlMachine) propose(t *testing.T, change configuration.Change) uint64 {
	t.Helper()
	version, err := configwatch.Propose(t.Context(), []string{m.address}, keys, change)
	require.NoError(t, err)
	return version
}

func deadlineChange(n int64) configuration.Change {
	return configuration.Change{Routes: map[string]*configuration.Route{
		"pay": {LatencyTarget: 1, Deadline: n, Idempotency: configuration.Retryable},
	}}
}

// recordingWatcher is a watcher that records the versions that came into force and the latest document.
type recordingWatcher struct {
	*configwatch.Watcher
	mu         sync.Mutex
	versions   []uint64
	document   *configuration.Document
	applyError atomic.Pointer[string]
}

func startWatcher(t *testing.T, name string, endpoint configwatch.Endpoint, others ...configwatch.Endpoint) *recordingWatcher {
	t.Helper()
	w := &recordingWatcher{document: configuration.NewDocument()}
	w.Watcher = &configwatch.Watcher{
		Name: name, Zone: "a", Endpoints: append([]configwatch.Endpoint{endpoint}, others...), Keys: keys,
		Document: configuration.NewDocument(), Logger: discardLogger(), Seed: 1,
		Apply: func(_ context.Context, delta configuration.Delta, to *configuration.Document) error {
			if message := w.applyError.Load(); message != nil {
				return errors.New(*message)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.versions = append(w.versions, delta.Version)
			w.document = to.Clone()
			return nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

func (w *recordingWatcher) waitForVersion(t *testing.T, m *controlMachine, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return w.Status().Version == version }, testTimeout, time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.replica.mu.Lock()
	defer m.replica.mu.Unlock()
	if version == m.replica.history.Document.Version {
		assert.Equal(t, m.replica.history.Document, w.document)
	}
}

// A watcher receives each change in order; one that connects late receives what it lacks. A watcher that cannot apply a
// version keeps the one in force and is listed as lagging, with the reason, until it can apply it.
func TestWatch(t *testing.T) {
	m := newControlMachine(t)
	early := startWatcher(t, "early", configwatch.Endpoint{Address: m.address})
	for i := range int64(20) {
		require.Equal(t, uint64(i+1), m.propose(t, deadlineChange(i+1)))
	}
	early.waitForVersion(t, m, 20)
	for i, version := range early.versions {
		assert.Equal(t, uint64(i+1), version, "all versions in order")
	}
	late := startWatcher(t, "late", configwatch.Endpoint{Address: m.address})
	late.waitForVersion(t, m, 20)
	require.Eventually(t, func() bool {
		status, err := configwatch.FetchStatus(t.Context(), m.address, keys)
		// Changes in quick succession are acknowledged by one report, so there may be fewer delays than changes times
		// watchers.
		return err == nil && status.Watchers == 2 && len(status.Lagging) == 0 && len(status.PropagationDelays) >= 2 && len(status.PropagationDelays) <= 21
	}, testTimeout, time.Millisecond)

	reason := "no room"
	late.applyError.Store(&reason)
	m.propose(t, deadlineChange(21))
	early.waitForVersion(t, m, 21)
	require.Eventually(t, func() bool {
		status, err := configwatch.FetchStatus(t.Context(), m.address, keys)
		return err == nil && len(status.Lagging) == 1 && status.Lagging[0].Name == "late" && status.Lagging[0].Reason == reason &&
			status.Lagging[0].Version == 20 && status.Lagging[0].Lag > 0
	}, testTimeout, time.Millisecond)
	assert.Equal(t, uint64(20), late.Status().Version, "a rejected version must not replace the one in force")
	late.applyError.Store(nil)
	late.waitForVersion(t, m, 21)
}

// A watcher whose version is older than the stored deltas receives a snapshot, and then deltas. A replica restored from
// a log snapshot holds the same history.
func TestSnapshotIfDeltasAreNotStored(t *testing.T) {
	m := newControlMachine(t)
	for i := range int64(5000) {
		raw, err := json.Marshal(deadlineChange(i + 1))
		require.NoError(t, err)
		require.NoError(t, m.replica.Apply(raw, time.Now()).(Result).Err)
	}
	w := startWatcher(t, "one", configwatch.Endpoint{Address: m.address})
	w.waitForVersion(t, m, 5000)
	assert.Equal(t, []uint64{5000}, w.versions)
	m.propose(t, deadlineChange(1))
	w.waitForVersion(t, m, 5001)
	restored := NewReplica()
	require.NoError(t, restored.Restore(m.replica.Snapshot()))
	assert.Equal(t, m.replica.Snapshot(), restored.Snapshot(), "a restored replica holds the same history")
}

// An invalid change is rejected with all its violations and does not enter the log. A change proposed twice is accepted
// once. A change based on an older version is rejected. A client whose machine is not the leader tries another one.
func TestPropose(t *testing.T) {
	m := newControlMachine(t)
	bad := configuration.Change{Routes: map[string]*configuration.Route{"pay": {Idempotency: "often"}, "gone": nil}}
	_, err := configwatch.Propose(t.Context(), []string{m.address}, keys, bad)
	var validationErr *configuration.ValidationError
	require.ErrorAs(t, err, &validationErr)
	assert.Len(t, validationErr.Violations, 4)
	assert.Zero(t, m.log.proposed.Load())
	change := deadlineChange(1)
	change.ID = "once"
	assert.Equal(t, uint64(1), m.propose(t, change))
	assert.Equal(t, uint64(1), m.propose(t, change))
	assert.Equal(t, 1, strings.Count(m.logs.String(), `msg="configuration: change accepted"`), "the repeated proposal was logged as accepted again")
	stale := deadlineChange(2)
	base := uint64(0)
	stale.Base = &base
	_, err = configwatch.Propose(t.Context(), []string{m.address}, keys, stale)
	assert.ErrorContains(t, err, "base = 0: is not the newest version, which is 1")

	other := newControlMachine(t)
	other.log.leadership.Store(&raftlog.Leadership{Leader: "nobody knows where"})
	version, err := configwatch.Propose(t.Context(), []string{other.address, m.address}, keys, deadlineChange(3))
	require.NoError(t, err)
	assert.Equal(t, uint64(2), version)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = configwatch.Propose(ctx, []string{other.address, "127.0.0.1:1"}, keys, deadlineChange(4))
	assert.ErrorIs(t, err, configwatch.ErrUnavailable)
}

// Regression test: after a restart of all control machines, the new leader had not applied all committed entries. It
// validated a change against an older document and permanently rejected a valid one, the removal of a route that a
// committed entry had added.
func TestProposeBeforeCommittedEntriesAreApplied(t *testing.T) {
	m := newControlMachine(t)
	added := deadlineChange(1)
	added.Routes["stays"] = added.Routes["pay"]
	committed, err := json.Marshal(added)
	require.NoError(t, err)
	m.log.unapplied.Store(&committed)
	removal := configuration.Change{Routes: map[string]*configuration.Route{"pay": nil}}
	assert.Equal(t, uint64(2), m.propose(t, removal))
	var validationErr *configuration.ValidationError
	_, err = configwatch.Propose(t.Context(), []string{m.address}, keys, removal)
	require.ErrorAs(t, err, &validationErr, "a change that is invalid after all entries are applied is rejected")
	assert.Len(t, validationErr.Violations, 1)
}

// A client with a wrong key or without one is rejected in the handshake, so it cannot watch, read the status or propose
// changes.
func TestWrongKey(t *testing.T) {
	m := newControlMachine(t)
	for name, wrong := range map[string]peersync.Keys{"another": {bytes.Repeat([]byte{6}, 16)}, "none": nil} {
		_, err := configwatch.FetchStatus(t.Context(), m.address, wrong)
		var rejected *peersync.RejectedError
		assert.ErrorAs(t, err, &rejected, name)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err = configwatch.Propose(ctx, []string{m.address}, wrong, deadlineChange(1))
		assert.ErrorIs(t, err, configwatch.ErrUnavailable, name)
		cancel()
	}
	assert.Zero(t, m.log.proposed.Load())
}

// A machine that is partitioned from the other control machines, but not from its watchers, would leave them at an old
// version unnoticed. It has no leader, so it disconnects them, and they connect to a machine that is not partitioned.
func TestCutOffMachineDisconnectsItsWatchers(t *testing.T) {
	partitioned, connected := newControlMachine(t), newControlMachine(t)
	for _, m := range []*controlMachine{partitioned, connected} {
		m.propose(t, deadlineChange(1))
	}
	w := startWatcher(t, "one", configwatch.Endpoint{Zone: "a", Address: partitioned.address}, configwatch.Endpoint{Zone: "b", Address: connected.address})
	w.waitForVersion(t, partitioned, 1)
	partitioned.log.leadership.Store(&raftlog.Leadership{})
	connected.propose(t, deadlineChange(2))
	w.waitForVersion(t, connected, 2)
}

// The connection to a machine is cut, stalls, or drops data in one direction. Each time the watcher reaches the latest
// version after the connection heals.
func TestWatchAcrossFaults(t *testing.T) {
	m := newControlMachine(t)
	proxy, err := faultnet.New(m.address)
	require.NoError(t, err)
	defer func() { _ = proxy.Close() }()
	w := startWatcher(t, "one", configwatch.Endpoint{Address: proxy.Addr()})
	version := m.propose(t, deadlineChange(1))
	w.waitForVersion(t, m, version)
	for _, fault := range []string{"cut", "drop up", "drop down", "stall down"} {
		require.NoError(t, proxy.RunScript(fault))
		version = m.propose(t, deadlineChange(int64(version)+1))
		proxy.Heal()
		w.waitForVersion(t, m, version)
	}
}

// One byte of a snapshot or delta is altered in transit. The altered content must never come into force; the watcher
// receives it again in another session.
func TestCorruptionInTransit(t *testing.T) {
	m := newControlMachine(t)
	large := configuration.Change{Routes: map[string]*configuration.Route{}}
	for i := range 300 {
		large.Routes[fmt.Sprint("r", i)] = &configuration.Route{LatencyTarget: 1, Deadline: 1, Idempotency: configuration.Retryable}
	}
	m.propose(t, large)
	for at := 150; at < 4000; at += 350 {
		proxyAddress := newCorruptingProxy(t, m.address, at)
		w := startWatcher(t, fmt.Sprint("at ", at), configwatch.Endpoint{Address: proxyAddress})
		w.waitForVersion(t, m, 1)
	}
}

// newCorruptingProxy proxies connections to a target. On the first connection it flips one bit of the byte at the given
// offset in the data that the target sends.
func newCorruptingProxy(t *testing.T, target string, offset int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	wg.Go(func() {
		for first := true; ; first = false {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			flipAt := -1
			if first {
				flipAt = offset
			}
			wg.Go(func() { defer func() { _ = out.Close() }(); _, _ = io.Copy(out, in) })
			wg.Go(func() { defer func() { _ = in.Close() }(); copyFlippingBit(in, out, flipAt) })
		}
	})
	return listener.Addr().String()
}

func copyFlippingBit(to io.Writer, from io.Reader, flipAt int) {
	chunk := make([]byte, 1<<10)
	for copied := 0; ; {
		n, err := from.Read(chunk)
		if offset := flipAt - copied; flipAt >= 0 && offset >= 0 && offset < n {
			chunk[offset] ^= 1
		}
		copied += n
		if _, failed := to.Write(chunk[:n]); err != nil || failed != nil {
			return
		}
	}
}

// A watcher that does not read must not use up memory of the machine or delay other watchers. It is disconnected once a
// write times out, and the others receive every change in the meantime.
func TestSlowWatcher(t *testing.T) {
	m := newControlMachine(t)
	session, err := peersync.Open(t.Context(), m.address, keys)
	require.NoError(t, err)
	defer func() { _ = session.Close() }()
	require.NoError(t, session.Send(configwatch.Encode(configwatch.Request{Watch: &configwatch.WatchRequest{Name: "slow"}})))
	w := startWatcher(t, "quick", configwatch.Endpoint{Address: m.address})
	large := configuration.Change{Routes: map[string]*configuration.Route{}}
	for i := range 4000 {
		large.Routes[fmt.Sprintf("route-%0100d", i)] = &configuration.Route{LatencyTarget: 1, Deadline: 1, Idempotency: configuration.Retryable}
	}
	version := uint64(0)
	for i := range int64(12) { // more than the connection's buffers hold
		for _, route := range large.Routes {
			route.Deadline = i + 1
		}
		version = m.propose(t, large)
	}
	w.waitForVersion(t, m, version)
	require.Eventually(t, func() bool {
		status, err := configwatch.FetchStatus(t.Context(), m.address, keys)
		return err == nil && status.Watchers == 1
	}, testTimeout, 10*time.Millisecond, "the watcher that does not read is disconnected")
}
