package peersync

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
)

const testTimeout = 20 * time.Second

// netpoll keeps its pollers for as long as the process runs.

var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
	goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*manager).Run"),
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, ignoredGoroutines...) }

var (
	keyA = bytes.Repeat([]byte{1}, minKeySize)
	keyB = bytes.Repeat([]byte{2}, minKeySize)
)

// testSnapshot is large enough for several parts.

func testSnapshot(origin uint64) estimate.Snapshot {
	snapshot := estimate.Snapshot{Origin: origin, SettingsDigest: 7}
	e := estimate.Estimate{Mean: 0.1, Spread: 0.05, Samples: 20, Age: time.Second}
	for i := range 100 {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{Name: "type " + string(rune('A'+i)), Core: e, Run: e})
	}
	return snapshot
}

func newCounts() *invariant.Counters { return invariant.New(slog.New(slog.DiscardHandler)) }

// startServer starts a server whose snapshot is a second old when it is published.

func startServer(t testing.TB, keys Keys) (*Server, *invariant.Counters) {
	c := newCounts()
	startedAt := time.Now()
	server, err := Listen("127.0.0.1:0", keys, func() time.Duration { return time.Hour + time.Since(startedAt) }, c)
	require.NoError(t, err)
	server.Publish(testSnapshot(5), time.Hour-time.Second)
	server.Serve()
	t.Cleanup(server.Close)
	return server, c
}

// A snapshot must come through only where both sides have the same key; without one it must never be taken from a peer.
func TestFetch(t *testing.T) {
	cases := []struct {
		name           string
		server, client Keys
		err            string
	}{
		{"without keys", nil, nil, ""},
		{"the same key", Keys{keyA}, Keys{keyA}, ""},
		{"while keys change", Keys{keyA, keyB}, Keys{keyB}, ""},
		{"another key", Keys{keyA}, Keys{keyB}, "ended early"},
		{"no key, where one is asked for", Keys{keyA}, nil, "ended early"},
		{"a key, where none is known", nil, Keys{keyA}, "ended early"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, counts := startServer(t, c.server)
			snapshot, err := Fetch(t.Context(), server.Address(), c.client)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				assert.ErrorIs(t, err, ErrIncomplete)
				assert.Empty(t, snapshot)
				assert.Equal(t, 1, counts.Times("peer connection closed: not authenticated, or unexpected message"))
				return
			}
			require.NoError(t, err)
			assert.Greater(t, EncodedSize(snapshot), 2*maxPart, "several parts")
			age := snapshot.Routes[0].Core.Age
			assert.GreaterOrEqual(t, age, 2*time.Second, "its own age, and that for which it was held")
			assert.Less(t, age, 2*time.Second+testTimeout)
			snapshot = snapshot.Aged(0)
			for i := range snapshot.Routes {
				snapshot.Routes[i].Core.Age, snapshot.Routes[i].Run.Age = time.Second, time.Second
			}
			snapshot.Pace, snapshot.Calls, snapshot.RejectRatio, snapshot.ReturnRatio = estimate.Estimate{}, estimate.Estimate{}, estimate.Estimate{}, estimate.Estimate{}
			assert.Equal(t, testSnapshot(5), snapshot)
		})
	}
}

// recordedAnswers returns the server's frames of a whole exchange with a client.

func recordedAnswers(t testing.TB, key, nonce []byte, client *snapshotRequest) [][]byte {
	keys := Keys{key}
	if key == nil {
		keys = nil
	}
	snapshot, err := encodeSnapshot(testSnapshot(5), 0)
	require.NoError(t, err)
	source := snapshotSource{snapshot: snapshot, allow: func(int) (bool, time.Duration) { return true, 0 }}
	e := serverExchange{serverHandshake: serverHandshake{serverNonce: nonce}}
	out, _, err := e.handle(message{Kind: 1, Nonce: client.clientNonce, KeyName: keyName(client.key)}, keys, source)
	require.NoError(t, err)
	more, _, err := e.handle(message{Kind: 3, Proof: sign(key, "asker", nonce, client.clientNonce)}, keys, source)
	require.NoError(t, err)
	return append(out, more...)
}

// newTestRequest is a client's request with a nonce that is stated.

func newTestRequest(key, nonce []byte) *snapshotRequest {
	return &snapshotRequest{clientHandshake: clientHandshake{key: key, clientNonce: nonce}}
}

// feed passes bytes to a client and returns the snapshot, an error, or neither where it waits for more.

func feed(request *snapshotRequest, raw []byte) (*estimate.Snapshot, error) {
	for {
		m, rest, ok, err := decodeFrame(raw)
		if err != nil || !ok {
			return nil, err
		}
		raw = rest
		_, snapshot, err := request.handle(m)
		if err != nil || snapshot != nil {
			return snapshot, err
		}
	}
}

