//go:build debug

package invariant

// Debug is whether a violated invariant panics, as it does in this build.
const Debug = true
