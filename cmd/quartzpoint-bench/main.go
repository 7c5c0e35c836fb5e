// Command quartzpoint-bench measures and rehearses the product: it runs real daemons with emulated surroundings, and drills on
// an emulated fleet. It is no part of the daemon.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// command lists the subcommands.
type command struct {
	Flat       flatCommand       `cmd:"" hidden:"" help:"Serve as the daemon does, with the baseline that calls are budgeted against."`
	Child      stateChild        `cmd:"" name:"state-child" hidden:"" help:"The process that measure state kills."`
	Drill      drillCommand      `cmd:"" help:"Play a drill on an emulated fleet, in simulated time."`
	Experiment experimentCommand `cmd:"" help:"Run drills by policies by seeds, and write tables, charts and a report."`
	Hollow     hollowCommand     `cmd:"" hidden:"" help:"Hold a part of a hollow fleet; scale starts it."`
	Watchers   watchersCommand   `cmd:"" hidden:"" help:"Hold watchers of the configuration service; measure configuration starts it."`
	Capacity   capacityCommand   `cmd:"" help:"Write what the points of scale give into the capacity page."`
	Soak       soakCommand       `cmd:"" help:"Play real processes under faults drawn from seeds, and hold the four rules on them."`
	Scale      scaleCommand      `cmd:"" help:"Measure what the programs cost up to the planned size, and write points and charts."`
	Workers    workersCommand    `cmd:"" help:"Play, in real time, the worker pools, dependencies and membership of a drill, for real daemons."`
	Load       loadCommand       `cmd:"" help:"Play a load, drawn or captured, against a server's frames or an http URL."`
	Measure    measureCommand    `cmd:"" help:"Run a measurement; it ends with code 1 where an aim is missed."`
}

type measureCommand struct {
	Library       measureLibrary       `cmd:"" help:"The library beside the daemon, baselines, and its own cost."`
	Dependencies  measureDependencies  `cmd:"" help:"What budgets of calls gain over flat time-outs and retries."`
	Peers         measurePeers         `cmd:"" help:"What a newcomer gains, or loses, by its peers' word."`
	Emulator      measureEmulator      `cmd:"" help:"The emulator beside real daemons, its speed, and policies over drills."`
	Configuration measureConfiguration `cmd:"" help:"Whether changes of configuration are in force everywhere in time, through losses and cuts."`
	Scale         measureScale         `cmd:"" help:"Whether a daemon at the planned size, and small hollow fleets, keep to the budgets."`
	State         measureState         `cmd:"" help:"What a folder of state is worth at a restart, and what it costs."`
}

func main() {
	parsed := kong.Parse(&command{}, kong.Name("quartzpoint-bench"), kong.UsageOnError(),
		kong.Description("Measurements and rehearsals of quartzpoint, on loopback. Exit codes: 0 done; 1 failed or short of an aim; 80 wrong usage."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "quartzpoint-bench:", err)
		os.Exit(1)
	}
}
