//go:build debug

package invariant

// Debug says that this build panics where an invariant does not hold.
const Debug = true
