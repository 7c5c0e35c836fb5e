package main

import (
	"time"

	"quartzpoint/internal/testkit/harness"
)

// The indexes of the dependencies in a scenario.
const (
	tables   = iota // required by all composed requests
	guests          // optional in slot-check
	waitlist        // required by confirm-booking; its calls have effects
)

// faultStart is the time after the start of the load at which the faults of until begin.
const faultStart = time.Second

// noCallRoute is the index in scenarioRoutes of the route without calls.
const noCallRoute = 2

// faultScenario scripts the behaviour of the three dependencies.
type faultScenario struct {
	name       string
	scripts    [3]harness.BehaviourScript
	overloaded bool   // the route without calls loads the workers to 130 % of their capacity
	baseline   string // name of the scenario that it is compared with; empty for undisturbed
}

// always returns a script with the same behaviour from start to end.
func always(behaviour harness.DependencyBehaviour) harness.BehaviourScript {
	return func(time.Duration) harness.DependencyBehaviour { return behaviour }
}

// until returns a script with a behaviour from faultStart to end.
func until(end time.Duration, behaviour harness.DependencyBehaviour) harness.BehaviourScript {
	return func(at time.Duration) harness.DependencyBehaviour {
		if at >= faultStart && at < end {
			return behaviour
		}
		return harness.DependencyBehaviour{}
	}
}

// undisturbed is the name of the scenario without faults, the default baseline of the others.
const undisturbed = "undisturbed"

func faultScenarios() []faultScenario {
	return []faultScenario{
		{name: undisturbed},
		{name: "one ten times slower", scripts: [3]harness.BehaviourScript{guests: always(harness.DependencyBehaviour{SlowFactor: 10})}},
		{name: "total outage of one", scripts: [3]harness.BehaviourScript{guests: always(harness.DependencyBehaviour{Fails: true})}},
		{name: "one silent for 3 s", scripts: [3]harness.BehaviourScript{guests: until(4*time.Second, harness.DependencyBehaviour{Silent: true})}},
		{name: "two: silence and errors", scripts: [3]harness.BehaviourScript{guests: until(4*time.Second, harness.DependencyBehaviour{Silent: true}),
			waitlist: until(4*time.Second, harness.DependencyBehaviour{Fails: true})}},
		{name: "flaps each second", scripts: [3]harness.BehaviourScript{guests: func(at time.Duration) harness.DependencyBehaviour {
			return harness.DependencyBehaviour{Fails: int(at/time.Second)%2 == 1}
		}}},
		{name: "garbage for 2 s", scripts: [3]harness.BehaviourScript{guests: until(3*time.Second, harness.DependencyBehaviour{Garbage: true})}},
		{name: "effects answered late", scripts: [3]harness.BehaviourScript{waitlist: until(4*time.Second, harness.DependencyBehaviour{AnswerDelay: 3 * time.Second})}},
		{name: "restart, slow at first", scripts: [3]harness.BehaviourScript{guests: func(at time.Duration) harness.DependencyBehaviour {
			return harness.DependencyBehaviour{Down: at >= time.Second && at < 2*time.Second, SlowFactor: max(1, 6-2*(at-2*time.Second).Seconds())}
		}}},
		{name: "130%, undisturbed", overloaded: true},
		{name: "130%, outage of one", overloaded: true, baseline: "130%, undisturbed",
			scripts: [3]harness.BehaviourScript{guests: always(harness.DependencyBehaviour{Fails: true})}},
	}
}

// scenarioConfig is the format of the configuration file. Its arguments are the control socket and the addresses of the
// three dependencies.
const scenarioConfig = `
[control]
socket = %q
[dependencies.tables]
address = %q
share = 24
[dependencies.guests]
address = %q
share = 12
[dependencies.waitlist]
address = %q
share = 16
[types.slot-check]
reserve = "30ms"
[[types.slot-check.calls]]
name = "table-map"
dependency = "tables"
needed = true
importance = 8
expected = "20ms"
second-attempt = true
hedge = true
[[types.slot-check.calls]]
name = "guest-profile"
dependency = "guests"
importance = 2
expected = "30ms"
second-attempt = true
[types.confirm-booking]
reserve = "30ms"
[[types.confirm-booking.calls]]
name = "hold"
dependency = "tables"
needed = true
importance = 4
expected = "20ms"
effect = "numbered"
second-attempt = true
[[types.confirm-booking.calls]]
name = "deposit"
dependency = "waitlist"
after = ["hold"]
needed = true
importance = 4
expected = "40ms"
effect = "at-most-once"
`

// scenarioRoutes returns two routes that are composed of calls, and one that the worker pool runs without calls.
func scenarioRoutes() []harness.Route {
	return []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 800 * time.Millisecond, Deadline: 2 * time.Second, Share: 0.6,
			Work: time.Millisecond, Composed: true},
		{Name: "confirm-booking", Value: 4, LatencyTarget: 1500 * time.Millisecond, Deadline: 3 * time.Second, AtMostOnce: true,
			Share: 0.15, Work: time.Millisecond, Composed: true},
		{Name: "guest-note", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 0.25,
			Work: 40 * time.Millisecond, Spread: 0.5},
	}
}
