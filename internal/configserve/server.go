package configserve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

const (
	maxSessions    = 4096 // open at once
	maxSnapshots   = 8    // being sent at once
	requestTimeout = 5 * time.Second
	proposeTimeout = 5 * time.Second
	acceptPause    = 50 * time.Millisecond // after a failed accept, as when descriptors ran out
)

// Log is the replicated log that changes go through.
type Log interface {
	// Propose has an entry appended and gives what it came to once a majority has it on disk.
	Propose(entry []byte, wait time.Duration) (any, error)
	// Leads tells whether this machine leads, and the name of the one that does, empty where none is known.
	Leads() (leads bool, leader string)
}

// Server answers sessions of watchers and operators.
type Server struct {
	Name             string
	SessionAddresses map[string]string // of each machine for sessions, by its name
	Keys             peersync.Keys
	Replica          *Replica
	Log              Log
	Logger           *slog.Logger

	connSlots     chan struct{}
	snapshotSlots chan struct{}
	sessions      sync.WaitGroup
}

// Serve answers until the context ends, and then closes the listener and all sessions.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.connSlots, s.snapshotSlots = make(chan struct{}, maxSessions), make(chan struct{}, maxSnapshots)
	ctx, cancel := context.WithCancel(ctx)
	defer s.sessions.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.Logger.Warn("configuration: no session accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		select {
		case s.connSlots <- struct{}{}:
		default:
			conn.Close() // whoever is there tries another machine
			continue
		}
		s.sessions.Go(func() {
			defer func() { <-s.connSlots }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			s.serve(ctx, conn)
		})
	}
}

// serve answers one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session, err := peersync.Accept(conn, s.Keys)
	if err != nil {
		s.Logger.Warn("configuration: no session", "from", conn.RemoteAddr(), "error", err)
		return
	}
	raw, err := session.Receive(configwatch.MaxRequestBytes, requestTimeout)
	if err != nil {
		return
	}
	var request configwatch.Request
	if err := configwatch.Decode(raw, &request); err != nil {
		s.Logger.Warn("configuration: request not understood", "from", conn.RemoteAddr(), "error", err)
		return
	}
	switch {
	case request.Watch != nil:
		if err := request.Watch.Validate(); err != nil {
			s.Logger.Warn("configuration: watch refused", "from", conn.RemoteAddr(), "error", err)
			return
		}
		s.watch(ctx, session, *request.Watch)
	case request.Change != nil:
		_ = session.Send(configwatch.Encode(s.propose(request.Change))) // one that is gone asks again
	case request.Status != nil:
		_, leader := s.Log.Leads()
		_ = session.Send(configwatch.Encode(s.Replica.Status(s.Name, leader, time.Now()))) // the same
	}
}

// propose has a change go through the log.
func (s *Server) propose(entry []byte) (outcome configwatch.ChangeResponse) {
	leads, leader := s.Log.Leads()
	if !leads {
		return configwatch.ChangeResponse{Leader: s.SessionAddresses[leader], Error: "this machine does not lead"}
	}
	result := Result{}
	if result.Version, result.Err = s.Replica.Validate(entry); result.Version == 0 && result.Err == nil {
		came, err := s.Log.Propose(entry, proposeTimeout)
		if err != nil {
			return configwatch.ChangeResponse{Error: err.Error()}
		}
		result = came.(Result) // what Hub.Apply gives
	}
	var refusal *configuration.ValidationError
	if errors.As(result.Err, &refusal) {
		return configwatch.ChangeResponse{Violations: refusal.Violations}
	}
	s.Logger.Info("configuration: accepted", "version", result.Version)
	return configwatch.ChangeResponse{Version: result.Version}
}

// watch tells a watcher what it lacks until the session fails. It holds no queue: what a slow watcher lacks is read from
// the history when it can be sent, and is a snapshot once that is less.
func (s *Server) watch(ctx context.Context, session *peersync.Session, ask configwatch.WatchRequest) {
	w := s.Replica.addWatcher(ask)
	defer s.Replica.removeWatcher(w)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.sessions.Go(func() {
		defer cancel()
		s.receiveReports(session, w)
	})
	ticker := time.NewTicker(configwatch.Heartbeat)
	defer ticker.Stop()
	at := cursor{version: ask.Version, digest: ask.Digest}
	for greeted := false; ; greeted = true {
		update, then, changed := s.Replica.nextUpdate(at)
		if greeted && len(update.Deltas) == 0 && update.Snapshot == nil {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				continue
			case <-ticker.C:
				// A machine that is cut off from the others must not keep its watchers from those that are not.
				if _, leader := s.Log.Leads(); leader == "" {
					return
				}
			}
		}
		if err := s.send(ctx, session, update); err != nil {
			return
		}
		at = then
	}
}

// send sends an update. Few snapshots are sent at once, and who waits for one hears meanwhile that the machine is there.
func (s *Server) send(ctx context.Context, session *peersync.Session, update configwatch.Update) error {
	if update.Snapshot == nil {
		return session.Send(configwatch.Encode(update))
	}
	ticker := time.NewTicker(configwatch.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := session.Send(configwatch.Encode(configwatch.Update{Latest: update.Latest})); err != nil {
				return err
			}
		case s.snapshotSlots <- struct{}{}:
			defer func() { <-s.snapshotSlots }()
			return session.Send(configwatch.Encode(update))
		}
	}
}

// receiveReports takes a watcher's reports until the session fails.
func (s *Server) receiveReports(session *peersync.Session, w *watcher) {
	for {
		raw, err := session.Receive(configwatch.MaxReportBytes, 0)
		if err != nil {
			return
		}
		var report configwatch.Report
		if configwatch.Decode(raw, &report) != nil {
			session.Close()
			return
		}
		if report.Reason != "" {
			s.Logger.Warn("configuration: cannot come into force", "at", w.name, "version", report.Rejected, "fault", report.Reason)
		}
		s.Replica.recordReport(w, report, time.Now())
	}
}
