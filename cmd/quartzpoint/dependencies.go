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
	"quartzpoint/internal/config"
	"quartzpoint/internal/controlsocket"
	"quartzpoint/internal/fanout"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
)

// startComposer starts the composer of the routes whose requests the configuration file composes of calls, and returns
// nil without such routes. The composer ends with ctx. memory is the memory of the process in bytes.
func startComposer(
	ctx context.Context, file *config.Config, memory int, seed int64, owner *server.Server, counters *invariant.Counters, log *slog.Logger,
) (*fanout.Composer, error) {
	if len(file.Routes) == 0 {
		return nil, nil
	}
	routes, err := composedRoutes(file, owner.RouteTimeouts())
	if err != nil {
		return nil, err
	}
	var dependencies []fanout.Dependency
	for _, d := range file.Dependencies {
		dependencies = append(dependencies, fanout.Dependency(d))
	}
	composer := fanout.New(ctx, dependencies, routes, memory, seed, owner.Now, counters, log, owner.Wake)
	owner.SetComposer(composer)
	log.Info("composed routes configured", "types", len(routes), "dependencies", len(dependencies))
	return composer, nil
}

// composedRoutes returns the configured routes, after validating each plan against the route's timeout in the
// platform's configuration. The returned error joins all errors.
func composedRoutes(file *config.Config, timeouts map[string]time.Duration) (routes []fanout.Route, err error) {
	var errs []error
	for _, routePlan := range file.Routes {
		plan := routePlan.Plan()
		timeout, known := timeouts[routePlan.Name]
		if !known {
			errs = append(errs, fmt.Errorf("types.%s: the platform's configuration has no such route", routePlan.Name))
			continue
		}
		if err := plan.Validate(len(file.Dependencies), timeout); err != nil {
			errs = append(errs, fmt.Errorf("types.%s: %w", routePlan.Name, err))
		}
		route := fanout.Route{Plan: plan}
		for _, c := range routePlan.Calls {
			route.Calls = append(route.Calls, fanout.Call{Op: c.Op, MaxStale: c.MaxStale, Default: c.Default})
		}
		routes = append(routes, route)
	}
	return routes, errors.Join(errs...)
}

// printTimeline prints the expected start, end and timeout of each call of a plan.
func printTimeline(writer io.Writer, routePlan config.RoutePlan, dependencies []config.Dependency, timeout time.Duration) error {
	plan := routePlan.Plan()
	if err := plan.Validate(len(dependencies), timeout); err != nil {
		return fmt.Errorf("types.%s: %w", routePlan.Name, err)
	}
	var names []string
	for _, d := range dependencies {
		names = append(names, d.Name)
	}
	fmt.Fprintf(writer, "%s: %v in total, %v of it reserved\n", routePlan.Name, timeout, routePlan.Reserve)
	table := tabwriter.NewWriter(writer, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  call\tdependency\tbegins\tends\tmay take\t")
	for _, span := range plan.Spans(timeout, names) {
		required := ""
		if span.Required {
			required = "needed"
		}
		fmt.Fprintf(table, "  %s\t%s\t%v\t%v\t%v\t%s\n", span.Name, span.Dependency, span.Start, span.End,
			span.Timeout.Round(time.Millisecond), required)
	}
	return table.Flush()
}

// dependenciesCommand prints the states of a running server's dependencies.
type dependenciesCommand struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// Run queries the server once.
func (cmd *dependenciesCommand) Run() error {
	var states []budget.State
	if err := controlsocket.Query(cmd.Socket, controlsocket.Request{Query: queryDependencies}, &states); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, states)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "dependency\tlimit\tof\tin flight\tlingering\twaiting\tbreaker\tdegraded\tfirst\tsecond\tearned\tlate\tp50 ms\tp95\tp99\t")
	for _, s := range states {
		quantiles := s.QuantilesInMillis
		fmt.Fprintf(table, "%s\t%.1f\t%d\t%d\t%d\t%d\t%s\t%t\t%d\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t\n",
			s.Name, s.Limit, s.MaxInFlight, s.InFlight, s.CancelledInFlight, s.Queued, s.Breaker, s.Degraded,
			s.FirstAttempts, s.ExtraAttempts, s.RetryTokens, s.LateResponses, quantiles[0], quantiles[1], quantiles[2])
	}
	return table.Flush()
}
