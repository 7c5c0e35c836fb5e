package peersync

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzpoint/estimate"
)

// snapshotRequest is the client's side of an exchange that fetches a snapshot.
type snapshotRequest struct {
	clientHandshake
	received bytes.Buffer
	parts    int
}

// handle processes a message. It returns the frame to send or, once all parts were received, the snapshot. The age that
// the server states is added to the ages in the snapshot.
func (r *snapshotRequest) handle(m message) (out []byte, snapshot *estimate.Snapshot, err error) {
	if handled, err := r.clientHandshake.handle(m); err != nil {
		return nil, nil, err
	} else if handled {
		return encodeFrame(message{Kind: kindSnapshotRequest, Proof: r.sign(labelSnapshotRequest)}), nil, nil
	}
	switch {
	case m.Kind == kindPart && r.serverNonce != nil && m.Number == r.parts+1 && len(m.Bytes) > 0:
		if r.received.Len()+len(m.Bytes) > maxSnapshot {
			return nil, nil, fmt.Errorf("snapshot of over %d bytes: %w", maxSnapshot, ErrOutOfBounds)
		}
		r.parts++
		r.received.Write(m.Bytes)
		return nil, nil, nil
	case m.Kind == kindEnd && r.serverNonce != nil:
		snapshot, err := r.finish(m)
		return nil, snapshot, err
	}
	return nil, nil, ErrUnexpectedMessage
}

// finish checks the received parts against the end message and decodes the snapshot.
func (r *snapshotRequest) finish(m message) (*estimate.Snapshot, error) {
	raw := r.received.Bytes()
	switch {
	case m.Size != len(raw):
		return nil, fmt.Errorf("snapshot of %d bytes, %d stated: %w", len(raw), m.Size, ErrDamaged)
	case m.Checksum != xxhash.Sum64(raw):
		return nil, fmt.Errorf("checksum of the snapshot: %w", ErrDamaged)
	case m.Age < 0:
		return nil, errors.New("snapshot has a negative age")
	case !r.verify(m.Proof, labelSnapshot, signedAge(m.Age), raw):
		return nil, fmt.Errorf("snapshot: %w", ErrBadProof)
	}
	snapshot, err := decodeSnapshot(raw)
	if err != nil {
		return nil, err
	}
	snapshot = snapshot.Aged(m.Age)
	return &snapshot, nil
}

// voteRequest is the client's side of an exchange that requests a vote.
type voteRequest struct {
	clientHandshake
	ballot []byte
}

// handle processes a message. It returns the frame to send, or the ballot of the response.
func (r *voteRequest) handle(m message) (out []byte, response *[]byte, err error) {
	if handled, err := r.clientHandshake.handle(m); err != nil {
		return nil, nil, err
	} else if handled {
		return encodeFrame(message{Kind: kindVoteRequest, Ballot: r.ballot, Proof: r.sign(labelVoteRequest, r.ballot)}), nil, nil
	}
	if m.Kind != kindVoteResponse || r.serverNonce == nil || len(m.Ballot) == 0 || len(m.Ballot) > maxBallot {
		return nil, nil, ErrUnexpectedMessage
	}
	if !r.verify(m.Proof, labelVoteResponse, m.Ballot) {
		return nil, nil, fmt.Errorf("response to a vote request: %w", ErrBadProof)
	}
	return nil, &m.Ballot, nil
}

// serverExchange is the server's side of an exchange.
type serverExchange struct {
	serverHandshake
	requestReceived bool // whether the client's request for a snapshot or a vote was received
}

// snapshotSource provides what the server needs to answer a request for a snapshot: the snapshot, nil if there is none;
// the time on the server's clock; and allow, which decides from the snapshot's size whether the client may have it.
type snapshotSource struct {
	snapshot *encodedSnapshot
	now      time.Duration
	allow    func(bytes int) (allowed bool, retryAfter time.Duration)
}

// handle processes a message. It returns the frames to send, or the ballot of an authenticated vote request, for which
// the caller must send a voteResponse.
func (e *serverExchange) handle(m message, keys Keys, source snapshotSource) (out [][]byte, ballot []byte, err error) {
	switch {
	case m.Kind == kindHello:
		challenge, err := e.serverHandshake.handle(m, keys)
		if err != nil {
			return nil, nil, err
		}
		return [][]byte{challenge}, nil, nil
	case m.Kind == kindSnapshotRequest && e.clientNonce != nil && !e.requestReceived:
		if !e.verify(m.Proof, labelSnapshotRequest) {
			return nil, nil, fmt.Errorf("client's %w", ErrBadProof)
		}
		e.requestReceived = true
		return e.serve(source), nil, nil
	case m.Kind == kindVoteRequest && e.clientNonce != nil && !e.requestReceived && len(m.Ballot) > 0 && len(m.Ballot) <= maxBallot:
		if !e.verify(m.Proof, labelVoteRequest, m.Ballot) {
			return nil, nil, fmt.Errorf("client's %w", ErrBadProof)
		}
		e.requestReceived = true
		return nil, m.Ballot, nil
	}
	return nil, nil, ErrUnexpectedMessage
}

// serve returns the frames of the snapshot, or of a rejection.
func (e *serverExchange) serve(source snapshotSource) (out [][]byte) {
	snapshot := source.snapshot
	if snapshot == nil {
		return [][]byte{rejectionFrame(reasonNothingYet, defaultRetryAfter)}
	}
	if allowed, retryAfter := source.allow(len(snapshot.bytes)); !allowed {
		return [][]byte{rejectionFrame(reasonTooOften, retryAfter)}
	}
	number := 0
	for rest := snapshot.bytes; len(rest) > 0; {
		number++
		size := min(len(rest), maxPart)
		out = append(out, encodeFrame(message{Kind: kindPart, Number: number, Bytes: rest[:size]}))
		rest = rest[size:]
	}
	age := max(source.now-snapshot.takenAt, 0)
	return append(out, encodeFrame(message{
		Kind: kindEnd, Size: len(snapshot.bytes), Checksum: snapshot.checksum, Age: age,
		Proof: e.sign(labelSnapshot, signedAge(age), snapshot.bytes),
	}))
}

// voteResponse returns the frame of the response to a vote request.
func (e *serverExchange) voteResponse(response []byte) []byte {
	return encodeFrame(message{Kind: kindVoteResponse, Ballot: response, Proof: e.sign(labelVoteResponse, response)})
}
