package controlsocket

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Requests are answered even after clients that send malformed input, too much or nothing. A client that sends nothing
// delays others by at most ioTimeout.
func TestQuery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, func(request Request) (any, error) {
		if request.Query != "known" {
			return nil, errors.New("unknown query")
		}
		return []int{1, 2}, nil
	})
	require.NoError(t, err)
	var got []int
	require.NoError(t, Query(path, Request{Query: "known"}, &got))
	assert.Equal(t, []int{1, 2}, got)
	assert.EqualError(t, Query(path, Request{Query: "other"}, &got), "unknown query")
	for _, bad := range []string{"no JSON\n", strings.Repeat("x", 2*maxRequestBytes) + "\n"} {
		conn, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(bad))
		_ = conn.Close()
	}
	idle, err := net.Dial("unix", path) // sends nothing until its timeout
	require.NoError(t, err)
	defer func() { _ = idle.Close() }()
	started := time.Now()
	require.NoError(t, Query(path, Request{Query: "known"}, &got))
	assert.Less(t, time.Since(started), 2*ioTimeout)
	_, err = Listen(path, nil)
	assert.ErrorContains(t, err, "another server")
	s.Close()
	assert.ErrorContains(t, Query(path, Request{}, &got), "no server answers")
}

// A server that was killed leaves its socket file behind. The next server replaces it by one with its own mode. Any
// other kind of file at the path is left unchanged.
func TestExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err := Listen(path, nil)
	assert.ErrorContains(t, err, "not a socket")
	require.NoError(t, os.Remove(path))

	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	stale.SetUnlinkOnClose(false)
	require.NoError(t, stale.Close())
	s, err := Listen(path, nil)
	require.NoError(t, err, "the socket file of a server that no longer runs must be replaced")
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	s.Close()
}
