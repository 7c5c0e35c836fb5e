package budget

import "time"

// Span is when a call is expected to run, counted from the start of a request that has all its time.
type Span struct {
	Name       string
	Start, End time.Duration // as expected
	Timeout    time.Duration // that the call gets if it starts then
	Required   bool
	Dependency string
}

// Spans lays the plan out on a time line, in the order in which calls start. available is the time of a request from its
// arrival to its deadline; dependencies are the names that the calls' indexes stand for.
func (p *Plan) Spans(available time.Duration, dependencies []string) (spans []Span) {
	var ends [MaxCalls]time.Duration
	execution := Execution{plan: p, deadline: available - p.Reserve}
	scheduler := &Scheduler{dependencies: make([]*Dependency, len(dependencies))}
	for i := range dependencies {
		scheduler.dependencies[i] = NewDependency(Options{MaxInFlight: 1, QueueLimit: 1}, 0)
	}
	for _, i := range p.order {
		start := time.Duration(0)
		for a := range p.Calls {
			if p.dependsOn[i][a] {
				start = max(start, ends[a])
			}
		}
		c := p.Calls[i]
		ends[i] = start + c.Expected
		spans = append(spans, Span{
			Name: c.Name, Start: start, End: ends[i], Timeout: scheduler.callTimeout(&execution, i, start),
			Required: c.Required, Dependency: dependencies[c.Dependency],
		})
	}
	return spans
}

// RequiredPath is how long the required calls are expected to take on their longest path, with the reserve.
func (p *Plan) RequiredPath() time.Duration { return p.requiredCallsPath() + p.Reserve }

// requiredCallsPath is the longest path of required calls, by their configured durations. Optional calls on it take no
// time, as they are skipped where time is short.
func (p *Plan) requiredCallsPath() (longest time.Duration) {
	var ends [MaxCalls]time.Duration
	for _, i := range p.order {
		for a := range p.Calls {
			if p.dependsOn[i][a] {
				ends[i] = max(ends[i], ends[a])
			}
		}
		if p.Calls[i].Required {
			ends[i] += p.Calls[i].Expected
		}
		longest = max(longest, ends[i])
	}
	return longest
}
