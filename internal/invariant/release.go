//go:build !debug

package invariant

// Debug is whether a violated invariant panics. In this build it is counted and logged.
const Debug = false
