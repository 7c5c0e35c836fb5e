package lease

import "fmt"

// Fence is what a store or a peer keeps to refuse acts under old tokens: the newest token it has seen for
// each duty. A holder that stalled past its lease and woke still shows its old token, and is refused here,
// whatever it believes. The table is bounded by the duties a fleet has, which its configuration names.
type Fence struct {
	highest map[string]Token
}

// NewFence has seen no token.
func NewFence() *Fence { return &Fence{highest: map[string]Token{}} }

// Admit says whether an act on duty under token may go on, and if so remembers the token.
func (f *Fence) Admit(duty string, token Token) bool {
	if token == 0 || token < f.highest[duty] {
		return false
	}
	f.highest[duty] = token
	return true
}

// Newest is the newest token admitted for duty, 0 where none.
func (f *Fence) Newest(duty string) Token { return f.highest[duty] }

// FencedOperation is one act on a duty as a fence recorded it: who, under which token, and whether it was admitted.
// At is the order in which the fence saw them.
type FencedOperation struct {
	Lease    string
	Process  string
	Token    Token
	Admitted bool
	Sequence int64
}

// CheckHistory reads a history of acts, in the order of At, and names the first moment two holders acted under
// valid tokens: an act admitted under a token older than one admitted before it, or one token admitted for
// two processes. It is the one checker of the lease tests, and it fails on a planted double hold.
func CheckHistory(history []FencedOperation) error {
	type seen struct {
		token Token
		by    string
		at    int64
	}
	newest := map[string]seen{}
	for i, a := range history {
		if i > 0 && a.Sequence < history[i-1].Sequence {
			return fmt.Errorf("act %d out of order: %d after %d", i, a.Sequence, history[i-1].Sequence)
		}
		if !a.Admitted {
			continue
		}
		was, known := newest[a.Lease]
		switch {
		case known && a.Token < was.token:
			return fmt.Errorf("duty %q: %s acted at %d under token %d after %s's %d at %d",
				a.Lease, a.Process, a.Sequence, a.Token, was.by, was.token, was.at)
		case known && a.Token == was.token && a.Process != was.by:
			return fmt.Errorf("duty %q: token %d held by %s at %d and by %s at %d",
				a.Lease, a.Token, was.by, was.at, a.Process, a.Sequence)
		}
		newest[a.Lease] = seen{a.Token, a.Process, a.Sequence}
	}
	return nil
}
