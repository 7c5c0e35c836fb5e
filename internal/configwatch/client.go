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

// ErrUnavailable tells that no control machine said what became of a change. It may have been accepted all the same; the
// same change with the same id may be proposed again.
var ErrUnavailable = errors.New("configuration service not reached")

// responseTimeout is how long a machine may take to answer.
const responseTimeout = 10 * time.Second

// call has one talk with a machine.
func call(ctx context.Context, address string, keys peersync.Keys, request Request, answer any) error {
	opening, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := peersync.Open(opening, address, keys)
	if err != nil {
		return err
	}
	defer session.Close()
	defer context.AfterFunc(ctx, func() { session.Close() })()
	if err := session.Send(Encode(request)); err != nil {
		return err
	}
	raw, err := session.Receive(MaxResponseBytes, responseTimeout)
	if err != nil {
		return err
	}
	return Decode(raw, answer)
}

// Propose asks the machines, one after the other until the context ends, to accept a change, and gives the version that
// it became. The error is a *configuration.Refusal where it was refused, and ErrUnavailable where nobody could tell.
func Propose(ctx context.Context, addresses []string, keys peersync.Keys, change configuration.Change) (uint64, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return 0, fmt.Errorf("change: %w", err)
	}
	if len(raw) > configuration.MaxChangeBytes {
		return 0, &configuration.ValidationError{Violations: []configuration.Violation{{
			Key: "change", Value: fmt.Sprintf("%d bytes", len(raw)), Allowed: fmt.Sprintf("%d bytes at most are allowed", configuration.MaxChangeBytes),
		}}}
	}
	failed := []error{ErrUnavailable}
	leader := ""
	for tries := 0; ; tries++ {
		address := addresses[tries%len(addresses)]
		if leader != "" {
			address, leader = leader, ""
		}
		var outcome ChangeResponse
		switch err := call(ctx, address, keys, Request{Change: raw}, &outcome); {
		case err != nil:
			failed = append(failed, err)
		case outcome.Version > 0:
			return outcome.Version, nil
		case len(outcome.Violations) > 0:
			return 0, &configuration.ValidationError{Violations: outcome.Violations}
		case outcome.Leader != "" && outcome.Leader != address:
			leader = outcome.Leader
			tries--
		default:
			failed = append(failed, fmt.Errorf("%s: %s", address, outcome.Error))
		}
		failed = failed[:min(len(failed), 1+len(addresses))]
		if wait := tries >= len(addresses)-1 && leader == ""; wait && !sleep(ctx, minBackoff) || ctx.Err() != nil {
			return 0, errors.Join(append(failed, ctx.Err())...)
		}
	}
}

// FetchStatus asks one machine how it and its watchers stand.
func FetchStatus(ctx context.Context, address string, keys peersync.Keys) (status ReplicaStatus, err error) {
	err = call(ctx, address, keys, Request{Status: &StatusRequest{}}, &status)
	return status, err
}
