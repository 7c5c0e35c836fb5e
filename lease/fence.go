package lease

// Fence guards a resource against a process that still believes it holds a lease after another took over, because it
// stalled or its clock ran slow: it refuses operations whose token is older than the highest one that it has admitted. It
// has one entry for each lease and is not safe for concurrent use.
type Fence struct {
	highest map[string]Token // by lease
}

// NewFence returns a fence that has admitted nothing.
func NewFence() *Fence { return &Fence{highest: map[string]Token{}} }

// Admit reports whether an operation under a lease and its token may be carried out, and records the token if so.
func (f *Fence) Admit(lease string, token Token) bool {
	if token == 0 || token < f.highest[lease] {
		return false
	}
	f.highest[lease] = token
	return true
}
