package peersync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"quartzpoint/estimate"
)

// exchangeTimeout limits the duration of an exchange on both sides. Only a peer that is down or that sends slowly on
// purpose exceeds it.
const exchangeTimeout = 2 * time.Second

// Fetch fetches the snapshot of a running server. It adds the whole duration of the exchange to the snapshot's age,
// because it does not know how much of that time passed after the server sent the snapshot. A rejection is returned as
// a *RejectedError.
func Fetch(ctx context.Context, address string, keys Keys) (estimate.Snapshot, error) {
	started := time.Now()
	request := &snapshotRequest{clientHandshake: newClientHandshake(keys.first())}
	snapshot, err := exchange(ctx, address, request.hello(), request.handle)
	if err != nil {
		return estimate.Snapshot{}, fmt.Errorf("fetch estimates: %w", err)
	}
	return snapshot.Aged(time.Since(started)), nil
}

// RequestVote sends a ballot of 1 to 1024 bytes to a running server and returns its response. Both are authenticated
// with the first key; their contents are defined by the caller. A rejection is returned as a *RejectedError.
func RequestVote(ctx context.Context, address string, keys Keys, ballot []byte) ([]byte, error) {
	if len(ballot) == 0 || len(ballot) > maxBallot {
		return nil, fmt.Errorf("ballot of %d bytes, want 1 to %d: %w", len(ballot), maxBallot, ErrOutOfBounds)
	}
	request := &voteRequest{clientHandshake: newClientHandshake(keys.first()), ballot: ballot}
	response, err := exchange(ctx, address, request.hello(), request.handle)
	if err != nil {
		return nil, fmt.Errorf("request a vote: %w", err)
	}
	return *response, nil
}

// exchange connects to a server, sends the hello and passes received messages to handle until it returns a result.
func exchange[T any](
	ctx context.Context, address string, hello []byte, handle func(message) ([]byte, *T, error),
) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	// The end of the context closes the connection, so that a silent peer does not block the caller.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	var result *T
	if _, err = conn.Write(hello); err == nil {
		result, err = exchangeMessages(conn, handle)
	}
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, errors.Join(err, ctx.Err()))
	}
	return result, nil
}

// exchangeMessages reads messages and sends the frames that handle returns for them, until handle returns a result.
func exchangeMessages[T any](conn net.Conn, handle func(message) ([]byte, *T, error)) (*T, error) {
	var unread []byte
	chunk := make([]byte, maxFrame)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		for unread = append(unread, chunk[:n]...); ; {
			m, rest, complete, err := decodeFrame(unread)
			if err != nil {
				return nil, err
			}
			if !complete {
				break
			}
			unread = rest
			out, result, err := handle(m)
			if err != nil {
				return nil, err
			}
			if result != nil {
				return result, nil
			}
			if _, err := conn.Write(out); err != nil {
				return nil, fmt.Errorf("send: %w", err)
			}
		}
	}
}

// localAddressKey is the context key of the local address to dial from.
type localAddressKey struct{}

// WithLocalAddress returns a context with which connections are dialled from the given local address. Servers identify
// a client by its address, so one machine can act as many clients.
func WithLocalAddress(ctx context.Context, address net.Addr) context.Context {
	return context.WithValue(ctx, localAddressKey{}, address)
}

// dial opens a connection whose bytes are counted in ProcessTraffic.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if local, ok := ctx.Value(localAddressKey{}).(net.Addr); ok {
		dialer.LocalAddr = local
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	processTraffic.started.Add(1)
	return countedConn{conn}, nil
}
