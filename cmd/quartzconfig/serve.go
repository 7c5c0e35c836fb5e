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

// serveCommand is the command that serves.
type serveCommand struct{ serviceFile }

// Run serves until the notice to leave.
func (cmd *serveCommand) Run(log *slog.Logger) (err error) {
	stated, keys, err := cmd.read()
	if err != nil {
		return err
	}
	if stated.Name == "" || stated.Data == "" {
		return fmt.Errorf("%s: name and data are needed to serve", cmd.Config)
	}
	if len(keys) == 0 {
		log.Warn("configuration service without a key", "key-file", "", "so", "loopback addresses only")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hub := configserve.NewReplica()
	own, members, sessions := clusterMembers(stated)
	listener, err := net.Listen("tcp", own.Sessions)
	if err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	node, err := raftlog.Start(raftlog.Options{
		Name: stated.Name, Dir: filepath.Join(stated.Data, "log"), Members: members, Keys: keys, StateMachine: hub, Logger: log,
	})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	defer func() { err = errors.Join(err, node.Close()) }()
	server := &configserve.Server{Name: stated.Name, SessionAddresses: sessions, Keys: keys, Replica: hub, Log: node, Logger: log}
	log.Info("serving", "name", stated.Name, "sessions", own.Sessions, "replication", own.Replication, "machines", len(members),
		"pid", os.Getpid())
	return server.Serve(ctx, listener)
}

// clusterMembers gives this machine, all of them as the log knows them, and their addresses for sessions by name.
func clusterMembers(stated *config.ControlService) (own config.ControlMachine, members []raftlog.Member, sessions map[string]string) {
	sessions = map[string]string{}
	for _, m := range stated.Machines {
		if m.Name == stated.Name {
			own = m
		}
		members = append(members, raftlog.Member{Name: m.Name, Address: m.Replication, DialAddress: m.DialAddress})
		sessions[m.Name] = m.Sessions
	}
	return own, members, sessions
}
