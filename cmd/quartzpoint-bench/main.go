// Command quartzpoint-bench is where the product is measured and rehearsed: it plays what stands round real daemons and
// tells how they fare. It is no part of the daemon and may be heavy.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// command is what may be asked.
type command struct {
	Flat       flat          `cmd:"" hidden:"" help:"Serve as the daemon does, with the baseline that calls are budgeted against."`
	Child      stateChild    `cmd:"" name:"state-child" hidden:"" help:"The process that measure state kills."`
	Drill      playing       `cmd:"" help:"Play a drill on an emulated fleet, in simulated time."`
	Experiment experimenting `cmd:"" help:"Run drills by policies by seeds, and write tables, charts and a report."`
	Hollow     hollow        `cmd:"" hidden:"" help:"Hold a part of a hollow fleet; scale starts it."`
	Watchers   watchers      `cmd:"" hidden:"" help:"Hold watchers of the configuration service; measure configuration starts it."`
	Capacity   capacity      `cmd:"" help:"Write what the points of scale give into the capacity page."`
	Soak       soaking       `cmd:"" help:"Play real processes under faults drawn from seeds, and hold the four rules on them."`
	Scale      scaling       `cmd:"" help:"Measure what the programs cost up to the planned size, and write points and charts."`
	Workers    emulating     `cmd:"" help:"Play, in real time, the worker pools, dependencies and membership of a drill, for real daemons."`
	Load       loading       `cmd:"" help:"Play a load, drawn or captured, against a server's frames or an http URL."`
	Measure    measuring     `cmd:"" help:"Run a measurement; it ends with code 1 where an aim is missed."`
}

type measuring struct {
	Library       measureLibrary       `cmd:"" help:"The library beside the daemon, baselines, and its own cost."`
	Dependencies  measureDependencies  `cmd:"" help:"What budgets of calls gain over flat time-outs and retries."`
	Peers         measurePeers         `cmd:"" help:"What a newcomer gains, or loses, by its peers' word."`
	Emulator      measureEmulator      `cmd:"" help:"The emulator beside real daemons, its speed, and policies over drills."`
	Configuration measureConfiguration `cmd:"" help:"Whether changes of configuration are in force everywhere in time, through losses and cuts."`
	Scale         measureScale         `cmd:"" help:"Whether a daemon at the planned size, and small hollow fleets, keep to the budgets."`
	State         measureState         `cmd:"" help:"What a folder of state is worth at a restart, and what it costs."`
}

func main() {
	asked := kong.Parse(&command{}, kong.Name("quartzpoint-bench"), kong.UsageOnError(),
		kong.Description("Measurements and rehearsals of quartzpoint, on loopback. Exit codes: 0 done; 1 failed or short of an aim; 80 wrong usage."))
	if err := asked.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "quartzpoint-bench:", err)
		os.Exit(1)
	}
}
