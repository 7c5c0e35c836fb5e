package invariant

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCounts(t *testing.T) {
	var log bytes.Buffer
	c := New(slog.New(slog.NewTextHandler(&log, nil)))
	c.Assert(true, "never")
	for range 3 {
		c.Count("odd line")
	}
	assert.Equal(t, 3, c.Times("odd line"))
	assert.Equal(t, 1, strings.Count(log.String(), "\n"), "only the first occurrence is logged")
	broken := func() { c.Assert(false, "two answers") }
	if Debug {
		assert.Panics(t, broken)
		return
	}
	broken()
	c.Report()
	assert.Contains(t, log.String(), `what="check failed: two answers" times=1`)
	assert.Contains(t, log.String(), `what="odd line" times=3`)
	assert.NotContains(t, log.String(), "never")
}
