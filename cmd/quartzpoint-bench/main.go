// Command quartzpoint-bench measures and tests quartzpoint. It runs real daemons with emulated workers, dependencies
// and routers, and drills on an emulated fleet. It is not part of the daemon.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// command lists the subcommands.
type command struct {
	Flat       flatCommand       `cmd:"" hidden:"" help:"Serve as the daemon does, but make calls without budgets, as the baseline of measure dependencies."`
	Child      stateChild        `cmd:"" name:"state-child" hidden:"" help:"Run the process that measure state kills."`
	Drill      drillCommand      `cmd:"" help:"Run a drill on an emulated fleet, in simulated time."`
	Experiment experimentCommand `cmd:"" help:"Run every drill with every policy and seed, and write tables, charts and a report."`
	Hollow     hollowCommand     `cmd:"" hidden:"" help:"Run a part of a hollow fleet; started by scale."`
	Watchers   watchersCommand   `cmd:"" hidden:"" help:"Run watchers of the configuration service; started by measure configuration."`
	Capacity   capacityCommand   `cmd:"" help:"Compute the capacity figures from the points that scale wrote, and write them into the capacity page."`
	Soak       soakCommand       `cmd:"" help:"Run real processes under random faults, with one run per seed, and check them against the four rules."`
	Scale      scaleCommand      `cmd:"" help:"Measure the cost of the programs up to the planned size, and write points and charts."`
	Workers    workersCommand    `cmd:"" help:"Emulate the worker pools, dependencies and membership of a drill in real time, for real daemons."`
	Load       loadCommand       `cmd:"" help:"Send a generated or captured load to a server, in frames or over HTTP."`
	Measure    measureCommand    `cmd:"" help:"Run a measurement; the exit code is 1 if an objective is missed."`
}

type measureCommand struct {
	Library       measureLibrary       `cmd:"" help:"Compare the library with the daemon and with baseline policies, and measure its overhead."`
	Dependencies  measureDependencies  `cmd:"" help:"Compare budgeted calls with flat timeouts and retries."`
	Peers         measurePeers         `cmd:"" help:"Compare new servers with and without the estimates of their peers."`
	Emulator      measureEmulator      `cmd:"" help:"Compare the emulator with real daemons, measure its speed, and compare policies over drills."`
	Configuration measureConfiguration `cmd:"" help:"Check that configuration changes take effect on all servers in time, also if machines fail or the network is partitioned."`
	Scale         measureScale         `cmd:"" help:"Check that a daemon at the planned size, and small hollow fleets, stay within their budgets."`
	State         measureState         `cmd:"" help:"Measure the benefit of a state directory at a restart, and its cost."`
}

func main() {
	parsed := kong.Parse(&command{}, kong.Name("quartzpoint-bench"), kong.UsageOnError(),
		kong.Description("Measurements and rehearsals of quartzpoint, on loopback. Exit codes: 0 done; 1 failed, or an objective was missed; 80 wrong usage."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "quartzpoint-bench:", err)
		os.Exit(1)
	}
}
