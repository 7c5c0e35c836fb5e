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

// errSoak is a soak in which rules were broken, or runs failed.
var errSoak = errors.New("the soak found violations")

// soaking is the command that soaks real processes in faults.
type soaking struct {
	Seed     int64         `default:"1" help:"The first seed."`
	Seeds    int           `default:"50" help:"How many seeds, from the first on."`
	Span     time.Duration `default:"8s" help:"How long the faults of a run go on."`
	Parallel int           `default:"3" help:"Runs at once."`
	Program  string        `default:"bin/quartzpoint" help:"The daemon."`
	Keep     string        `placeholder:"FOLDER" help:"Keep the logs of processes of runs with violations here."`
	Verbose  bool          `help:"Print the plan of each run."`
}

// soaked is the outcome of one run.
type soaked struct {
	history *soak.History
	broken  []soak.Violation
	err     error
}

// Run plays the seeds and prints a line for each, and the violations.
func (cmd *soaking) Run() error {
	program, err := filepath.Abs(cmd.Program)
	if err != nil {
		return fmt.Errorf("program: %w", err)
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	defer os.RemoveAll(folder)
	outcomes := make([]soaked, cmd.Seeds)
	turns := make(chan struct{}, max(cmd.Parallel, 1))
	var over sync.WaitGroup
	for n := range cmd.Seeds {
		turns <- struct{}{}
		over.Add(1)
		go func() {
			defer over.Done()
			defer func() { <-turns }()
			outcomes[n] = cmd.play(program, folder, cmd.Seed+int64(n))
		}()
	}
	over.Wait()
	return cmd.summary(outcomes)
}

func (cmd *soaking) play(program, folder string, seed int64) (outcome soaked) {
	plan := soak.Draw(seed, cmd.Span)
	own := filepath.Join(folder, fmt.Sprint(seed))
	if outcome.err = os.Mkdir(own, 0o700); outcome.err != nil {
		return outcome
	}
	outcome.history, outcome.err = soak.Run(context.Background(), program, own, plan)
	outcome.broken = soak.Check(outcome.history)
	fmt.Println(soak.Summary(outcome.history, outcome.broken, outcome.err))
	if cmd.Verbose || len(outcome.broken) > 0 {
		for _, f := range plan.Faults {
			fmt.Println("   ", f)
		}
	}
	for _, v := range outcome.broken {
		fmt.Println("    violation,", v)
	}
	if cmd.Keep != "" && len(outcome.broken) > 0 {
		outcome.err = errors.Join(outcome.err, soak.WriteLogs(cmd.Keep, outcome.history))
	}
	return outcome
}

// summary prints the last line, and is an error where anything was broken or failed.
func (cmd *soaking) summary(outcomes []soaked) error {
	var total soak.Totals
	violations, failed := 0, 0
	for _, o := range outcomes {
		violations += len(o.broken)
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
	if violations > 0 || failed > 0 {
		return errSoak
	}
	return nil
}
