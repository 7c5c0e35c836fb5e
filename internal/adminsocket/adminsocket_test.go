package adminsocket

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

// Requests are answered, also after clients that send garbage, too much or nothing: one that sends nothing holds others up
// for a second at most.
func TestQuery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, func(q Request) (any, error) {
		if q.Query != "known" {
			return nil, errors.New("unknown question")
		}
		return []int{1, 2}, nil
	})
	require.NoError(t, err)
	var got []int
	require.NoError(t, Query(path, Request{Query: "known"}, &got))
	assert.Equal(t, []int{1, 2}, got)
	assert.EqualError(t, Query(path, Request{Query: "other"}, &got), "unknown question")
	for _, bad := range []string{"no JSON\n", strings.Repeat("x", 2*maxRequestBytes) + "\n"} {
		conn, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(bad))
		_ = conn.Close()
	}
	silent, err := net.Dial("unix", path) // until its timeout
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	started := time.Now()
	require.NoError(t, Query(path, Request{Query: "known"}, &got))
	assert.Less(t, time.Since(started), 2*ioTimeout)
	_, err = Listen(path, nil)
	assert.ErrorContains(t, err, "another server")
	s.Close()
	assert.ErrorContains(t, Query(path, Request{}, &got), "no server answers")
}

// A server that was killed leaves its socket file, which the next one replaces, with the mode of its own. Any other file at
// the path is left alone.
func TestExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err := Listen(path, nil)
	assert.ErrorContains(t, err, "something else")
	require.NoError(t, os.Remove(path))

	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	dead.SetUnlinkOnClose(false)
	require.NoError(t, dead.Close())
	s, err := Listen(path, nil)
	require.NoError(t, err, "the socket file of a dead server is replaced")
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	s.Close()
}
