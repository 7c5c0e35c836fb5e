package configserve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/acceptloop"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/raftlog"
)

const (
	maxSessions    = 4096 // concurrent sessions
	maxSnapshots   = 8    // snapshots being sent concurrently
	requestTimeout = 5 * time.Second
	proposeTimeout = 5 * time.Second
)

// Log is the replicated log, implemented by raftlog.Node.
type Log interface {
	// Propose appends an entry and returns the Result of Replica.Apply once the entry is committed and applied. The
	// context's deadline bounds the wait for a slot in the leader's queue.
	Propose(ctx context.Context, entry []byte) (any, error)
	// Barrier waits until every entry committed before the call is applied to this machine's Replica.
	Barrier(ctx context.Context) error
	// Leadership returns the current leader.
	Leadership() raftlog.Leadership
}

// Server serves sessions of watchers and operators.
type Server struct {
	Name             string            // of this control machine
	SessionAddresses map[string]string // of all control machines, by name
	Keys             peersync.Keys
	Replica          *Replica
	Log              Log
	Logger           *slog.Logger

	snapshotSlots chan struct{}
}

// Serve serves sessions until the context ends. It closes the listener and returns after all sessions have ended. The
// error is nil if the context ended. Serve must be called only once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.snapshotSlots = make(chan struct{}, maxSnapshots)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	loop := acceptloop.Loop{
		MaxConns: maxSessions, // further clients try another machine
		Serve: func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			s.serve(ctx, conn)
		},
		OnError: func(err error) { s.Logger.Warn("configuration: accept failed", "error", err) },
	}
	if err := loop.Run(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

// serve serves one connection. Its first message selects the kind of session.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session, err := peersync.Accept(conn, s.Keys)
	if err != nil {
		s.Logger.Warn("configuration: handshake failed", "from", conn.RemoteAddr(), "error", err)
		return
	}
	raw, err := session.Receive(configwatch.MaxRequestBytes, requestTimeout)
	if err != nil {
		return
	}
	var request configwatch.Request
	if err := configwatch.Decode(raw, &request); err != nil {
		s.Logger.Warn("configuration: malformed request", "from", conn.RemoteAddr(), "error", err)
		return
	}
	switch {
	case request.Watch != nil:
		if err := request.Watch.Validate(); err != nil {
			s.Logger.Warn("configuration: watch rejected", "from", conn.RemoteAddr(), "error", err)
			return
		}
		s.watch(ctx, session, *request.Watch)
	case request.Change != nil:
		_ = session.Send(configwatch.Encode(s.propose(ctx, request.Change))) // a client that disconnected proposes it again
	case request.Status != nil:
		status := s.Replica.Status(s.Name, s.Log.Leadership().Leader, time.Now())
		_ = session.Send(configwatch.Encode(status)) // a client that disconnected asks again
	}
}

// propose validates a change, proposes it to the log and returns the response for the client.
func (s *Server) propose(ctx context.Context, entry []byte) configwatch.ChangeResponse {
	leadership := s.Log.Leadership()
	if !leadership.IsLeader {
		return configwatch.ChangeResponse{Leader: s.SessionAddresses[leadership.Leader], Error: "this machine does not lead"}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	version, err := s.Replica.Validate(entry)
	if err != nil {
		// A newly elected leader may not have applied all committed entries. A change that its document rejects may be
		// valid after them.
		if err := s.Log.Barrier(ctx); err != nil {
			return configwatch.ChangeResponse{Error: err.Error()}
		}
		version, err = s.Replica.Validate(entry)
	}
	repeated := version > 0
	if version == 0 && err == nil { // valid and not accepted before
		applied, proposeErr := s.Log.Propose(ctx, entry)
		if proposeErr != nil {
			return configwatch.ChangeResponse{Error: proposeErr.Error()}
		}
		result := applied.(Result) // of Replica.Apply
		version, repeated, err = result.Version, result.Repeated, result.Err
	}
	var validationErr *configuration.ValidationError
	if errors.As(err, &validationErr) {
		return configwatch.ChangeResponse{Violations: validationErr.Violations}
	}
	if repeated { // by a client that did not receive the response
		s.Logger.Info("configuration: change already accepted", "version", version)
	} else {
		s.Logger.Info("configuration: change accepted", "version", version)
	}
	return configwatch.ChangeResponse{Version: version}
}
