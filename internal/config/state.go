package config

import "time"

const (
	commitDefault = time.Millisecond
	mostStateMB   = 64
)

// State says where what a server knows is kept for the one after it.
type State struct {
	Dir     string        // a folder of this server alone; its last part is made where it is missing
	Site    string        // label; files of another are not used
	Most    int64         // bytes of all files
	Commit  time.Duration // for which records of numbers are gathered before they are written
	Numbers bool          // the table of numbered tasks is kept too
}

func readState(s *section) *State {
	any := func(string) bool { return true }
	st := &State{
		Dir:     s.text("dir", "", "the path of a folder is allowed", func(t string) bool { return t != "" }),
		Site:    s.text("site", "", "a text is allowed", any),
		Most:    int64(s.whole("most-mb", mostStateMB, 8, 4096)) << 20,
		Commit:  s.span("commit", commitDefault, 0, time.Second),
		Numbers: s.flag("numbers"),
	}
	if _, stated := s.values["dir"]; !stated {
		s.fault("dir", nil, "the path of a folder is needed")
	}
	s.end()
	return st
}