// A connection can end at any byte, and any byte can be damaged. A snapshot that is not the one which was sent would put wrong
// estimates into use, so there must be the whole one or none.
func TestEveryByte(t *testing.T) {
	nonce := bytes.Repeat([]byte{9}, nonceSize)
	newRequest := func() *snapshotRequest { return newTestRequest(keyA, bytes.Repeat([]byte{3}, nonceSize)) }
	whole := bytes.Join(recordedAnswers(t, keyA, nonce, newRequest()), nil)
	snapshot, err := feed(newRequest(), whole)
	require.NoError(t, err)
	require.NotNil(t, snapshot)
	for cutAt := range whole {
		snapshot, err := feed(newRequest(), whole[:cutAt])
		require.NoError(t, err, "byte %d: it waits", cutAt)
		require.Nil(t, snapshot, "byte %d", cutAt)
	}
	for at := range whole {
		damaged := bytes.Clone(whole)
		damaged[at] ^= 1 << (at % 8)
		got, err := feed(newRequest(), damaged)
		if got != nil { // a field whose number is damaged is skipped, which may leave the snapshot as it was
			require.NoError(t, err)
			require.Equal(t, snapshot, got, "byte %d", at)
		}
	}
}

// An attacker repeats what it recorded of an exchange, to a client and to a server. Nonces are new for each connection, so
// the recording must prove nothing to either.
func TestReplay(t *testing.T) {
	client := newTestRequest(keyA, bytes.Repeat([]byte{3}, nonceSize))
	old := bytes.Join(recordedAnswers(t, keyA, bytes.Repeat([]byte{9}, nonceSize), client), nil)
	_, err := Fetch(t.Context(), startPeer(t, func(c net.Conn) {
		_, _ = c.Write(old)
		_, _ = io.Copy(io.Discard, c)
	}), Keys{keyA})
	assert.ErrorContains(t, err, "proof is wrong")
	assert.ErrorIs(t, err, ErrBadProof)

	server, counts := startServer(t, Keys{keyA})
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	request := newTestRequest(keyA, bytes.Repeat([]byte{3}, nonceSize))
	recordedAsk := encodeFrame(message{Kind: kindAsk, Proof: sign(keyA, "asker", bytes.Repeat([]byte{9}, nonceSize), request.clientNonce)})
	_, err = conn.Write(append(request.hello(), recordedAsk...))
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	all, _ := io.ReadAll(conn)
	assert.Less(t, len(all), 200, "the challenge, and nothing of the snapshot")
	assert.Equal(t, 1, counts.Times("peer connection closed: not authenticated, or unexpected message"))
}

// Whatever bytes a peer sends, neither side may panic, and a snapshot comes with no error.
func FuzzAsker(f *testing.F) {
	nonce := bytes.Repeat([]byte{9}, nonceSize)
	f.Add(bytes.Join(recordedAnswers(f, nil, nonce, newTestRequest(nil, nonce)), nil))
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		request := newTestRequest(nil, nonce)
		snapshot, err := feed(request, raw)
		if snapshot != nil {
			assert.NoError(t, err)
			_, _ = estimate.Schema{SettingsDigest: 7}.Validate(*snapshot)
		}
		e := serverExchange{serverHandshake: serverHandshake{serverNonce: nonce}}
		for rest := raw; ; {
			m, after, ok, err := decodeFrame(rest)
			if err != nil || !ok {
				break
			}
			rest = after
			if _, _, err := e.handle(m, nil, snapshotSource{}); err != nil {
				break
			}
		}
	})
}

// A vote that is not authenticated would count for whoever sends it. A ballot and its response must come through only under a
// key of the server, within their bound, and where there is a handler.
func TestVote(t *testing.T) {
	keys := Keys{[]byte("a shared secret of the fleet....")}
	server, _ := startServer(t, keys)
	ctx := context.Background()
	var rejected *RejectedError
	_, err := RequestVote(ctx, server.Address(), keys, []byte("ballot"))
	require.ErrorAs(t, err, &rejected, "a server without a vote handler refuses")
	server.SetVoteHandler(func(ballot []byte, respond func([]byte)) { respond(append([]byte("seen "), ballot...)) })
	got, err := RequestVote(ctx, server.Address(), keys, []byte("ballot"))
	require.NoError(t, err)
	assert.Equal(t, "seen ballot", string(got))
	_, err = RequestVote(ctx, server.Address(), Keys{[]byte("another secret, not the fleet's.")}, []byte("ballot"))
	assert.Error(t, err, "a ballot under a key that the server does not know")
	_, err = RequestVote(ctx, server.Address(), keys, make([]byte, maxBallot+1))
	assert.ErrorContains(t, err, "ballot of")
	assert.ErrorIs(t, err, ErrOutOfBounds)
	server.SetVoteHandler(func([]byte, func([]byte)) {}) // never responds: the exchange times out
	shortCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	_, err = RequestVote(shortCtx, server.Address(), keys, []byte("ballot"))
	assert.Error(t, err)
}
