package config

import "time"

const (
	defaultCommitInterval = time.Millisecond
	defaultStateMB        = 64
)

// State says where what a server knows is kept for the one after it.
type State struct {
	Dir             string        // a folder of this server alone; its last part is made where it is missing
	Site            string        // label; files of another are not used
	MaxBytes        int64         // bytes of all files
	CommitInterval  time.Duration // for which records of numbers are gathered before they are written
	IdempotencyKeys bool          // the table of numbered tasks is kept too
}

func readState(s *section) *State {
	any := func(string) bool { return true }
	state := &State{
		Dir:             s.stringValue("dir", "", "the path of a folder is allowed", func(t string) bool { return t != "" }),
		Site:            s.stringValue("site", "", "a text is allowed", any),
		MaxBytes:        int64(s.integer("most-mb", defaultStateMB, 8, 4096)) << 20,
		CommitInterval:  s.duration("commit", defaultCommitInterval, 0, time.Second),
		IdempotencyKeys: s.boolean("numbers"),
	}
	if _, present := s.values["dir"]; !present {
		s.addError("dir", nil, "the path of a folder is needed")
	}
	s.rejectUnknown()
	return state
}
