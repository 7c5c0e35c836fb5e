//go:build debug

package invariant

// Debug tells that this build stops where a check fails.
const Debug = true
