package configserve

import (
	"context"
	"sync"
	"time"

	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/peersync"
)

// watch sends a watcher the versions that it lacks until the session fails. Updates for a watcher are not queued: each
// one is read from the history when it can be sent, so the memory for a slow watcher does not grow with the number of
// changes.
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

// sendUpdates sends updates and heartbeats until the session fails, the context ends, or this machine has no leader.
func (s *Server) sendUpdates(ctx context.Context, session *peersync.Session, at cursor) {
	ticker := time.NewTicker(configwatch.Heartbeat)
	defer ticker.Stop()
	// The first update is sent immediately, even if it is empty: it shows the watcher that the session is open.
	for first := true; ; first = false {
		next := s.Replica.nextStep(at)
		if !first && len(next.update.Deltas) == 0 && next.update.Snapshot == nil {
			select {
			case <-ctx.Done():
				return
			case <-next.changed:
				continue
			case <-ticker.C:
				// A machine that is partitioned from the other control machines gets no new versions. It detects this
				// by having no leader, and disconnects its watchers so that they connect to a machine that is not
				// partitioned.
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

// sendUpdate sends one update. Snapshots are large, so the number sent concurrently is limited. A watcher that waits
// for its snapshot receives heartbeats in the meantime.
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
			s.Logger.Warn("configuration: watcher could not apply a version", "watcher", w.name, "version", report.Rejected, "reason", report.Reason)
		}
		s.Replica.recordReport(w, report, time.Now())
	}
}
