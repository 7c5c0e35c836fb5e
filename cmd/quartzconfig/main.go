// Command quartzconfig runs and operates the configuration service. On each control machine it serves a replica of the
// versioned routes and tenants. Operators use it to apply changes and to print the status of the service and the fleet.
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

// Exit codes of the command.
const (
	exitRejected    = 1  // the change or a file is invalid, or another error occurred
	exitUnavailable = 2  // the outcome is unknown
	exitUsage       = 80 // the command line is invalid
)

const description = `The configuration service of a fleet: versioned changes of routes and tenants.

Exit codes: 0 success; 1 rejected, with the reason for each invalid key in the last lines; 2 service unavailable: the change
may still have been accepted, and can be applied again with the same --id; 80 invalid command line.`

// commands defines the subcommands of the command line.
type commands struct {
	Serve  serveCommand  `cmd:"" help:"Run the service on this control machine, whose name is in the configuration file."`
	Apply  applyCommand  `cmd:"" help:"Apply a change and print the resulting version."`
	Status statusCommand `cmd:"" help:"Print the leader, the version, and how far the fleet lags behind it."`
}

// serviceFile is the option that names the service's configuration file.
type serviceFile struct {
	Config string `required:"" placeholder:"FILE" help:"The service's configuration file (TOML)."`
}

// read reads the configuration file and, if it names a key file, the keys.
func (f *serviceFile) read() (*config.ControlService, peersync.Keys, error) {
	service, err := config.ReadControlService(f.Config)
	if err != nil || service.KeyFile == "" {
		return service, nil, err
	}
	keys, err := peersync.ReadKeys(service.KeyFile)
	return service, keys, err
}

func main() {
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	parser, err := kong.New(&commands{}, kong.Name("quartzconfig"), kong.Description(description), kong.UsageOnError(), kong.Bind(logger))
	if err != nil {
		panic(fmt.Errorf("command line: %w", err)) // the commands are fixed at compile time
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "quartzconfig: %v; see quartzconfig --help\n", err)
		os.Exit(exitUsage)
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, configwatch.ErrUnavailable) {
			os.Exit(exitUnavailable)
		}
		os.Exit(exitRejected)
	}
}
