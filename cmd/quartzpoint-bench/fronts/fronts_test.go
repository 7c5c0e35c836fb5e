package fronts

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/internal/testkit/conformance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAllFronts checks that every front end follows the rules in every case, and that all front ends have the same
// outcomes in the cases whose outcomes do not depend on timing.
func TestAllFronts(t *testing.T) {
	program := filepath.Join(t.TempDir(), "quartzpoint")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, "quartzpoint/cmd/quartzpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	fronts := map[string]func(name string) (conformance.FrontEnd, error){
		"daemon": func(name string) (conformance.FrontEnd, error) {
			return conformance.NewDaemon(program, t.TempDir(), name)
		},
		"library":  func(string) (conformance.FrontEnd, error) { return NewLibrary() },
		"net/http": func(string) (conformance.FrontEnd, error) { return NewHTTP() },
		"gin":      func(string) (conformance.FrontEnd, error) { return NewGin() },
	}
	exact := map[string][conformance.Unanswered + 1]int{ // the outcomes of the other cases depend on timing
		"runs past their time": {conformance.Aborted: 1, conformance.Rejected: 1, conformance.Served: 2}, // the second slot-check is rejected, as its run is known to take too long
		"broken runs":          {conformance.Served: 8, conformance.Aborted: 4},
		"callers gone":         {conformance.Served: 6, conformance.Canceled: 6},
		"repeats":              {conformance.Served: 30},
	}
	t.Run("all", func(t *testing.T) {
		for name, start := range fronts {
			for _, c := range conformance.Cases(1) {
				if c.NeedsKeys && name == "daemon" {
					continue // the daemon's protocol carries no idempotency keys
				}
				t.Run(name+"/"+c.Name, func(t *testing.T) {
					t.Parallel()
					f, err := start("n1")
					require.NoError(t, err)
					defer f.Close()
					n, err := conformance.Run(f, c)
					require.NoError(t, err)
					assert.Zero(t, n.Outcomes[conformance.Unanswered]+n.LateAnswers+n.RepeatedRuns, "%+v", n)
					assert.Equal(t, c.ShutdownAt > 0, n.ShutdownClean)
					if want, known := exact[c.Name]; known {
						assert.Equal(t, want, n.Outcomes)
					}
					if c.Name == "calm" {
						assert.Equal(t, n.Requests, n.Outcomes[conformance.Served])
					}
					if c.Name == "repeats" {
						assert.Equal(t, 5, n.Runs)
					}
				})
			}
		}
	})
	_, err = os.Stat(program)
	assert.NoError(t, err)
}
