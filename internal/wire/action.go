package wire

import "time"

// ActionCode is the kind of an action. The codes of actions and of events are separate.
type ActionCode uint8

// Codes of actions. All but ActionInternalError stand for methods of admission.Executor, which describes them.
const (
	ActionStart              ActionCode = 10
	ActionReject             ActionCode = 20
	ActionAbort              ActionCode = 30
	ActionPause              ActionCode = 40
	ActionCall               ActionCode = 50
	ActionSkipCall           ActionCode = 60
	ActionRememberKey        ActionCode = 70
	ActionForgetKey          ActionCode = 80
	ActionAnswerFromOriginal ActionCode = 90
	ActionSetHealth          ActionCode = 100
	ActionSetShedLevel       ActionCode = 110
	ActionCloseIdle          ActionCode = 120
	ActionWakeAfter          ActionCode = 130
	ActionLog                ActionCode = 140
	ActionInternalError      ActionCode = 150
)

// AddRequest adds an action on a request that has no other fields.
func (r *Reply) AddRequest(code ActionCode, server uint16, requestID uint64) {
	r.addRequest(code, server, requestID)
}

// AddRequestFor adds an action on a request that has a duration: the lifetime of the key for ActionRememberKey, the
// timeout of the call for ActionCall.
func (r *Reply) AddRequestFor(code ActionCode, server uint16, requestID uint64, d time.Duration) {
	r.addRequest(code, server, requestID).putU32(11, toMicros(d))
}

// AddReject adds an ActionReject.
func (r *Reply) AddReject(server uint16, requestID uint64, retryAfter time.Duration, noRetryElsewhere bool) {
	a := r.addRequest(ActionReject, server, requestID)
	a.putU32(11, toMicros(retryAfter))
	a.putBool(15, noRetryElsewhere)
}

func (r *Reply) addRequest(code ActionCode, server uint16, requestID uint64) action {
	a := r.add(code, server)
	a.putU64(3, requestID)
	return a
}

// AddHealth adds an ActionSetHealth. If withoutWorkers is set, the answer holds for deep health checks too, and the
// workers are not asked.
func (r *Reply) AddHealth(server uint16, healthy, withoutWorkers bool) {
	a := r.add(ActionSetHealth, server)
	a.putBool(3, healthy)
	a.putBool(4, withoutWorkers)
}

// AddShedLevel adds an ActionSetShedLevel.
func (r *Reply) AddShedLevel(server uint16, level float64) {
	r.add(ActionSetShedLevel, server).putF32(3, level)
}

// AddCloseIdle adds an ActionCloseIdle.
func (r *Reply) AddCloseIdle(server uint16, idle time.Duration) {
	r.add(ActionCloseIdle, server).putU32(3, toMicros(idle))
}

// AddWake adds an ActionWakeAfter.
func (r *Reply) AddWake(server uint16, wait time.Duration) {
	r.add(ActionWakeAfter, server).putU32(3, toMicros(wait))
}

// AddLog adds an ActionLog.
func (r *Reply) AddLog(server uint16, message string) { r.addText(ActionLog, server, message) }

// AddInternalError adds an ActionInternalError, which ends the simulation.
func (r *Reply) AddInternalError(server uint16, message string) {
	r.addText(ActionInternalError, server, message)
}
