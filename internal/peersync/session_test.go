package peersync

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// openSessions opens both ends of a session, and returns each end with the error of its opening. wrap, if set, wraps
// the client's connection.
func openSessions(t *testing.T, clientKeys, serverKeys Keys, wrap func(net.Conn) net.Conn) (a, b *Session, errA, errB error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			errB = err
			return
		}
		if b, errB = Accept(conn, serverKeys); errB != nil {
			_ = conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	if wrap != nil {
		conn = wrap(conn)
	}
	if a, errA = openOn(t.Context(), conn, clientKeys); errA != nil {
		_ = conn.Close()
	}
	<-accepted
	t.Cleanup(func() {
		_ = conn.Close()
		if b != nil {
			_ = b.Close()
		}
	})
	return a, b, errA, errB
}

var sessionKey = Keys{bytes.Repeat([]byte{7}, minKeySize)}

// Payloads of any size must arrive complete and in order in both directions, and a payload over the limit must be
// rejected.
func TestSession(t *testing.T) {
	a, b, errA, errB := openSessions(t, sessionKey, Keys{bytes.Repeat([]byte{1}, minKeySize), sessionKey[0]}, nil)
	require.NoError(t, errors.Join(errA, errB))
	var sent [][]byte
	for _, size := range []int{0, 1, maxPart - 1, maxPart, maxPart + 1, 300 << 10} {
		payload := make([]byte, size)
		_, _ = rand.Read(payload)
		sent = append(sent, payload)
	}
	for _, direction := range []struct{ from, to *Session }{{a, b}, {b, a}} {
		failed := make(chan error, 1)
		go func() {
			var err error
			for _, payload := range sent {
				err = errors.Join(err, direction.from.Send(payload))
			}
			failed <- err
		}()
		for _, want := range sent {
			got, err := direction.to.Receive(1<<20, testTimeout)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, got))
		}
		require.NoError(t, <-failed)
	}
	require.NoError(t, a.Send(make([]byte, 100)))
	_, err := b.Receive(99, testTimeout)
	assert.ErrorContains(t, err, "over 99 bytes")
	assert.ErrorIs(t, err, ErrOutOfBounds)
}

// A client with another key, or none, must get only a rejection, and no session may be opened with a peer that does not
// have the key.
func TestSessionOfAnotherKey(t *testing.T) {
	other := Keys{bytes.Repeat([]byte{9}, minKeySize)}
	for name, keys := range map[string]Keys{"another": other, "none": nil} {
		_, _, errA, errB := openSessions(t, keys, sessionKey, nil)
		var rejected *RejectedError
		assert.ErrorAs(t, errA, &rejected, name)
		assert.ErrorContains(t, errB, "key is not known", name)
		assert.ErrorIs(t, errB, ErrUnknownKey, name)
	}
	_, _, errA, errB := openSessions(t, sessionKey, nil, nil)
	assert.Error(t, errA)
	assert.Error(t, errB)
}

// damagingConn changes one bit of the bytes that are read.
type damagingConn struct {
	net.Conn
	damageAt, bytesRead int
}

func (f *damagingConn) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if index := f.damageAt - f.bytesRead; index >= 0 && index < n {
		p[index] ^= 0x20
	}
	f.bytesRead += n
	return n, err
}

// A byte is damaged in transit. The payload must be dropped; it must never be returned with other contents.
func TestSessionDamaged(t *testing.T) {
	payload := bytes.Repeat([]byte("a change "), 40)
	for at := 0; ; at += 7 {
		var conn *damagingConn
		a, b, errA, errB := openSessions(t, sessionKey, sessionKey, func(c net.Conn) net.Conn {
			conn = &damagingConn{Conn: c, damageAt: at}
			return conn
		})
		if errA != nil || errB != nil {
			continue // the damaged byte was part of the handshake
		}
		require.NoError(t, b.Send(payload))
		got, err := a.Receive(1<<20, testTimeout)
		if conn.bytesRead <= at {
			require.NoError(t, err)
			assert.Equal(t, payload, got)
			return // the byte to damage is past the end of the exchange
		}
		assert.Error(t, err, "byte %d", at)
		assert.Nil(t, got, "byte %d", at)
	}
}

// An attacker replays a payload of a session. It must be rejected.
func TestSessionReplayed(t *testing.T) {
	a, b, errA, errB := openSessions(t, sessionKey, sessionKey, nil)
	require.NoError(t, errors.Join(errA, errB))
	require.NoError(t, a.Send([]byte("once")))
	_, err := b.Receive(1<<10, testTimeout)
	require.NoError(t, err)
	a.sent = 0 // the next payload has the number of the first
	require.NoError(t, a.Send([]byte("once")))
	_, err = b.Receive(1<<10, testTimeout)
	assert.ErrorContains(t, err, "payload: proof is wrong")
	assert.ErrorIs(t, err, ErrBadProof)
}

// A peer accepts the connection and sends nothing, so the end of the context must end the opening. An opening to an
// address without a listener must fail.
func TestSessionOpeningEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Open(ctx, listener.Addr().String(), sessionKey)
	assert.Error(t, err)
	_, err = Open(t.Context(), "127.0.0.1:1", sessionKey)
	assert.Error(t, err)
}
