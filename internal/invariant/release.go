//go:build !debug

package invariant

// Debug states whether a violated invariant panics. In this build it is only counted and logged.
const Debug = false
