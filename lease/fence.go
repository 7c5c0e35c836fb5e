package lease

// Fence protects a resource from a process that stalled or whose clock ran slow, and that still believes it holds a
// lease after another process took over. It refuses an operation whose token is older than the highest token admitted
// so far. It has one entry for each lease and is not safe for concurrent use.
type Fence struct {
	highest map[string]Token // by lease
}

// NewFence returns a fence that has admitted no operation yet.
func NewFence() *Fence { return &Fence{highest: map[string]Token{}} }

// Admit reports whether an operation under a lease and its token may be carried out. If so, it records the token.
func (f *Fence) Admit(lease string, token Token) bool {
	if token == 0 || token < f.highest[lease] {
		return false
	}
	f.highest[lease] = token
	return true
}
