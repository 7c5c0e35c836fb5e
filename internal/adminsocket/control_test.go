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

func TestAsk(t *testing.T) {
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
		link, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, _ = link.Write([]byte(bad))
		link.Close()
	}
	silent, err := net.Dial("unix", path) // holds others up for a second at the most
	require.NoError(t, err)
	defer silent.Close()
	began := time.Now()
	require.NoError(t, Query(path, Request{Query: "known"}, &got))
	assert.Less(t, time.Since(began), 2*ioTimeout)
	_, err = Listen(path, nil)
	assert.ErrorContains(t, err, "another server")
	s.Close()
	assert.ErrorContains(t, Query(path, Request{}, &got), "no server answers")
}

func TestWhatStandsThere(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err := Listen(path, nil)
	assert.ErrorContains(t, err, "something else")
	require.NoError(t, os.Remove(path))

	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	dead.SetUnlinkOnClose(false)
	dead.Close()
	s, err := Listen(path, nil)
	require.NoError(t, err, "what a dead server left is taken over")
	about, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), about.Mode().Perm())
	s.Close()
}
