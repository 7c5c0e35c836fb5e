package config

import "time"

const (
	defaultCommitInterval = time.Millisecond
	defaultStateMB        = 64
)

// State configures the storage of state for the server's next start.
type State struct {
	Dir             string        // used by this server alone; its last element is created if it does not exist
	Site            string        // label; files of another site are not used
	MaxBytes        int64         // limit on the size of all files
	CommitInterval  time.Duration // time over which records of idempotency keys are batched before they are written
	IdempotencyKeys bool          // whether the table of idempotency keys is stored too
}

func readState(s *section) *State {
	anyText := func(string) bool { return true }
	state := &State{
		Dir:             s.stringValue("dir", "", "the path of a directory is allowed", isNotEmpty),
		Site:            s.stringValue("site", "", "a text is allowed", anyText),
		MaxBytes:        int64(s.integer("most-mb", defaultStateMB, 8, 4096)) << 20,
		CommitInterval:  s.duration("commit", defaultCommitInterval, 0, time.Second),
		IdempotencyKeys: s.boolean("numbers"),
	}
	if !s.has("dir") {
		s.addError("dir", nil, "the path of a directory is missing")
	}
	s.rejectUnknown()
	return state
}
