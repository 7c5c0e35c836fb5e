package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"quartzpoint/internal/config"
	"quartzpoint/internal/configserve"
	"quartzpoint/internal/raftlog"
)

// logDir is the directory of the replicated log, relative to the data directory.
const logDir = "log"

// serveCommand serves the configuration service on a control machine.
type serveCommand struct{ serviceFile }

// Run serves until SIGTERM or SIGINT.
func (cmd *serveCommand) Run(logger *slog.Logger) (err error) {
	service, keys, err := cmd.read()
	if err != nil {
		return err
	}
	if service.Name == "" || service.Data == "" {
		return fmt.Errorf("%s: serve requires the keys name and data", cmd.Config)
	}
	if len(keys) == 0 {
		logger.Warn("no key file configured: only loopback addresses are allowed")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	replica := configserve.NewReplica()
	view := newClusterView(service)
	listener, err := net.Listen("tcp", view.machine.Sessions)
	if err != nil {
		return fmt.Errorf("listen for sessions: %w", err)
	}
	node, err := raftlog.Start(raftlog.Options{
		Name: service.Name, Dir: filepath.Join(service.Data, logDir), Members: view.members, Keys: keys,
		StateMachine: replica, Logger: logger,
	})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	defer func() { err = errors.Join(err, node.Close()) }()
	server := &configserve.Server{
		Name: service.Name, SessionAddresses: view.sessionAddresses, Keys: keys, Replica: replica, Log: node, Logger: logger,
	}
	logger.Info("serving", "name", service.Name, "sessions", view.machine.Sessions, "replication", view.machine.Replication,
		"machines", len(view.members), "pid", os.Getpid())
	return server.Serve(ctx, listener)
}

// clusterView describes the control machines from the point of view of one of them.
type clusterView struct {
	machine          config.ControlMachine // this one
	members          []raftlog.Member
	sessionAddresses map[string]string // keyed by machine name
}

func newClusterView(service *config.ControlService) clusterView {
	view := clusterView{sessionAddresses: map[string]string{}}
	for _, m := range service.Machines {
		if m.Name == service.Name {
			view.machine = m
		}
		view.members = append(view.members, raftlog.Member{Name: m.Name, Address: m.Replication, DialAddress: m.DialAddress})
		view.sessionAddresses[m.Name] = m.Sessions
	}
	return view
}
