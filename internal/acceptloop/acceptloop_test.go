package acceptloop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second

// failingOnce is a listener whose first Accept fails, as if the process had no file descriptors left.
type failingOnce struct {
	net.Listener
	failed atomic.Bool
}

func (f *failingOnce) Accept() (net.Conn, error) {
	if !f.failed.Swap(true) {
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

// A failed Accept must not end the loop. A connection beyond the limit is closed without affecting the others. After a
// served connection ends, a new one is served. Run must return only after the last Serve.
func TestLoop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var reported atomic.Int64
	var serving atomic.Int64
	loop := Loop{
		MaxConns: 1,
		Serve: func(conn net.Conn) {
			serving.Add(1)
			defer serving.Add(-1)
			defer func() { _ = conn.Close() }()
			_, _ = io.Copy(conn, conn)
		},
		OnError: func(error) { reported.Add(1) },
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run(&failingOnce{Listener: inner}) }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
		return conn
	}
	echoes := func(conn net.Conn) bool {
		buffer := make([]byte, 1)
		_, failed := conn.Write([]byte{7})
		_, err := io.ReadFull(conn, buffer)
		return failed == nil && err == nil && buffer[0] == 7
	}

	first := dial()
	assert.True(t, echoes(first))
	assert.Equal(t, int64(1), reported.Load())
	beyond := dial()
	assert.False(t, echoes(beyond), "a connection beyond the limit was served")
	_ = beyond.Close()
	assert.True(t, echoes(first), "a served connection must not be affected")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return serving.Load() == 0 }, waitLimit, time.Millisecond)
	var last net.Conn
	require.Eventually(t, func() bool { last = dial(); return echoes(last) || last.Close() != nil }, waitLimit, time.Millisecond)

	require.NoError(t, inner.Close())
	select {
	case <-done:
		t.Fatal("Run returned before the last call of Serve")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, last.Close())
	assert.ErrorIs(t, <-done, net.ErrClosed)
	assert.Zero(t, serving.Load())
}

// With MaxConns 0 further connections wait for the first one instead of being closed.
func TestSequential(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving, peak atomic.Int64
	release := make(chan struct{})
	loop := Loop{Serve: func(conn net.Conn) {
		peak.Store(max(peak.Load(), serving.Add(1)))
		<-release
		_, _ = conn.Write([]byte{1})
		_ = conn.Close()
		serving.Add(-1)
	}}
	done := make(chan error, 1)
	go func() { done <- loop.Run(listener) }()
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
		conns = append(conns, conn)
	}
	close(release)
	for i, conn := range conns {
		answer, err := io.ReadAll(conn)
		require.NoError(t, err, i)
		assert.Equal(t, []byte{1}, answer, i)
		require.NoError(t, conn.Close())
	}
	assert.Equal(t, int64(1), peak.Load())
	require.NoError(t, listener.Close())
	assert.ErrorIs(t, <-done, net.ErrClosed)
}
