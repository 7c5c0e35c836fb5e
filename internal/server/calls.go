package server

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// supply is the reply that a run went on with from its last call.
type supply struct {
	reply []byte
	sent  bool // the pool was told
}

// blocked takes that a run stands at a call. Where its task is answered already, the pool ends it by itself.
func (s *Server) blocked(n *workerapi.Notice) {
	t := s.tasks[n.Task]
	if t == nil || !t.active || s.blocking == nil {
		s.counts.Saw("call of a run nobody asked for")
		return
	}
	t.atCall, t.asks, t.supplied, t.calls = true, n.Result, nil, 0
	t.unsure, t.mark = false, 0 // so it has begun, and read whatever it was told before
	if !t.answered {
		s.AtCall(t)
	}
}

// placeCall has the dependency make the call that a run stands at.
func (s *Server) placeCall(t *Task, within time.Duration) {
	s.calls++
	c := workerapi.Call{Number: s.calls, Task: t.id, Body: t.asks, Within: within}
	t.call = c.Number
	s.dependency.Call(c)
}

// CallEnded takes how a call ended, from any goroutine. There are never more than calls that were made.
func (s *Server) CallEnded(e workerapi.CallEnd) { s.Post(func() { s.callEnded(e) }) }

func (s *Server) callEnded(e workerapi.CallEnd) {
	t := s.tasks[e.Task]
	if t == nil || t.call != e.Number {
		return // its run has ended meanwhile
	}
	t.call = 0
	if e.Outcome == admission.Done && !t.answered {
		s.goOn(t, &supply{reply: e.Result})
	}
	s.Returned(t, e.Outcome, e.Took)
}

// goOn has a run go on from its call, or notes that the pool could not be told.
func (s *Server) goOn(t *Task, with *supply) {
	t.atCall, t.supplied, t.unsure = false, with, false
	t.mark = s.link.Next()
	with.sent = s.blocking.Supply(t.id, with.reply)
}

// longest is the longest time that callers may be asked to stay away for, 0 where they may not be asked.
func (s *Server) longest() time.Duration {
	if asks, _ := s.settings.Values["come-back"].(bool); !asks {
		return 0
	}
	most, _ := s.settings.Values["come-back-most"].(time.Duration)
	return most
}
