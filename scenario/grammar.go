package scenario

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar of scripts. Amounts are kept as text with their position, so that an error about their range can state
// line and column.
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
	Balancing         string  `parser:"@Word"`
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
	When          amount         `parser:"@@"`
	Span          *amount        `parser:"( 'for' @@ )?"`
	Kill          *target        `parser:"(  'kill' @@"`
	Restart       *target        `parser:" | 'restart' @@"`
	Deploy        *amount        `parser:" | 'deploy' 'each' @@"`
	Pause         *target        `parser:" | 'pause' @@"`
	Slow          *targetBy      `parser:" | 'slow' @@"`
	Neighbours    *targetBy      `parser:" | 'neighbours' @@"`
	Flap          *target        `parser:" | 'flap' @@"`
	Clock         *clock         `parser:" | 'step' 'clock' @@"`
	Load          *amount        `parser:" | 'load' 'by' @@"`
	Endpoints     *amount        `parser:" | 'lists' 'late' @@"`
	Network       *amount        `parser:" | 'network' ( 'slower' 'by' @@"`
	Loss          *amount        `parser:"             | 'losing' @@ )"`
	Router        *routerOptions `parser:" | 'habits' @@"`
	Clients       *clients       `parser:" | 'clients' @@"`
	Stop          *string        `parser:" | 'stop' 'dependency' @Word"`
	Drag          *dependencyBy  `parser:" | 'drag' 'dependency' @@"`
	Fail          *dependencyBy  `parser:" | 'fail' 'dependency' @@ )"`
	ShutdownLimit *amount        `parser:"( 'within' @@ )?"`
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
	definition, err := lexer.NewSimple([]lexer.SimpleRule{
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
		return nil, fmt.Errorf("build drill lexer: %w", err)
	}
	p, err := participle.Build[script](participle.Lexer(definition), participle.Elide("Comment", "Blank"), participle.Unquote("String"),
		participle.UseLookahead(4))
	if err != nil {
		return nil, fmt.Errorf("build drill parser: %w", err)
	}
	return p, nil
}
