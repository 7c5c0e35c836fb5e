package harness

import (
	"os/exec"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestProcessThatEndsBeforeItsKill guards against a fault in which a process that exited by itself between the timeout
// and the kill was reported as an error, so that its soak run counted as failed whatever the checks found.
func TestProcessThatEndsBeforeItsKill(t *testing.T) {
	d := &Daemon{cmd: exec.Command("true")}
	require.NoError(t, d.cmd.Run())
	killed, err := d.kill()
	require.NoError(t, err)
	assert.False(t, killed, "the process exited by itself")

	d = &Daemon{cmd: exec.Command("sleep", "60")}
	require.NoError(t, d.cmd.Start())
	killed, err = d.kill()
	require.NoError(t, err)
	assert.True(t, killed)
	assert.Error(t, d.cmd.Wait())
}
