//go:build !debug

package check

// Debug tells that this build goes on where a check fails.
const Debug = false
