package peersync

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An invalid key file must be rejected with the number of its invalid line, and the error must not contain a key.
func TestReadKeys(t *testing.T) {
	write := func(text string, mode os.FileMode) string {
		path := filepath.Join(t.TempDir(), "key")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, os.Chmod(path, mode))
		return path
	}
	good := "00112233445566778899aabbccddeeff"
	keys, err := ReadKeys(write("# ours\n\n"+good+"\n  "+good+"00\n", 0o600))
	require.NoError(t, err)
	assert.Len(t, keys, 2)
	for text, want := range map[string]string{
		"": "0 keys", "xx": "line 1", good[:20]: "line 1", good + "\n\nzz": "line 3",
		good + "\n" + good + "\n" + good + "\n" + good + "\n" + good: "5 keys",
	} {
		_, err := ReadKeys(write(text, 0o600))
		assert.ErrorContains(t, err, want)
		assert.NotContains(t, err.Error(), good)
	}
	_, err = ReadKeys(write(good, 0o640))
	assert.ErrorContains(t, err, "0640")
	_, err = ReadKeys("/nowhere")
	assert.ErrorContains(t, err, "key file")
}
