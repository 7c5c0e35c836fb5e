package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"quartzpoint/internal/testkit/soak"
)

// errSoak is returned for a soak with violations or failed runs.
var errSoak = errors.New("the soak found violations or had failed runs")

// soakCommand runs real processes under faults, and checks their histories.
type soakCommand struct {
	Seed     int64         `default:"1" help:"The first seed."`
	Seeds    int           `default:"50" help:"Number of consecutive seeds, one run each."`
	Span     time.Duration `default:"8s" help:"Time during which faults are injected in a run."`
	Parallel int           `default:"3" help:"Number of concurrent runs."`
	Program  string        `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Keep     string        `placeholder:"FOLDER" help:"Write the process logs of failed runs and of runs with violations to this folder."`
	Verbose  bool          `help:"Print the plan of each run."`
}

// soakOutcome is the outcome of the run of one seed.
type soakOutcome struct {
	history    *soak.History
	violations []soak.Violation
	err        error
}

// Run runs the seeds, and prints a line and the violations of each.
func (cmd *soakCommand) Run() error {
	program, err := filepath.Abs(cmd.Program)
	if err != nil {
		return fmt.Errorf("absolute path of the program: %w", err)
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("create a temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	outcomes := make([]soakOutcome, cmd.Seeds)
	slots := make(chan struct{}, max(cmd.Parallel, 1))
	var running sync.WaitGroup
	for n := range cmd.Seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			outcomes[n] = cmd.runSeed(program, folder, cmd.Seed+int64(n))
		})
	}
	running.Wait()
	return cmd.summary(outcomes)
}

// runSeed runs one seed, and prints its line and its violations.
func (cmd *soakCommand) runSeed(program, folder string, seed int64) (outcome soakOutcome) {
	plan := soak.Draw(seed, cmd.Span)
	runFolder := filepath.Join(folder, fmt.Sprint(seed))
	if outcome.err = os.Mkdir(runFolder, 0o700); outcome.err != nil {
		return outcome
	}
	outcome.history, outcome.err = soak.Run(context.Background(), program, runFolder, plan)
	outcome.violations = soak.Check(outcome.history)
	fmt.Println(soak.Summary(outcome.history, outcome.violations, outcome.err))
	if cmd.Verbose || len(outcome.violations) > 0 {
		for _, f := range plan.Faults {
			fmt.Println("   ", f)
		}
	}
	for _, v := range outcome.violations {
		fmt.Println("    violation,", v)
	}
	if cmd.Keep != "" && (len(outcome.violations) > 0 || outcome.err != nil) {
		outcome.err = errors.Join(outcome.err, soak.WriteLogs(cmd.Keep, outcome.history))
	}
	return outcome
}

// summary prints the last lines. It returns errSoak if there was a violation or a failed run.
func (cmd *soakCommand) summary(outcomes []soakOutcome) error {
	var total soak.Totals
	violations, failed := 0, 0
	for _, o := range outcomes {
		violations += len(o.violations)
		if o.err != nil {
			failed++
			fmt.Println("failed:", o.err)
		}
		if o.history != nil {
			total.Add(o.history)
		}
	}
	fmt.Printf("soak: seeds %d to %d, %d faults, %d processes, %d requests, %d served, %d refused, %d failed, %d crossed or cut off; %d violations, %d runs failed\n",
		cmd.Seed, cmd.Seed+int64(cmd.Seeds)-1, total.Faults, total.Processes, total.Requests, total.Served, total.Rejected, total.Aborted,
		total.Unanswered, violations, failed)
	fmt.Println("soak:", total.DrainSummary())
	if violations > 0 || failed > 0 {
		return errSoak
	}
	return nil
}
