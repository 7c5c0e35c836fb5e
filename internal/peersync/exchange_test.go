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

// ignoredGoroutines are those of netpoll's pollers, which run until the process ends.
var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
	goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*manager).Run"),
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, ignoredGoroutines...) }

var (
	keyA = bytes.Repeat([]byte{1}, minKeySize)
	keyB = bytes.Repeat([]byte{2}, minKeySize)
)

// testSnapshot returns a snapshot that takes several parts.
func testSnapshot(origin uint64) estimate.Snapshot {
	snapshot := estimate.Snapshot{Origin: origin, SettingsDigest: 7}
	e := estimate.Estimate{Mean: 0.1, Spread: 0.05, Samples: 20, Age: time.Second}
	for i := range 100 {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{Name: "type " + string(rune('A'+i)), Core: e, Run: e})
	}
	return snapshot
}

func newCounts() *invariant.Counters { return invariant.New(slog.New(slog.DiscardHandler)) }

// startServer starts a server whose snapshot is one second old when it is published.
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

// A snapshot is accepted only if both sides have the same key or neither has one. Otherwise it could come from a server
// that does not belong to the fleet.
func TestFetch(t *testing.T) {
	cases := []struct {
		name           string
		server, client Keys
		err            string
	}{
		{"without keys", nil, nil, ""},
		{"the same key", Keys{keyA}, Keys{keyA}, ""},
		{"several keys during a key change", Keys{keyA, keyB}, Keys{keyB}, ""},
		{"another key", Keys{keyA}, Keys{keyB}, "ended early"},
		{"no key, but the server has one", Keys{keyA}, nil, "ended early"},
		{"a key, but the server has none", nil, Keys{keyA}, "ended early"},
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
			assert.GreaterOrEqual(t, age, 2*time.Second, "the age of the estimate plus the time since the snapshot was taken")
			assert.Less(t, age, 2*time.Second+testTimeout)
			snapshot = snapshot.Aged(0)
			for i := range snapshot.Routes {
				snapshot.Routes[i].Core.Age, snapshot.Routes[i].Run.Age = time.Second, time.Second
			}
			snapshot.HintRatio, snapshot.Calls, snapshot.RejectRatio, snapshot.ReturnRatio = estimate.Estimate{}, estimate.Estimate{}, estimate.Estimate{}, estimate.Estimate{}
			assert.Equal(t, testSnapshot(5), snapshot)
		})
	}
}

// recordedAnswers returns the server's frames of a complete exchange with a client.
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

// newTestRequest returns a client's request with a given nonce.
func newTestRequest(key, nonce []byte) *snapshotRequest {
	return &snapshotRequest{clientHandshake: clientHandshake{key: key, clientNonce: nonce}}
}

// feed passes bytes to a client. It returns the snapshot, an error, or neither if the client waits for more bytes.
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

// A connection can end after any byte, and any byte can be damaged. A client must accept the complete snapshot that was
// sent or none, because an altered snapshot would bring wrong estimates into use.
func TestEveryByte(t *testing.T) {
	nonce := bytes.Repeat([]byte{9}, nonceSize)
	newRequest := func() *snapshotRequest { return newTestRequest(keyA, bytes.Repeat([]byte{3}, nonceSize)) }
	whole := bytes.Join(recordedAnswers(t, keyA, nonce, newRequest()), nil)
	snapshot, err := feed(newRequest(), whole)
	require.NoError(t, err)
	require.NotNil(t, snapshot)
	for cutAt := range whole {
		snapshot, err := feed(newRequest(), whole[:cutAt])
		require.NoError(t, err, "byte %d: the client waits for more", cutAt)
		require.Nil(t, snapshot, "byte %d", cutAt)
	}
	for at := range whole {
		damaged := bytes.Clone(whole)
		damaged[at] ^= 1 << (at % 8)
		got, err := feed(newRequest(), damaged)
		if got != nil { // an unknown field is skipped, so a damaged field number may leave the snapshot unchanged
			require.NoError(t, err)
			require.Equal(t, snapshot, got, "byte %d", at)
		}
	}
}

// An attacker replays a recorded exchange to a client and to a server. Because nonces are new for each connection,
// neither may accept the recording.
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
	recordedRequest := encodeFrame(message{Kind: kindSnapshotRequest, Proof: sign(keyA, "asker", bytes.Repeat([]byte{9}, nonceSize), request.clientNonce)})
	_, err = conn.Write(append(request.hello(), recordedRequest...))
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	all, _ := io.ReadAll(conn)
	assert.Less(t, len(all), 200, "only the challenge, no part of the snapshot")
	assert.Equal(t, 1, counts.Times("peer connection closed: not authenticated, or unexpected message"))
}

// No bytes that a peer sends may make either side panic, and a snapshot is never returned together with an error.
func FuzzExchange(f *testing.F) {
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

// A server must answer a ballot only if it has a vote handler and the ballot is signed with one of the server's keys;
// otherwise any process could obtain votes. A client must not send a ballot over the size limit, and must return an
// error if no response arrives.
func TestVote(t *testing.T) {
	keys := Keys{[]byte("a shared secret of the fleet....")}
	server, _ := startServer(t, keys)
	ctx := context.Background()
	var rejected *RejectedError
	_, err := RequestVote(ctx, server.Address(), keys, []byte("ballot"))
	require.ErrorAs(t, err, &rejected, "a server without a vote handler rejects ballots")
	server.SetVoteHandler(func(ballot []byte, respond func([]byte)) { respond(append([]byte("seen "), ballot...)) })
	got, err := RequestVote(ctx, server.Address(), keys, []byte("ballot"))
	require.NoError(t, err)
	assert.Equal(t, "seen ballot", string(got))
	_, err = RequestVote(ctx, server.Address(), Keys{[]byte("another secret, not the fleet's.")}, []byte("ballot"))
	assert.Error(t, err, "the server does not know the key of the ballot")
	_, err = RequestVote(ctx, server.Address(), keys, make([]byte, maxBallot+1))
	assert.ErrorContains(t, err, "ballot of")
	assert.ErrorIs(t, err, ErrOutOfBounds)
	server.SetVoteHandler(func([]byte, func([]byte)) {}) // does not respond, so the exchange times out
	shortCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	_, err = RequestVote(shortCtx, server.Address(), keys, []byte("ballot"))
	assert.Error(t, err)
}
