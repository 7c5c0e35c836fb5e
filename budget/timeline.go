package budget

import "time"

// Span is the time in which a call is expected to run, relative to the start of a request with its full time left.
type Span struct {
	Name       string
	Start, End time.Duration // by the configured durations
	Timeout    time.Duration // of the call if it starts at Start
	Required   bool
	Dependency string
}

// Spans returns the expected time line of the plan's calls, in topological order. available is the time of a request
// from its arrival to its deadline; dependencies are the names of the dependencies, by index.
func (p *Plan) Spans(available time.Duration, dependencies []string) (spans []Span) {
	var ends [MaxCalls]time.Duration
	execution := Execution{plan: p, deadline: available - p.Reserve}
	scheduler := &Scheduler{dependencies: make([]*Dependency, len(dependencies))}
	for i := range dependencies {
		// Without measurements, a call's expected duration is the configured one.
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

// RequiredDuration returns the configured duration of the longest path of required calls, plus the reserve.
func (p *Plan) RequiredDuration() time.Duration { return p.requiredCallsPath() + p.Reserve }

// requiredCallsPath returns the configured duration of the longest path of required calls. Optional calls on it count
// as 0, because they are skipped if time is short.
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
