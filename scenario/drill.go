// Package scenario reads incident scripts: what a fleet is, what comes, and what goes wrong when. It plays them on an emulated
// world; the same script drives real daemons elsewhere. It does no I/O: scripts come as text.
//
// A script is a row of statements, one a line; # begins a comment.
//
//	title "A fifth of the servers dies during a rolling deploy"
//	servers 20 zones 2 cores 4
//	load 90% for 40s
//	habits least tries 3 budget 20% heeding
//	at 5s deploy each 1s within 2.5s
//	at 15s kill 20% of servers for 10s
//	at 12s for 6s load by 1.5
//
// Whatever goes on for a while ends after its "for"; without one it stays.
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

	"quartzpoint/budget"
	"quartzpoint/emulator"
)

const (
	maxServers    = 5000
	maxSpan       = time.Hour
	maxScriptSize = 64 << 10
)

// The grammar. Amounts are kept as text with their place, so that one out of range is told with line and column.
type script struct {
	Statements []*statement `parser:"EOL* ( @@ ( EOL+ | EOF ) )*"`
}

type statement struct {
	Pos        lexer.Position
	Title      *string        `parser:"  'title' @String"`
	Fleet      *fleet         `parser:"| @@"`
	Load       *load          `parser:"| 'load' @@"`
	Router     *routerOptions `parser:"| 'habits' @@"`
	Clients    *clients       `parser:"| 'clients' @@"`
	Network    *network       `parser:"| 'network' @@"`
	Dependency *dependency    `parser:"| 'dependency' @@"`
	Compose    *compose       `parser:"| 'compose' @@"`
	Event      *event         `parser:"| 'at' @@"`
}

type amount struct {
	Pos  lexer.Position
	Text string `parser:"@(Amount | Duration | Percent)"`
}

type fleet struct {
	Servers amount  `parser:"'servers' @@"`
	Zones   *amount `parser:"( 'zones' @@ )?"`
	Cores   *amount `parser:"( 'cores' @@ )?"`
	Cold    *amount `parser:"( 'cold' @@"`
	WarmUp  *amount `parser:"  'warm' @@ )?"`
	Peers   bool    `parser:"@'peers'?"`
	Mix     *string `parser:"( 'mix' @Word )?"`
}

type load struct {
	Share amount  `parser:"@@"`
	Span  amount  `parser:"'for' @@"`
	Burst *amount `parser:"( 'bursts' @@"`
	Every *amount `parser:"  'every' @@ )?"`
	Curve bool    `parser:"@'curve'?"`
}

type routerOptions struct {
	Pick              string  `parser:"@Word"`
	MaxAttempts       *amount `parser:"( 'tries' ( 'unlimited' | @@ ) )?"`
	Budget            *amount `parser:"( 'budget' @@ )?"`
	RetriesAborted    bool    `parser:"@'repeating'?"`
	HeedsBackpressure bool    `parser:"@'heeding'?"`
}

type clients struct {
	Unlimited  bool    `parser:"'repeat' ( @'unlimited'"`
	MaxRetries *amount `parser:"| @@ )"`
	Backoff    *amount `parser:"( 'after' @@ )?"`
}

type network struct {
	Delay       amount  `parser:"'delay' @@"`
	Jitter      *amount `parser:"( 'jitter' @@ )?"`
	EndpointLag *amount `parser:"( 'lag' @@ )?"`
}

type dependency struct {
	Name           string   `parser:"@Word"`
	Slots          amount   `parser:"'slots' @@"`
	Mean           amount   `parser:"'takes' @@"`
	Routes         []string `parser:"( 'for' @Word ( ',' @Word )* )?"`
	SkipValueShare *amount  `parser:"( 'worth' @@ 'without' )?"`
}

type compose struct {
	Route string  `parser:"@Word 'of'"`
	Calls []*call `parser:"@@ ( ',' @@ )*"`
}

type call struct {
	Pos      lexer.Position
	Name     string  `parser:"@Word"`
	Required bool    `parser:"@'needed'?"`
	Value    *amount `parser:"( 'worth' @@ )?"`
}

type event struct {
	When       amount         `parser:"@@"`
	Span       *amount        `parser:"( 'for' @@ )?"`
	Kill       *target        `parser:"(  'kill' @@"`
	Restart    *target        `parser:" | 'restart' @@"`
	Deploy     *amount        `parser:" | 'deploy' 'each' @@"`
	Pause      *target        `parser:" | 'pause' @@"`
	Slow       *targetBy      `parser:" | 'slow' @@"`
	Neighbours *targetBy      `parser:" | 'neighbours' @@"`
	Flap       *target        `parser:" | 'flap' @@"`
	Clock      *clock         `parser:" | 'step' 'clock' @@"`
	Load       *amount        `parser:" | 'load' 'by' @@"`
	Endpoints  *amount        `parser:" | 'lists' 'late' @@"`
	Network    *amount        `parser:" | 'network' ( 'slower' 'by' @@"`
	Loss       *amount        `parser:"             | 'losing' @@ )"`
	Router     *routerOptions `parser:" | 'habits' @@"`
	Clients    *clients       `parser:" | 'clients' @@"`
	Stop       *string        `parser:" | 'stop' 'dependency' @Word"`
	Drag       *dependencyBy  `parser:" | 'drag' 'dependency' @@"`
	Fail       *dependencyBy  `parser:" | 'fail' 'dependency' @@ )"`
	Grace      *amount        `parser:"( 'within' @@ )?"`
}

