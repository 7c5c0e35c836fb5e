package harness

import (
	"os/exec"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that ended by itself between the timeout and the kill counted as an error, and its run lost its verdict.
func TestProcessThatEndsBeforeItsKill(t *testing.T) {
	d := &Daemon{cmd: exec.Command("true")}
	require.NoError(t, d.cmd.Run())
	killed, err := d.kill()
	require.NoError(t, err)
	assert.False(t, killed, "it ended by itself")

	d = &Daemon{cmd: exec.Command("sleep", "60")}
	require.NoError(t, d.cmd.Start())
	killed, err = d.kill()
	require.NoError(t, err)
	assert.True(t, killed)
	assert.Error(t, d.cmd.Wait())
}
