//go:build debug

package invariant

// Debug states whether a violated invariant panics. In this build it does.
const Debug = true