type dependencyBy struct {
	Name string `parser:"@Word"`
	By   amount `parser:"'by' @@"`
}

type target struct {
	Share  *amount `parser:"( @@ 'of' 'servers'"`
	Server *amount `parser:"| 'server' @@"`
	Zone   *amount `parser:"| 'zone' @@ )"`
}

type targetBy struct {
	Target target `parser:"@@"`
	By     amount `parser:"'by' @@"`
}

type clock struct {
	Target target `parser:"'of' @@"`
	By     amount `parser:"'by' @@"`
}

func parser() (*participle.Parser[script], error) {
	words, err := lexer.NewSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Blank", Pattern: `[ \t\r]+`},
		{Name: "EOL", Pattern: `\n`},
		{Name: "String", Pattern: `"[^"\n]*"`},
		{Name: "Duration", Pattern: `-?[0-9]+(\.[0-9]+)?(us|ms|s|m)\b`},
		{Name: "Percent", Pattern: `[0-9]+(\.[0-9]+)?%`},
		{Name: "Amount", Pattern: `-?[0-9]+(\.[0-9]+)?`},
		{Name: "Word", Pattern: `[a-z][a-z0-9-]*`},
		{Name: "Comma", Pattern: `,`},
	})
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	p, err := participle.Build[script](participle.Lexer(words), participle.Elide("Comment", "Blank"), participle.Unquote("String"),
		participle.UseLookahead(4))
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	return p, nil
}

// ScriptError is what is wrong at one place of a script.
type ScriptError struct {
	File         string
	Line, Column int
	Message      string
}

