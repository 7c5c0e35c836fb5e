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

// ErrNotReached tells that no control machine said what became of a change. It may have been accepted all the same; the
// same change with the same id may be proposed again.
var ErrNotReached = errors.New("configuration service not reached")

// answerWait is how long a machine may take to answer.
const answerWait = 10 * time.Second

// ask has one talk with a machine.
func ask(ctx context.Context, address string, keys peersync.Keys, request Request, answer any) error {
	opening, cancel := context.WithTimeout(ctx, openWait)
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
	raw, err := session.Receive(MaxAnswer, answerWait)
	if err != nil {
		return err
	}
	return Decode(raw, answer)
}

// Propose asks the machines, one after the other until the context ends, to accept a change, and gives the version that
// it became. The error is a *configuration.Refusal where it was refused, and ErrNotReached where nobody could tell.
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
	failed := []error{ErrNotReached}
	leader := ""
	for tries := 0; ; tries++ {
		address := addresses[tries%len(addresses)]
		if leader != "" {
			address, leader = leader, ""
		}
		var outcome Outcome
		switch err := ask(ctx, address, keys, Request{Change: raw}, &outcome); {
		case err != nil:
			failed = append(failed, err)
		case outcome.Version > 0:
			return outcome.Version, nil
		case len(outcome.Faults) > 0:
			return 0, &configuration.ValidationError{Violations: outcome.Faults}
		case outcome.Leader != "" && outcome.Leader != address:
			leader = outcome.Leader
			tries--
		default:
			failed = append(failed, fmt.Errorf("%s: %s", address, outcome.Failed))
		}
		failed = failed[:min(len(failed), 1+len(addresses))]
		if wait := tries >= len(addresses)-1 && leader == ""; wait && !sleep(ctx, firstPause) || ctx.Err() != nil {
			return 0, errors.Join(append(failed, ctx.Err())...)
		}
	}
}

// AskStatus asks one machine how it and its watchers stand.
func AskStatus(ctx context.Context, address string, keys peersync.Keys) (status MachineStatus, err error) {
	err = ask(ctx, address, keys, Request{Status: &Status{}}, &status)
	return status, err
}
