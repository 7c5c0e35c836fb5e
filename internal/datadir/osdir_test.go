package datadir

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func openTemp(t *testing.T) (d *OSDir, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "state")
	d, err := Open(path, false)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, d.Close()) })
	return d, path
}

func write(t *testing.T, d *OSDir, name, contents string) {
	t.Helper()
	file, err := d.Create(name)
	require.NoError(t, err)
	_, err = file.Write([]byte(contents))
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	require.NoError(t, file.Close())
}

func TestFiles(t *testing.T) {
	d, _ := openTemp(t)
	write(t, d, "b", "two")
	write(t, d, "a", "one")
	_, err := d.Create("a")
	assert.ErrorIs(t, err, os.ErrExist)
	require.NoError(t, d.Rename("b", "a"))
	require.NoError(t, d.Sync())
	raw, err := d.Read("a", 3)
	require.NoError(t, err)
	assert.Equal(t, "two", string(raw))
	_, err = d.Read("a", 2)
	assert.ErrorIs(t, err, ErrTooLarge)
	entries, err := d.List()
	require.NoError(t, err)
	assert.Equal(t, []Entry{{"a", 3, true}, {lockName, 0, true}}, entries)
	require.NoError(t, d.Remove("a"))
	_, err = d.Read("a", 3)
	assert.ErrorIs(t, err, os.ErrNotExist)
	free, err := d.FreeBytes()
	require.NoError(t, err)
	assert.Positive(t, free)
}

// The lock excludes other processes that write, but not readers, and Close releases it.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	d, err := Open(path, false)
	require.NoError(t, err)
	_, err = Open(path, false)
	assert.ErrorIs(t, err, ErrInUse)
	reader, err := Open(path, true)
	require.NoError(t, err)
	assert.NoError(t, reader.Close())
	require.NoError(t, d.Close())
	d, err = Open(path, false)
	require.NoError(t, err)
	assert.NoError(t, d.Close())
}

// A user with write access to the directory replaces a file by a link or a pipe. Reading the link must not lead to
// another file, and reading the pipe must not block.
func TestNoLinksNoPipes(t *testing.T) {
	d, path := openTemp(t)
	secret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secret, []byte("not ours"), 0o600))
	require.NoError(t, os.Symlink(secret, filepath.Join(path, "link")))
	require.NoError(t, unix.Mkfifo(filepath.Join(path, "pipe"), 0o600))
	_, err := d.Read("link", 100)
	assert.ErrorIs(t, err, unix.ELOOP)
	raw, err := d.Read("pipe", 100)
	require.NoError(t, err)
	assert.Empty(t, raw)
	entries, err := d.List()
	require.NoError(t, err)
	for _, e := range entries {
		assert.Equal(t, e.Name == lockName, e.Regular, e.Name)
	}
}
