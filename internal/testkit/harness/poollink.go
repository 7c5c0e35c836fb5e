package harness

import (
	"encoding/json"
	"io"
	"net"
)

// PoolCommand is one line that a server writes to its worker pool.
type PoolCommand struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"` // of a bind: the index of the last notice that the server has
	RunID   string `json:"task"`
	Handler string `json:"handler"`
	Nonce   string `json:"nonce"`
	Body    []byte `json:"bytes"`
}

// PoolNotice is one line, numbered by Index, that a worker pool writes to its server. The pool stores it and sends it
// again to a server that binds with a lower index.
type PoolNotice struct {
	Body    []byte   `json:"bytes"`
	Index   int      `json:"index"` // from 1, set by NoticeLog
	Outcome string   `json:"outcome,omitempty"`
	Spent   *float64 `json:"spent,omitempty"` // milliseconds
	RunID   string   `json:"task"`
	Verb    string   `json:"verb"`
}

// Finished returns the notice that a run has ended. spent is the duration of the run in milliseconds.
func Finished(runID, outcome string, spent float64, result []byte) PoolNotice {
	return PoolNotice{Verb: "finished", RunID: runID, Outcome: outcome, Spent: &spent, Body: result}
}

// Blocked returns the notice that a run waits for a dependency call.
func Blocked(runID string, body []byte) PoolNotice {
	return PoolNotice{Verb: "blocked", RunID: runID, Body: body}
}

// NoticeLog numbers and stores the notices of a pool and writes them to its bound link. Its caller must serialize all
// calls. Write errors are ignored, because a server whose link was lost binds again and gets the notices that it lacks.
type NoticeLog struct {
	link  net.Conn // nil while no server is bound
	lines []string
}

// IsBound reports whether link is the bound link.
func (l *NoticeLog) IsBound(link net.Conn) bool { return l.link == link }

// Bind makes link the bound link, writes the line bound to it, and then every notice with an index above after.
func (l *NoticeLog) Bind(link net.Conn, bound string, after int) {
	l.link = link
	l.WriteRaw(bound)
	for _, line := range l.lines[min(max(after, 0), len(l.lines)):] {
		l.WriteRaw(line)
	}
}

// Add numbers and stores a notice, and writes it to the bound link.
func (l *NoticeLog) Add(n PoolNotice) { l.WriteRaw(l.store(n)) }

// AddTruncated stores a complete notice but writes only the beginning of one.
func (l *NoticeLog) AddTruncated(n PoolNotice) {
	l.store(n)
	l.WriteRaw(`{"verb":"finished","index":` + "\n")
}

func (l *NoticeLog) store(n PoolNotice) string {
	n.Index = len(l.lines) + 1
	raw, _ := json.Marshal(n) // cannot fail: every field can be encoded as JSON
	l.lines = append(l.lines, string(raw)+"\n")
	return l.lines[len(l.lines)-1]
}

// WriteRaw writes text to the bound link unchanged. It does nothing if no link is bound.
func (l *NoticeLog) WriteRaw(text string) {
	if l.link != nil {
		_, _ = io.WriteString(l.link, text)
	}
}

// CloseLink closes the bound link. The stored notices are kept.
func (l *NoticeLog) CloseLink() {
	if l.link != nil {
		_ = l.link.Close()
		l.link = nil
	}
}
