package configserve

import (
	"context"
	"sync"
	"time"

	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

// watch sends a watcher what it lacks until the session fails. There is no queue for a watcher: what a slow one lacks is
// read from the history when it can be sent, so its cost here does not grow with the number of changes.
func (s *Server) watch(ctx context.Context, session *peersync.Session, request configwatch.WatchRequest) {
	w := s.Replica.addWatcher(request)
	defer s.Replica.removeWatcher(w)
	ctx, cancel := context.WithCancel(ctx)
	var reports sync.WaitGroup
	defer reports.Wait()
	defer func() { _ = session.Close() }() // ends receiveReports
	defer cancel()
	reports.Go(func() {
		defer cancel()
		s.receiveReports(session, w)
	})
	s.sendUpdates(ctx, session, cursor{version: request.Version, digest: request.Digest})
}

// sendUpdates sends updates and heartbeats until the session fails or the context ends.
func (s *Server) sendUpdates(ctx context.Context, session *peersync.Session, at cursor) {
	ticker := time.NewTicker(configwatch.Heartbeat)
	defer ticker.Stop()
	// The first update is sent at once, also without content: it tells the watcher that the session is open.
	for first := true; ; first = false {
		next := s.Replica.nextStep(at)
		if !first && len(next.update.Deltas) == 0 && next.update.Snapshot == nil {
			select {
			case <-ctx.Done():
				return
			case <-next.changed:
				continue
			case <-ticker.C:
				// A machine that is cut off from the others gets no new versions. It shows by knowing no leader. Its
				// watchers are disconnected, so that they find a machine that is not cut off.
				if s.Log.Leadership().Leader == "" {
					return
				}
			}
		}
		if err := s.sendUpdate(ctx, session, next.update); err != nil {
			return
		}
		at = next.cursor
	}
}

// sendUpdate sends one update. Few snapshots are sent at once, as they are large; a watcher that waits for its snapshot
// gets heartbeats meanwhile.
func (s *Server) sendUpdate(ctx context.Context, session *peersync.Session, update configwatch.Update) error {
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

// receiveReports records a watcher's reports until the session fails.
func (s *Server) receiveReports(session *peersync.Session, w *watcher) {
	for {
		raw, err := session.Receive(configwatch.MaxReportBytes, 0)
		if err != nil {
			return
		}
		var report configwatch.Report
		if err := configwatch.Decode(raw, &report); err != nil {
			_ = session.Close()
			return
		}
		if report.Reason != "" {
			s.Logger.Warn("configuration: version not applied by watcher", "watcher", w.name, "version", report.Rejected, "reason", report.Reason)
		}
		s.Replica.recordReport(w, report, time.Now())
	}
}
