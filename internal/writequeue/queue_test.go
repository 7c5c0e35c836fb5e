package writequeue

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func pair(t *testing.T) (write, read int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fds[0]); _ = unix.Close(fds[1]) })
	return fds[0], fds[1]
}

func drain(t *testing.T, fd int) (all []byte) {
	for buffer := make([]byte, 1<<16); ; {
		n, err := unix.Read(fd, buffer)
		if err == unix.EAGAIN {
			return all
		}
		require.NoError(t, err)
		all = append(all, buffer[:n]...)
	}
}

// Guards against a peer that does not read and thereby blocks the goroutine that answers all other peers: Flush must
// return without waiting.
func TestFlushNeverWaits(t *testing.T) {
	write, read := pair(t)
	queue, want := New(8<<20), []byte(nil)
	for i := range 3000 {
		message := bytes.Repeat([]byte{byte(i)}, 1000+i%7)
		require.NoError(t, queue.Add(message[:10], nil, message[10:]))
		want = append(want, message...)
	}
	var got []byte
	rounds := 0
	for ; !queue.Empty(); rounds++ {
		before := queue.Size()
		require.NoError(t, queue.Flush(write))
		part := drain(t, read)
		assert.Equal(t, before-queue.Size(), len(part))
		got = append(got, part...)
	}
	assert.Greater(t, rounds, 1, "the socket accepted all data at once, so the test shows nothing")
	assert.True(t, bytes.Equal(want, got))
}

func TestFull(t *testing.T) {
	queue := New(10)
	require.NoError(t, queue.Add([]byte("12345"), []byte("678")))
	assert.ErrorIs(t, queue.Add([]byte("9ab")), ErrFull)
	assert.Equal(t, 8, queue.Size())
}

func TestPeerGone(t *testing.T) {
	write, read := pair(t)
	_ = unix.Close(read)
	queue := New(10)
	require.NoError(t, queue.Add([]byte("1")))
	assert.ErrorIs(t, queue.Flush(write), unix.EPIPE)
}

// Guards against closing the connection, and losing its open requests, after a transient error of a write.
func TestFlushAcrossTransientErrors(t *testing.T) {
	original := writev
	t.Cleanup(func() { writev = original })
	write, read := pair(t)
	queue := New(1 << 20)
	require.NoError(t, queue.Add([]byte("first "), []byte("second")))
	failures := []error{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN}
	writev = func(fd int, parts [][]byte) (int, error) {
		if len(failures) > 0 {
			failure := failures[0]
			failures = failures[1:]
			return -1, failure
		}
		return unix.Write(fd, parts[0][:1]) // a short write each time
	}
	for range 3 { // ENOBUFS, ENOMEM and EAGAIN; an interrupted write is retried immediately
		require.NoError(t, queue.Flush(write))
		assert.Equal(t, 12, queue.Size())
	}
	require.NoError(t, queue.Flush(write))
	assert.True(t, queue.Empty())
	assert.Equal(t, "first second", string(drain(t, read)))

	require.NoError(t, queue.Add([]byte("lost")))
	writev = func(int, [][]byte) (int, error) { return -1, unix.ECONNRESET }
	assert.ErrorIs(t, queue.Flush(write), unix.ECONNRESET)
}
