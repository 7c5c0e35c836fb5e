package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"quartzpoint/emulator"
)

const (
	maxServers    = 5000
	maxSpan       = time.Hour
	maxScriptSize = 64 << 10
)

// ScriptError is an error at a position in a script.
type ScriptError struct {
	File         string
	Line, Column int
	Message      string
}

// Error returns the position and the message.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Parse parses the script in text. Its name in errors is file; the drill's name is the last element of that path without
// .drill. The error joins those of all statements, most of them of type *ScriptError, which states file, line and
// column. A syntax error is returned alone.
func Parse(file, text string) (*Drill, error) {
	if len(text) > maxScriptSize {
		return nil, fmt.Errorf("%s: script has %d bytes, want at most %d", file, len(text), maxScriptSize)
	}
	p, err := parser()
	if err != nil {
		return nil, err
	}
	s, err := p.ParseString(file, text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) { // the statements after a syntax error are not parsed
			return nil, &ScriptError{file, at.Position().Line, at.Position().Column, at.Message()}
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	r := &reader{file: file}
	d := &Drill{
		Name: strings.TrimSuffix(file[strings.LastIndex(file, "/")+1:], ".drill"), Load: 0.8, Span: 20 * time.Second,
		Fleet: emulator.Fleet{
			Servers: 10, Zones: 2, Machine: emulator.Machine{Cores: 4, Speed: 1}, Routes: emulator.BranchRoutes(), Routers: 2,
			RouterOptions: emulator.RouterOptions{Balancing: "round", MaxAttempts: 3, RetryBudget: 0.2, HeedsBackpressure: true},
			Delay:         300 * time.Microsecond, Jitter: 100 * time.Microsecond, EndpointLag: 500 * time.Millisecond,
		},
	}
	for _, st := range s.Statements {
		r.statement(d, st)
	}
	d.Fleet.Machine.MemoryKB = 16000 * d.Fleet.Machine.Cores
	r.checkIncidents(d)
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	return d, nil
}

// checkIncidents checks the servers, zones and dependencies that incidents name. It runs after all statements, as the
// fleet may be defined after an incident.
func (r *reader) checkIncidents(d *Drill) {
	for _, i := range d.Incidents {
		if i.Server >= d.Fleet.Servers || i.Zone >= d.Fleet.Zones {
			r.errs = append(r.errs, fmt.Errorf("%s: incident at %v: no such server or zone: the fleet has %d servers in %d zones, counted from 0", r.file, i.At, d.Fleet.Servers, d.Fleet.Zones))
		}
		defined := slices.ContainsFunc(d.Fleet.Dependencies, func(dep emulator.Dependency) bool { return dep.Name == i.Name })
		if i.Name != "" && !defined {
			r.errs = append(r.errs, fmt.Errorf("%s: incident at %v: dependency %q is not defined", r.file, i.At, i.Name))
		}
	}
}

// reader converts statements and collects their errors.
type reader struct {
	file string
	errs []error
}

func (r *reader) addError(at lexer.Position, format string, args ...any) {
	r.errs = append(r.errs, &ScriptError{r.file, at.Line, at.Column, fmt.Sprintf(format, args...)})
}

// number returns the value of an amount, or fallback if a is nil. If the value is out of bounds, it adds an error and
// returns fallback.
func (r *reader) number(a *amount, fallback, low, high float64) float64 {
	if a == nil {
		return fallback
	}
	text, percent := strings.CutSuffix(a.Text, "%")
	n, err := strconv.ParseFloat(text, 64)
	if percent {
		n /= 100
	}
	if err != nil || n < low || n > high {
		r.addError(a.Pos, "%s: want a number from %g to %g, or the same in %%", a.Text, low, high)
		return fallback
	}
	return n
}

// span returns the value of a time, or fallback if a is nil. If the value is out of bounds, it adds an error and returns
// fallback.
func (r *reader) span(a *amount, fallback, low, high time.Duration) time.Duration {
	if a == nil {
		return fallback
	}
	d, err := time.ParseDuration(a.Text)
	if err != nil || d < low || d > high {
		r.addError(a.Pos, "%s: want a time from %v to %v", a.Text, low, high)
		return fallback
	}
	return d
}
