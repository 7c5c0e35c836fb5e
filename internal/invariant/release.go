//go:build !debug

package invariant

// Debug tells that this build goes on where a check fails.
const Debug = false
