// Command quartzpoint is one app server: it receives requests from routers, runs the admitted ones in the worker pool,
// and answers each of them. Its other commands are for operators.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// The exit codes.
const (
	exitFailure = 1 // an invalid file, an address in use, a peer that does not answer
	exitUsage   = 2 // an invalid command line
)

const about = `One app server behind other people's load balancers.

Without a command it runs "serve". EDGE_CONFIG names the platform's configuration; EDGE_NAME and
EDGE_LISTEN override "name" and "listen" in it. SIGTERM starts the drain, SIGHUP reloads the configuration.

Exit codes: 0 done, or drained; 1 failed, with the reason in the last line; 2 invalid command line.`

// commandLine holds the commands and their options.
type commandLine struct {
	Serve         serveCommand          `cmd:"" default:"withargs" help:"Receive requests from routers and answer each of them (the default)."`
	Check         checkCommand          `cmd:"" help:"Read both configurations and print all errors."`
	Peer          peerCommands          `cmd:"" help:"Query running servers for their estimates."`
	Lease         leaseCommands         `cmd:"" help:"Query running servers about leases."`
	Dependencies  dependenciesCommand   `cmd:"" help:"Print the states of a running server's dependencies."`
	State         stateCommands         `cmd:"" help:"Inspect, verify, export and compact state directories."`
	Configuration configurationCommands `cmd:"" help:"Query running servers about the configuration service."`
	Version       versionCommand        `cmd:"" help:"Print the version."`
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version, the Go release, and the revision and tags of the build.
func (*versionCommand) Run() error { //nolint:unparam // kong expects a Run method that returns an error
	info, known := debug.ReadBuildInfo()
	if !known {
		fmt.Println("quartzpoint, unknown build")
		return nil
	}
	fmt.Println("quartzpoint", info.Main.Version, info.GoVersion)
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "-tags" {
			fmt.Println(s.Key, s.Value)
		}
	}
	return nil
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	slog.SetDefault(log)
	parser, err := kong.New(&commandLine{}, kong.Name("quartzpoint"), kong.Description(about), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: false}), kong.Bind(log))
	if err != nil {
		panic(fmt.Errorf("command line: %w", err))
	}
	selected, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "quartzpoint: %v; see quartzpoint --help\n", err)
		os.Exit(exitUsage)
	}
	if err := selected.Run(); err != nil {
		if selected.Command() == "serve" {
			log.Error("stopped", "error", err)
		} else {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitFailure)
	}
}
