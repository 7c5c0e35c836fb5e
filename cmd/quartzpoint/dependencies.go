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

// startComposer starts what makes requests of calls, nil where nothing is stated. It ends with the context.
func startComposer(
	ctx context.Context, ours *config.Config, memory int, seed int64, owner *server.Server, counts *invariant.Counts, log *slog.Logger,
) (*fanout.Composer, error) {
	if len(ours.Types) == 0 {
		return nil, nil
	}
	types, err := composedRoutes(ours, owner.Types())
	if err != nil {
		return nil, err
	}
	var dependencies []fanout.Dependency
	for _, d := range ours.Dependencies {
		dependencies = append(dependencies, fanout.Dependency(d))
	}
	composer := fanout.New(ctx, dependencies, types, memory, seed, owner.Now, counts, log, owner.Nudge)
	owner.Compose(composer)
	log.Info("tasks made of calls", "types", len(types), "dependencies", len(dependencies))
	return composer, nil
}

// composedRoutes are the types' plans, checked against the time that the platform's configuration gives a task of each.
func composedRoutes(ours *config.Config, whole map[string]time.Duration) (routes []fanout.Route, err error) {
	var faults []error
	for _, t := range ours.Types {
		plan := t.Plan()
		time, known := whole[t.Name]
		if !known {
			faults = append(faults, fmt.Errorf("types.%s: the platform's configuration names no such traffic type", t.Name))
			continue
		}
		if err := plan.Validate(len(ours.Dependencies), time); err != nil {
			faults = append(faults, fmt.Errorf("types.%s: %w", t.Name, err))
		}
		route := fanout.Route{Plan: plan}
		for _, c := range t.Calls {
			route.Calls = append(route.Calls, fanout.Call{Op: c.Op, MaxStaleness: c.Keep, Default: c.Default})
		}
		routes = append(routes, route)
	}
	return routes, errors.Join(faults...)
}

// printTimeline prints a plan for its operators.
func printTimeline(writer io.Writer, t config.Type, dependencies []config.Dependency, available time.Duration) error {
	plan := t.Plan()
	if err := plan.Validate(len(dependencies), available); err != nil {
		return fmt.Errorf("types.%s: %w", t.Name, err)
	}
	var names []string
	for _, d := range dependencies {
		names = append(names, d.Name)
	}
	fmt.Fprintf(writer, "%s: %v in all, %v of it kept back\n", t.Name, available, t.Reserve)
	table := tabwriter.NewWriter(writer, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  call\tdependency\tbegins\tends\tmay take\t")
	for _, s := range plan.Spans(available, names) {
		kind := ""
		if s.Required {
			kind = "needed"
		}
		fmt.Fprintf(table, "  %s\t%s\t%v\t%v\t%v\t%s\n", s.Name, s.Dependency, s.Start, s.End,
			s.Timeout.Round(time.Millisecond), kind)
	}
	return table.Flush()
}

// dependenciesCommand is the command that prints how a running server's dependencies stand.
type dependenciesCommand struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON."`
}

// Run asks once.
func (cmd *dependenciesCommand) Run() error {
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
			s.Name, s.Limit, s.MaxInFlight, s.InFlight, s.CancelledInFlight, s.Queued, s.Breaker, s.Degraded,
			s.FirstAttempts, s.ExtraAttempts, s.RetryTokens, s.LateResponses, q[0], q[1], q[2])
	}
	return table.Flush()
}
