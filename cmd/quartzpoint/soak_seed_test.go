package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/soak"
)

// Guards against a fault: while the dependency is five times slower, three servers together had more calls in flight than
// it survives. The seed is one of a soak.
func TestSlowDependencyIsNotOverloaded(t *testing.T) {
	const (
		seed = 76045
		span = 8 * time.Second
	)
	history, err := soak.Run(t.Context(), builds["release"], t.TempDir(), soak.Draw(seed, span))
	require.NoError(t, err)
	assert.Empty(t, soak.Check(history))
}
