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
	task     *admission.Request
	answered bool
	active   bool // a run is on, so an end will still come
}

// instance is one app server: its module, the ids of its tasks, and the writer of its decisions.
type instance struct {
	who      uint16
	module   *admission.Controller
	settings *settings.Settings
	tasks    map[uint64]*entry
	ids      map[*admission.Request]uint64
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
		module:   admission.New(told.Admission, int64(seed)),
		settings: told,
		tasks:    map[uint64]*entry{},
		ids:      map[*admission.Request]uint64{},
		reply:    reply,
	}, nil
}

// settle drops what no later event can concern.
func (in *instance) settle(request *admission.Request) {
	id, known := in.ids[request]
	if !known {
		return
	}
	if e := in.tasks[id]; e.answered && !e.active {
		delete(in.tasks, id)
		delete(in.ids, request)
	}
}

func (in *instance) act(code uint8, request *admission.Request) wire.Action {
	a := in.reply.Add(code, in.who)
	a.U64(3, in.ids[request])
	return a
}

func (in *instance) answered(request *admission.Request) {
	if e := in.tasks[in.ids[request]]; e != nil {
		e.answered = true
		in.settle(request)
	}
}

// micros rounds a span up to the wire's unit and keeps it within the field.
func micros(d time.Duration) uint32 {
	us := (d + time.Microsecond - 1) / time.Microsecond
	return uint32(min(max(us, 0), math.MaxUint32))
}

// Start implements admission.Writer, as do the methods below it.
func (in *instance) Start(request *admission.Request) {
	in.tasks[in.ids[request]].active = true
	in.act(wire.ActionStart, request)
}

func (in *instance) Pause(request *admission.Request) { in.act(wire.ActionPause, request) }

func (in *instance) Reject(request *admission.Request, comeBack time.Duration, nowhereElse bool) {
	a := in.act(wire.ActionReject, request)
	a.U32(11, micros(comeBack))
	a.Bool(15, nowhereElse)
	in.answered(request)
}

func (in *instance) Abort(request *admission.Request) {
	in.act(wire.ActionAbort, request)
	in.answered(request)
}

func (in *instance) AnswerFromOriginal(request *admission.Request) {
	in.act(wire.ActionAnswerFromOriginal, request)
}

func (in *instance) RememberKey(request *admission.Request, span time.Duration) {
	in.act(wire.ActionRememberKey, request).U32(11, micros(span))
}

func (in *instance) ForgetKey(request *admission.Request) { in.act(wire.ActionForgetKey, request) }

func (in *instance) Call(request *admission.Request, patience time.Duration) {
	in.act(wire.ActionCall, request).U32(11, micros(patience))
}

func (in *instance) SkipCall(request *admission.Request) { in.act(wire.ActionSkipCall, request) }

func (in *instance) SetHealth(good, fromStore bool) {
	a := in.reply.Add(wire.ActionSetHealth, in.who)
	a.Bool(3, good)
	a.Bool(4, fromStore)
}

func (in *instance) SetShedLevel(level float64) {
	in.reply.Add(wire.ActionSetShedLevel, in.who).F32(3, level)
}

func (in *instance) CloseIdleAfter(span time.Duration) {
	in.reply.Add(wire.ActionCloseIdle, in.who).U32(3, micros(span))
}

func (in *instance) WakeAfter(after time.Duration) {
	in.reply.Add(wire.ActionWakeAfter, in.who).U32(3, micros(after))
}

func (in *instance) Log(words string) { in.reply.Text(wire.ActionLog, in.who, words) }
