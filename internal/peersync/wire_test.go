package peersync

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// digest returns the SHA-256 of the joined byte strings, in hexadecimal.
func digest(parts ...[]byte) string {
	sum := sha256.Sum256(bytes.Join(parts, nil))
	return hex.EncodeToString(sum[:])
}

// Servers of different versions communicate while a fleet is upgraded. If one encodes or signs a message differently,
// the other drops it and starts without estimates. This test therefore fixes the bytes of a message with all fields,
// and of both sides of an exchange for a snapshot and for a vote.
func TestMessageBytesStayTheSame(t *testing.T) {
	full := message{
		Kind: kindEnd, Nonce: []byte{1}, KeyName: []byte{2}, Proof: []byte{3}, Number: 4, Bytes: []byte{5}, Size: 6, Checksum: 7,
		Age: 8 * time.Second, Reason: "nine", RetryAfter: 10 * time.Second, Ballot: []byte{11},
	}
	assert.Equal(t, "00000034ad010102050341010441020541030604074105080609070a1b00000001dcd650000b646e696e650c1b00000002540be4000d410b", hex.EncodeToString(encodeFrame(full)))
	assert.Equal(t, []kind{1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]kind{kindHello, kindChallenge, kindSnapshotRequest, kindPart, kindEnd, kindRejection, kindVoteRequest, kindVoteResponse, kindSessionRequest})

	clientNonce, serverNonce := bytes.Repeat([]byte{3}, nonceSize), bytes.Repeat([]byte{9}, nonceSize)
	snapshot, err := encodeSnapshot(testSnapshot(5), 0)
	require.NoError(t, err)
	allow := func(int) (bool, time.Duration) { return true, 0 }
	client := newTestRequest(keyA, clientNonce)
	server := serverExchange{serverHandshake: serverHandshake{serverNonce: serverNonce}}
	var sent, received [][]byte
	sent = append(sent, client.hello())
	for i := 0; i < len(sent); i++ {
		m, _, ok, err := decodeFrame(sent[i])
		require.True(t, ok)
		require.NoError(t, err)
		answers, _, err := server.handle(m, Keys{keyA}, snapshotSource{snapshot, 2 * time.Second, allow})
		require.NoError(t, err)
		for _, answer := range answers {
			received = append(received, answer)
			m, _, _, err := decodeFrame(answer)
			require.NoError(t, err)
			next, _, err := client.handle(m)
			require.NoError(t, err)
			if next != nil {
				sent = append(sent, next)
			}
		}
	}
	assert.Len(t, sent, 2)
	assert.Len(t, received, 5)
	assert.Equal(t, "c70535bda8f0878bd4f35f82c35dd8d6803d44d909814340be068d60147bc68e", digest(sent...))
	assert.Equal(t, "1b88d4eb556e8f8cf98c63a76c4a43fa16ae3d449764f5695921a2bd214d9aae", digest(received...))

	voter := voteRequest{clientHandshake: clientHandshake{key: keyA, clientNonce: clientNonce}, ballot: []byte("ballot")}
	server = serverExchange{serverHandshake: serverHandshake{serverNonce: serverNonce}}
	m, _, _, err := decodeFrame(voter.hello())
	require.NoError(t, err)
	answers, _, err := server.handle(m, Keys{keyA}, snapshotSource{allow: allow})
	require.NoError(t, err)
	m, _, _, err = decodeFrame(answers[0])
	require.NoError(t, err)
	request, _, err := voter.handle(m)
	require.NoError(t, err)
	m, _, _, err = decodeFrame(request)
	require.NoError(t, err)
	_, ballot, err := server.handle(m, Keys{keyA}, snapshotSource{allow: allow})
	require.NoError(t, err)
	assert.Equal(t, "ballot", string(ballot))
	assert.Equal(t, "549b637aab1fa6058990790fd71aa7b88a9f4fc6a39585be71af29a707ce39d7", digest(request))
	assert.Equal(t, "a320abb1b809a6b27350415228e9fa352cf8254b53f8cf137ad1186070e03e6d", digest(server.voteResponse([]byte("answer"))))
}

// capturingConn records what is written to a connection.
type capturingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *capturingConn) Write(p []byte) (int, error)      { return c.written.Write(p) }
func (c *capturingConn) SetWriteDeadline(time.Time) error { return nil }

// The bytes of a session's payloads must stay the same too, in both directions.
func TestSessionBytesStayTheSame(t *testing.T) {
	payload := bytes.Repeat([]byte("payload"), 1000)
	for _, c := range []struct {
		client bool
		want   string
	}{{true, "8d818f957be68267bdc692eff7aa4dd1ae9e12e38e4025dbc17986330fbaec07"}, {false, "8ae913630eff4cc14d978b2eef69c8056cba2b7b6b618c7b7dd889a6b6a4e007"}} {
		conn := &capturingConn{}
		s := Session{
			conn: conn, key: keyA, clientNonce: bytes.Repeat([]byte{3}, nonceSize), serverNonce: bytes.Repeat([]byte{9}, nonceSize),
			client: c.client,
		}
		require.NoError(t, s.Send(payload))
		require.NoError(t, s.Send(nil))
		assert.Equal(t, c.want, digest(conn.written.Bytes()))
	}
}
