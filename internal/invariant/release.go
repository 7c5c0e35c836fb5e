//go:build !debug

package invariant

// Debug says that this build goes on where an invariant does not hold.
const Debug = false