func (f *ScriptError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Incident is one thing that goes wrong, on whatever can be made to.
type Incident struct {
	At, Duration  time.Duration
	Kind          string // kill, restart, deploy, pause, slow, neighbours, flap, clock, load, lists, network, loss, habits, clients, stop, drag, fail
	Share         float64
	Server        int // -1 for none
	Zone          int // -1 for none
	Factor        float64
	Span          time.Duration // each, late, step, or the time to leave within
	ShutdownLimit time.Duration
	Name          string
	RouterOptions emulator.RouterOptions
	Clients       emulator.Clients
}

// Drill is a script that was read.
type Drill struct {
	Name, Title   string
	Fleet         emulator.Fleet // without its policy
	Load          float64        // of what the fleet can do
	Span          time.Duration
	BurstFactor   float64 // the load is so many times as much for a second
	BurstInterval time.Duration
	DailyCurve    bool // it goes up and down as over a day
	Incidents     []Incident
}

// reader gathers faults, so that all are told at once.
type reader struct {
	file string
	errs []error
}

func (r *reader) addError(at lexer.Position, words string, of ...any) {
	r.errs = append(r.errs, &ScriptError{r.file, at.Line, at.Column, fmt.Sprintf(words, of...)})
}

func (r *reader) number(a *amount, otherwise, least, most float64) float64 {
	if a == nil {
		return otherwise
	}
	text, percent := strings.CutSuffix(a.Text, "%")
	n, err := strconv.ParseFloat(text, 64)
	if percent {
		n /= 100
	}
	if err != nil || n < least || n > most {
		r.addError(a.Pos, "%s: a number from %g to %g is allowed here, or the same in %%", a.Text, least, most)
		return otherwise
	}
	return n
}

func (r *reader) span(a *amount, otherwise, least, most time.Duration) time.Duration {
	if a == nil {
		return otherwise
	}
	d, err := time.ParseDuration(a.Text)
	if err != nil || d < least || d > most {
		r.addError(a.Pos, "%s: a time from %v to %v is allowed here", a.Text, least, most)
		return otherwise
	}
	return d
}

// Parse reads a script. The error joins all faults, each with file, line and column.
func Parse(file, text string) (*Drill, error) {
	if len(text) > maxScriptSize {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(text), maxScriptSize)
	}
	p, err := parser()
	if err != nil {
		return nil, err
	}
	s, err := p.ParseString(file, text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) { // where the text itself is broken there is no telling what else is wrong
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
	for _, one := range s.Statements {
		r.statement(d, one)
	}
	d.Fleet.Machine.MemoryKB = 16000 * d.Fleet.Machine.Cores
	for _, i := range d.Incidents { // by now the fleet is known
		if i.Server >= d.Fleet.Servers || i.Zone >= d.Fleet.Zones {
			r.errs = append(r.errs, fmt.Errorf("%s: at %v: there are %d servers in %d zones, counted from 0", file, i.At, d.Fleet.Servers, d.Fleet.Zones))
		}
		stated := slices.ContainsFunc(d.Fleet.Dependencies, func(of emulator.Dependency) bool { return of.Name == i.Name })
		if i.Name != "" && !stated {
			r.errs = append(r.errs, fmt.Errorf("%s: at %v: no dependency %q is stated", file, i.At, i.Name))
		}
	}
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	return d, nil
}

func (r *reader) statement(d *Drill, s *statement) {
	switch {
	case s.Title != nil:
		d.Title = *s.Title
	case s.Fleet != nil:
		f := s.Fleet
		d.Fleet.Servers = int(r.number(&f.Servers, 10, 1, maxServers))
		d.Fleet.Zones = int(r.number(f.Zones, 2, 1, 100))
		d.Fleet.Machine.Cores = r.number(f.Cores, 4, 1, 256)
		d.Fleet.Machine.ColdShare = r.number(f.Cold, 0, 0.01, 1)
		d.Fleet.Machine.WarmUp = r.span(f.WarmUp, 0, 0, maxSpan)
		d.Fleet.PeerSync = f.Peers
		if f.Mix != nil {
			switch *f.Mix {
			case "branch":
			case "booking":
				d.Fleet.Routes = emulator.BookingRoutes()
			default:
				r.addError(s.Pos, "mix %s: branch and booking are known", *f.Mix)
			}
		}
	case s.Load != nil:
		d.Load = r.number(&s.Load.Share, 0.8, 0.01, 20)
		d.Span = r.span(&s.Load.Span, 20*time.Second, time.Second, maxSpan)
		d.BurstFactor = r.number(s.Load.Burst, 0, 1, 100)
		d.BurstInterval, d.DailyCurve = r.span(s.Load.Every, 0, time.Second, maxSpan), s.Load.Curve
	case s.Router != nil:
		d.Fleet.RouterOptions = r.routerOptions(s.Pos, s.Router)
	case s.Clients != nil:
		d.Fleet.Clients = r.clients(s.Clients)
	case s.Network != nil:
		d.Fleet.Delay = r.span(&s.Network.Delay, 0, 0, time.Second)
		d.Fleet.Jitter = r.span(s.Network.Jitter, 0, 0, time.Second)
		d.Fleet.EndpointLag = r.span(s.Network.EndpointLag, d.Fleet.EndpointLag, 0, time.Minute)
	case s.Dependency != nil:
		r.dependency(d, s)
	case s.Compose != nil:
		r.compose(d, s)
	case s.Event != nil:
		d.Incidents = append(d.Incidents, r.event(s.Pos, s.Event))
	}
}

func (r *reader) dependency(d *Drill, s *statement) {
	of := s.Dependency
	d.Fleet.Dependencies = append(d.Fleet.Dependencies, emulator.Dependency{
		Name: of.Name, Slots: int(r.number(&of.Slots, 1, 1, 100_000)), Mean: r.span(&of.Mean, time.Millisecond, time.Microsecond, time.Minute), Spread: 0.5,
	})
	for _, name := range of.Routes {
		found := false
		for i := range d.Fleet.Routes {
			if t := &d.Fleet.Routes[i]; t.Name == name {
				t.Dependency, t.SkipValueShare, found = of.Name, r.number(of.SkipValueShare, 0, 0, 1), true
			}
		}
		if !found {
			r.addError(s.Pos, "no traffic type %s in this mix", name)
		}
	}
}

// compose reads how tasks of a type are made of calls. Needed calls come first, the others beside them.
func (r *reader) compose(d *Drill, s *statement) {
	kind := slices.IndexFunc(d.Fleet.Routes, func(t emulator.Route) bool { return t.Name == s.Compose.Route })
	if kind < 0 {
		r.addError(s.Pos, "no traffic type %s in this mix", s.Compose.Route)
		return
	}
	plan := &budget.Plan{Route: s.Compose.Route, Reserve: 5 * time.Millisecond}
	for _, c := range s.Compose.Calls {
		at := slices.IndexFunc(d.Fleet.Dependencies, func(o emulator.Dependency) bool { return o.Name == c.Name })
		if at < 0 {
			r.addError(c.Pos, "no dependency %q is stated before", c.Name)
			return
		}
		plan.Calls = append(plan.Calls, budget.Call{
			Name: c.Name, Dependency: at, Required: c.Required, Value: r.number(c.Value, 1, 0.001, 1000),
			Expected: d.Fleet.Dependencies[at].Mean, Retry: true, Hedge: true,
		})
	}
	t := d.Fleet.Routes[kind]
	if err := plan.Validate(len(d.Fleet.Dependencies), min(t.LatencyTarget, t.Deadline)); err != nil {
		r.addError(s.Pos, "%v", err)
		return
	}
	if d.Fleet.Plans == nil {
		d.Fleet.Plans = map[string]*budget.Plan{}
	}
	d.Fleet.Plans[t.Name] = plan
}

func (r *reader) routerOptions(at lexer.Position, h *routerOptions) emulator.RouterOptions {
	switch h.Pick {
	case "round", "least", "subject", "walk", "random":
	default:
		r.addError(at, "habits %s: round, least, subject, walk and random are known", h.Pick)
	}
	return emulator.RouterOptions{
		Balancing: h.Pick, MaxAttempts: int(r.number(h.MaxAttempts, 0, 1, 100)), RetryBudget: r.number(h.Budget, 0, 0.001, 10),
		HeedsBackpressure: h.HeedsBackpressure, RetriesAborted: h.RetriesAborted,
	}
}

func (r *reader) clients(c *clients) emulator.Clients {
	repeats := int(r.number(c.MaxRetries, 0, 0, 1000))
	if c.Unlimited {
		repeats = -1
	}
	return emulator.Clients{MaxRetries: repeats, Backoff: r.span(c.Backoff, 100*time.Millisecond, time.Millisecond, time.Minute)}
}

// target fills in which servers are meant.
func (r *reader) target(i *Incident, w *target) {
	switch {
	case w.Share != nil:
		i.Share = r.number(w.Share, 0, 0.001, 1)
	case w.Server != nil:
		i.Server = int(r.number(w.Server, 0, 0, maxServers))
	case w.Zone != nil:
		i.Zone = int(r.number(w.Zone, 0, 0, 100))
	}
}

func (r *reader) event(at lexer.Position, e *event) Incident {
	i := Incident{
		At: r.span(&e.When, 0, 0, maxSpan), Duration: r.span(e.Span, 0, time.Millisecond, maxSpan), Server: -1, Zone: -1,
		ShutdownLimit: r.span(e.Grace, 2500*time.Millisecond, 500*time.Millisecond, time.Minute),
	}
	switch {
	case e.Kill != nil:
		i.Kind = "kill"
		r.target(&i, e.Kill)
	case e.Restart != nil:
		i.Kind = "restart"
		r.target(&i, e.Restart)
	case e.Deploy != nil:
		i.Kind, i.Span = "deploy", r.span(e.Deploy, time.Second, time.Millisecond, time.Minute)
	case e.Pause != nil:
		if i.Kind = "pause"; i.Duration == 0 {
			r.addError(at, "a pause needs its length, as: at 5s for 2s pause ...")
		}
		r.target(&i, e.Pause)
	case e.Slow != nil:
		i.Kind, i.Factor = "slow", r.number(&e.Slow.By, 1, 0.1, 1000)
		r.target(&i, &e.Slow.Target)
	case e.Neighbours != nil:
		i.Kind, i.Factor = "neighbours", r.number(&e.Neighbours.By, 0, 0, 0.99)
		r.target(&i, &e.Neighbours.Target)
	case e.Flap != nil:
		if i.Kind = "flap"; i.Duration == 0 {
			r.addError(at, "a flap needs its length, as: at 5s for 2s flap ...")
		}
		r.target(&i, e.Flap)
	case e.Clock != nil:
		i.Kind, i.Span = "clock", r.span(&e.Clock.By, 0, -maxSpan, maxSpan)
		r.target(&i, &e.Clock.Target)
	case e.Load != nil:
		i.Kind, i.Factor = "load", r.number(e.Load, 1, 0, 100)
	case e.Endpoints != nil:
		i.Kind, i.Span = "lists", r.span(e.Endpoints, 0, 0, time.Minute)
	case e.Network != nil:
		i.Kind, i.Factor = "network", r.number(e.Network, 1, 0.1, 10_000)
	case e.Loss != nil:
		i.Kind, i.Factor = "loss", r.number(e.Loss, 0, 0, 0.9)
	case e.Router != nil:
		i.Kind, i.RouterOptions = "habits", r.routerOptions(at, e.Router)
	case e.Clients != nil:
		i.Kind, i.Clients = "clients", r.clients(e.Clients)
	case e.Stop != nil:
		i.Kind, i.Name = "stop", *e.Stop
	case e.Drag != nil:
		i.Kind, i.Name, i.Factor = "drag", e.Drag.Name, r.number(&e.Drag.By, 1, 0.1, 10_000)
	case e.Fail != nil:
		i.Kind, i.Name, i.Factor = "fail", e.Fail.Name, r.number(&e.Fail.By, 0, 0, 1)
	}
	return i
}
