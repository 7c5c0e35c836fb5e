package configwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/peersync"
)

// ErrUnavailable reports that no control machine gave the requested answer, even if some were reached:
//
//   - Propose returns it if the context ends before a machine answers that the change was accepted or rejected: because
//     none was reached, the handshake failed, no leader was found, or the leader did not learn the outcome. The change
//     may still have been accepted; it is safe to propose it again with the same ID while the service still stores that
//     ID (it stores the latest ones only).
//   - The status command of quartzconfig returns it if no machine answers with its status.
var ErrUnavailable = errors.New("configuration service not reached")

const responseTimeout = 10 * time.Second

// Propose proposes a change to the control machines, one after the other until the context ends, and returns the
// resulting version. The error is a *configuration.ValidationError if the change was rejected, and wraps ErrUnavailable
// if the outcome is unknown.
func Propose(ctx context.Context, addresses []string, keys peersync.Keys, change configuration.Change) (uint64, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return 0, fmt.Errorf("encode change: %w", err)
	}
	if len(raw) > configuration.MaxChangeBytes {
		return 0, &configuration.ValidationError{Violations: []configuration.Violation{{
			Key: "change", Value: fmt.Sprintf("%d bytes", len(raw)), Allowed: fmt.Sprintf("%d bytes at most are allowed", configuration.MaxChangeBytes),
		}}}
	}
	failures := []error{ErrUnavailable} // and the first failures, at most as many as there are addresses
	leader := ""
	for attempt := 0; ; attempt++ {
		address := addresses[attempt%len(addresses)]
		if leader != "" {
			address, leader = leader, ""
		}
		var response ChangeResponse
		switch err := call(ctx, address, keys, Request{Change: raw}, &response); {
		case err != nil:
			failures = append(failures, err)
		case response.Version > 0:
			return response.Version, nil
		case len(response.Violations) > 0:
			return 0, &configuration.ValidationError{Violations: response.Violations}
		case response.Leader != "" && response.Leader != address:
			leader = response.Leader
			attempt-- // a redirect to the leader does not count as an attempt
		default:
			failures = append(failures, fmt.Errorf("%s: %s", address, response.Error))
		}
		failures = failures[:min(len(failures), 1+len(addresses))]
		allTried := attempt >= len(addresses)-1 && leader == ""
		if allTried && !sleep(ctx, minBackoff) || ctx.Err() != nil {
			return 0, errors.Join(append(failures, ctx.Err())...)
		}
	}
}

// FetchStatus requests the status of one control machine.
func FetchStatus(ctx context.Context, address string, keys peersync.Keys) (ReplicaStatus, error) {
	var status ReplicaStatus
	err := call(ctx, address, keys, Request{Status: &StatusRequest{}}, &status)
	return status, err
}

// call sends one request in a new session and decodes the response.
func call(ctx context.Context, address string, keys peersync.Keys, request Request, response any) error {
	session, closeSession, err := openSession(ctx, address, keys)
	if err != nil {
		return err
	}
	defer closeSession()
	if err := session.Send(Encode(request)); err != nil {
		return err
	}
	raw, err := session.Receive(MaxResponseBytes, responseTimeout)
	if err != nil {
		return err
	}
	return Decode(raw, response)
}

// openSession opens a session that is closed when the context ends, so that a blocked Send or Receive returns. The
// caller must call closeSession.
func openSession(ctx context.Context, address string, keys peersync.Keys) (session *peersync.Session, closeSession func(), err error) {
	opening, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if session, err = peersync.Open(opening, address, keys); err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	return session, func() {
		stop()
		_ = session.Close()
	}, nil
}

// sleep waits for the given time and reports whether it elapsed before the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
