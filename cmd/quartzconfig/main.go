// Command quartzconfig is the configuration service: on each control machine it serves a replica of the versioned
// routes and tenants, and it applies changes and tells how the fleet stands.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

// The exit codes.
const (
	exitRejected    = 1  // the change or a file has faults, or it could not be done
	exitUnavailable = 2  // nobody could tell what became of it
	exitUsage       = 80 // the command line itself is wrong
)

const description = `The configuration service of a fleet: versioned changes of routes and tenants.

Exit codes: 0 done; 1 refused, and the last lines say why, each fault by its key; 2 not reached: the change may have
been accepted all the same, and may be applied again under the same --id; 80 wrong usage.`

// command is what may be asked.
type command struct {
	Serve  serveCommand  `cmd:"" help:"Serve on this machine, which the file names."`
	Apply  applyCommand  `cmd:"" help:"Have a change accepted, and print the version that it became."`
	Status statusCommand `cmd:"" help:"Print leader, version, and how far the fleet is behind."`
}

// serviceFile is the file that says which machines there are.
type serviceFile struct {
	Config string `required:"" placeholder:"FILE" help:"The service's configuration file (TOML)."`
}

// read reads the file and the keys that it names.
func (s *serviceFile) read() (*config.ControlService, peersync.Keys, error) {
	stated, err := config.ReadControlService(s.Config)
	if err != nil || stated.KeyFile == "" {
		return stated, nil, err
	}
	keys, err := peersync.ReadKeys(stated.KeyFile)
	return stated, keys, err
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	parser, err := kong.New(&command{}, kong.Name("quartzconfig"), kong.Description(description), kong.UsageOnError(), kong.Bind(log))
	if err != nil {
		panic(fmt.Errorf("command line: %w", err))
	}
	asked, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "quartzconfig: %v; see quartzconfig --help\n", err)
		os.Exit(exitUsage)
	}
	if err := asked.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, configwatch.ErrUnavailable) {
			os.Exit(exitUnavailable)
		}
		os.Exit(exitRejected)
	}
}
