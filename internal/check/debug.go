//go:build debug

package check

// Debug tells that this build stops where a check fails.
const Debug = true
