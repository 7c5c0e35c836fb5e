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

// sessions are both ends of one, each with what its opening came to.
func sessions(t *testing.T, asker, giver Keys, between func(net.Conn) net.Conn) (a, b *Session, errA, errB error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			errB = err
			return
		}
		if b, errB = Accept(conn, giver); errB != nil {
			conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	if between != nil {
		conn = between(conn)
	}
	if a, errA = OpenOn(t.Context(), conn, asker); errA != nil {
		conn.Close()
	}
	<-accepted
	t.Cleanup(func() {
		conn.Close()
		if b != nil {
			b.Close()
		}
	})
	return a, b, errA, errB
}

var sessionKey = Keys{bytes.Repeat([]byte{7}, leastKey)}

// Payloads of any size go both ways, whole and in order, beside each other.
func TestSession(t *testing.T) {
	a, b, errA, errB := sessions(t, sessionKey, Keys{bytes.Repeat([]byte{1}, leastKey), sessionKey[0]}, nil)
	require.NoError(t, errors.Join(errA, errB))
	var sent [][]byte
	for _, size := range []int{0, 1, mostPart - 1, mostPart, mostPart + 1, 300 << 10} {
		payload := make([]byte, size)
		_, _ = rand.Read(payload)
		sent = append(sent, payload)
	}
	for _, way := range []struct{ from, to *Session }{{a, b}, {b, a}} {
		failed := make(chan error, 1)
		go func() {
			var err error
			for _, payload := range sent {
				err = errors.Join(err, way.from.Send(payload))
			}
			failed <- err
		}()
		for _, want := range sent {
			got, err := way.to.Receive(1<<20, patience)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, got))
		}
		require.NoError(t, <-failed)
	}
	require.NoError(t, a.Send(make([]byte, 100)))
	_, err := b.Receive(99, patience)
	assert.ErrorContains(t, err, "over 99 bytes")
}

// Whoever has another key, or none, gets a refusal and nothing else; and a session is not opened with a peer that does
// not have the key.
func TestSessionOfAnotherKey(t *testing.T) {
	other := Keys{bytes.Repeat([]byte{9}, leastKey)}
	for name, keys := range map[string]Keys{"another": other, "none": nil} {
		_, _, errA, errB := sessions(t, keys, sessionKey, nil)
		var refused *RejectedError
		assert.ErrorAs(t, errA, &refused, name)
		assert.ErrorContains(t, errB, "key is not known", name)
	}
	_, _, errA, errB := sessions(t, sessionKey, nil, nil)
	assert.Error(t, errA)
	assert.Error(t, errB)
}

// flipped changes one byte of what is read.
type flipped struct {
	net.Conn
	at, seen int
}

func (f *flipped) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if place := f.at - f.seen; place >= 0 && place < n {
		p[place] ^= 0x20
	}
	f.seen += n
	return n, err
}

// Any byte that is changed on the way has the payload dropped whole; it never comes out as another.
func TestSessionDamaged(t *testing.T) {
	payload := bytes.Repeat([]byte("a change "), 40)
	for at := 0; ; at += 7 {
		var conn *flipped
		a, b, errA, errB := sessions(t, sessionKey, sessionKey, func(c net.Conn) net.Conn {
			conn = &flipped{Conn: c, at: at}
			return conn
		})
		if errA != nil || errB != nil {
			continue // the opening was hit
		}
		require.NoError(t, b.Send(payload))
		got, err := a.Receive(1<<20, patience)
		if conn.seen <= at {
			require.NoError(t, err)
			assert.Equal(t, payload, got)
			return // past the end
		}
		assert.Error(t, err, "byte %d", at)
		assert.Nil(t, got, "byte %d", at)
	}
}

// A payload of another session, or one that comes again, is not taken.
func TestSessionReplayed(t *testing.T) {
	a, b, errA, errB := sessions(t, sessionKey, sessionKey, nil)
	require.NoError(t, errors.Join(errA, errB))
	require.NoError(t, a.Send([]byte("once")))
	_, err := b.Receive(1<<10, patience)
	require.NoError(t, err)
	a.sent = 0 // says the same once more
	require.NoError(t, a.Send([]byte("once")))
	_, err = b.Receive(1<<10, patience)
	assert.ErrorContains(t, err, "proof of the payload is wrong")
}

// The context ends an opening that a peer leaves hanging.
func TestSessionOpeningEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Open(ctx, listener.Addr().String(), sessionKey)
	assert.Error(t, err)
	_, err = Open(t.Context(), "127.0.0.1:1", sessionKey)
	assert.Error(t, err)
}
