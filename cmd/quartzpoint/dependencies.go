package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/adminsocket"
	"quartzpoint/internal/config"
	"quartzpoint/internal/fanout"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
)

// composing starts what makes requests of calls, nil where nothing is stated. It ends with the context.
func composing(
	ctx context.Context, ours *config.Config, memory int, seed int64, owner *server.Server, counts *invariant.Counters, log *slog.Logger,
) (*fanout.Composer, error) {
	if len(ours.Types) == 0 {
		return nil, nil
	}
	types, err := plans(ours, owner.RouteTimeouts())
	if err != nil {
		return nil, err
	}
	var dependencies []fanout.Dependency
	for _, d := range ours.Dependencies {
		dependencies = append(dependencies, fanout.Dependency(d))
	}
	composer := fanout.New(ctx, dependencies, types, memory, seed, owner.Now, counts, log, owner.Wake)
	owner.SetComposer(composer)
	log.Info("tasks made of calls", "types", len(types), "dependencies", len(dependencies))
	return composer, nil
}

// plans are the types' plans, checked against the time that the platform's configuration gives a task of each.
func plans(ours *config.Config, whole map[string]time.Duration) (types []fanout.Type, err error) {
	var faults []error
	for _, t := range ours.Types {
		plan := t.Plan()
		time, known := whole[t.Name]
		if !known {
			faults = append(faults, fmt.Errorf("types.%s: the platform's configuration names no such traffic type", t.Name))
			continue
		}
		if err := plan.Check(len(ours.Dependencies), time); err != nil {
			faults = append(faults, fmt.Errorf("types.%s: %w", t.Name, err))
		}
		made := fanout.Type{Plan: plan}
		for _, c := range t.Calls {
			made.Calls = append(made.Calls, fanout.Call{Op: c.Op, Keep: c.Keep, Default: c.Default})
		}
		types = append(types, made)
	}
	return types, errors.Join(faults...)
}

// timeLine prints a plan for its operators.
func timeLine(to io.Writer, t config.Type, dependencies []config.Dependency, whole time.Duration) error {
	plan := t.Plan()
	if err := plan.Check(len(dependencies), whole); err != nil {
		return fmt.Errorf("types.%s: %w", t.Name, err)
	}
	var names []string
	for _, d := range dependencies {
		names = append(names, d.Name)
	}
	fmt.Fprintf(to, "%s: %v in all, %v of it kept back\n", t.Name, whole, t.Reserve)
	table := tabwriter.NewWriter(to, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  call\tdependency\tbegins\tends\tmay take\t")
	for _, s := range plan.Spans(whole, names) {
		kind := ""
		if s.Needed {
			kind = "needed"
		}
		fmt.Fprintf(table, "  %s\t%s\t%v\t%v\t%v\t%s\n", s.Name, s.DependencyName, s.Begins, s.Ends,
			s.MayTake.Round(time.Millisecond), kind)
	}
	return table.Flush()
}

// asking is the command that prints how a running server's dependencies stand.
type asking struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON."`
}

// Run asks once.
func (cmd *asking) Run() error {
	var states []budget.State
	if err := adminsocket.Ask(cmd.Socket, adminsocket.Question{Ask: askDependencies}, &states); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, states)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "dependency\tlimit\tof\tin flight\tlingering\twaiting\tbreaker\tdegraded\tfirst\tsecond\tearned\tlate\tp50 ms\tp95\tp99\t")
	for _, s := range states {
		q := s.QuantilesInMillis
		fmt.Fprintf(table, "%s\t%.1f\t%d\t%d\t%d\t%d\t%s\t%t\t%d\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t\n",
			s.Name, s.Limit, s.Share, s.InFlight, s.Lingering, s.Waiting, s.Breaker, s.Degraded,
			s.Firsts, s.Seconds, s.Earned, s.Late, q[0], q[1], q[2])
	}
	return table.Flush()
}
