package main

import (
	"math"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/wire"
)

// entry is what the door remembers of a task.
type entry struct {
	task     *admission.Task
	answered bool
	active   bool // a run is on, so an end will still come
}

// instance is one app server: its module, the ids of its tasks, and the writer of its decisions.
type instance struct {
	who      uint16
	module   *admission.Choice
	settings *settings.Settings
	tasks    map[uint64]*entry
	ids      map[*admission.Task]uint64
	round    admission.Round
	reading  admission.Gauges
	touched  bool
	reply    *wire.Reply
}

func newInstance(who uint16, seed uint64, info string, reply *wire.Reply) (*instance, error) {
	told, err := settings.FromLines(info)
	if err != nil {
		return nil, err
	}
	return &instance{
		who:      who,
		module:   admission.New(told.Values, int64(seed)),
		settings: told,
		tasks:    map[uint64]*entry{},
		ids:      map[*admission.Task]uint64{},
		reply:    reply,
	}, nil
}

// settle drops what no later event can concern.
func (in *instance) settle(t *admission.Task) {
	id, known := in.ids[t]
	if !known {
		return
	}
	if e := in.tasks[id]; e.answered && !e.active {
		delete(in.tasks, id)
		delete(in.ids, t)
	}
}

func (in *instance) act(code uint8, t *admission.Task) wire.Action {
	a := in.reply.Add(code, in.who)
	a.U64(3, in.ids[t])
	return a
}

func (in *instance) answered(t *admission.Task) {
	if e := in.tasks[in.ids[t]]; e != nil {
		e.answered = true
		in.settle(t)
	}
}

// micros rounds a span up to the wire's unit and keeps it within the field.
func micros(d time.Duration) uint32 {
	us := (d + time.Microsecond - 1) / time.Microsecond
	return uint32(min(max(us, 0), math.MaxUint32))
}

// Start implements admission.Writer, as do the methods below it.
func (in *instance) Start(t *admission.Task) {
	in.tasks[in.ids[t]].active = true
	in.act(wire.Launch, t)
}

func (in *instance) Pause(t *admission.Task) { in.act(wire.Preempt, t) }

func (in *instance) Dismiss(t *admission.Task, comeBack time.Duration, nowhereElse bool) {
	a := in.act(wire.Shed, t)
	a.U32(11, micros(comeBack))
	a.Bool(15, nowhereElse)
	in.answered(t)
}

func (in *instance) GiveUp(t *admission.Task) {
	in.act(wire.Fail, t)
	in.answered(t)
}

func (in *instance) AnswerFromFirst(t *admission.Task) { in.act(wire.Echo, t) }

func (in *instance) Remember(t *admission.Task, span time.Duration) {
	in.act(wire.Keep, t).U32(11, micros(span))
}

func (in *instance) Forget(t *admission.Task) { in.act(wire.Unpin, t) }

func (in *instance) Call(t *admission.Task, patience time.Duration) {
	in.act(wire.Call, t).U32(11, micros(patience))
}

func (in *instance) SkipCall(t *admission.Task) { in.act(wire.GoOn, t) }

func (in *instance) Health(good, fromStore bool) {
	a := in.reply.Add(wire.Status, in.who)
	a.Bool(3, good)
	a.Bool(4, fromStore)
}

func (in *instance) Level(level float64) { in.reply.Add(wire.HintOut, in.who).F32(3, level) }

func (in *instance) CloseIdle(span time.Duration) {
	in.reply.Add(wire.CloseIdle, in.who).U32(3, micros(span))
}

func (in *instance) Wake(after time.Duration) {
	in.reply.Add(wire.Remind, in.who).U32(3, micros(after))
}

func (in *instance) Note(words string) { in.reply.Text(wire.NoteDown, in.who, words) }
