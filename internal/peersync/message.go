// Package peersync implements the protocol between the app servers of a fleet. A starting server fetches a snapshot of
// estimates from running servers (Fetch, Fetcher, Server), candidates request votes for leases from voters
// (RequestVote, Server.SetVoteHandler), and other packages send payloads over an authenticated connection (Session).
// Package estimate decides how much weight a snapshot gets, which peers are polled and which requests are allowed.
//
// Messages are CBOR in frames with a length prefix of 4 bytes, big-endian. An exchange has four steps on its own
// connection:
//
//	client                                        server
//	hello: client nonce, name of the key      ->
//	                                          <-  challenge: server nonce, proof over both nonces
//	snapshot request: proof over both nonces  ->
//	                                          <-  part 1..n, then end: size, checksum, age, proof over both nonces,
//	                                              the age and all parts
//
// Nonces are new for each connection, so the proofs of a recorded exchange are not valid in another one. The server may
// send a rejection in place of any of its messages. A snapshot with a missing or invalid part is dropped.
package peersync

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/estimate"
	"quartzpoint/internal/strictcbor"
)

// protocolVersion is the version of the protocol. Fields may be added without a new version, because servers that do
// not know them ignore them. A change that an older server would misinterpret needs a new version.
const protocolVersion = 1

// Size limits of the protocol, in bytes.
const (
	frameHeader = 4
	maxFrame    = 8 << 10
	maxPart     = 4 << 10  // of a snapshot or payload, per frame
	maxSnapshot = 64 << 10 // encoded
	maxBallot   = 1 << 10  // a vote request or its response
	nonceSize   = 16
)

// kind is the kind of a message, encoded as its number.
type kind int

const (
	kindHello kind = iota + 1
	kindChallenge
	kindSnapshotRequest
	kindPart
	kindEnd // follows the parts of a snapshot; the last part of a payload
	kindRejection
	kindVoteRequest // requests a vote for a lease; sent in place of kindSnapshotRequest
	kindVoteResponse
	kindSessionRequest // requests a session; sent in place of kindSnapshotRequest
)

// message is a message of any kind. Its fields are encoded under the numbers in their tags.
type message struct {
	Version    int           `cbor:"1,keyasint"`
	Kind       kind          `cbor:"2,keyasint"`
	Nonce      []byte        `cbor:"3,keyasint,omitempty"`
	KeyName    []byte        `cbor:"4,keyasint,omitempty"`
	Proof      []byte        `cbor:"5,keyasint,omitempty"`
	Number     int           `cbor:"6,keyasint,omitempty"` // of a part, from 1
	Bytes      []byte        `cbor:"7,keyasint,omitempty"` // of a part
	Size       int           `cbor:"8,keyasint,omitempty"` // of all parts
	Checksum   uint64        `cbor:"9,keyasint,omitempty"` // xxhash of all parts
	Age        time.Duration `cbor:"10,keyasint,omitempty"`
	Reason     string        `cbor:"11,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"12,keyasint,omitempty"`
	Ballot     []byte        `cbor:"13,keyasint,omitempty"`
}

// Reasons of rejections, as sent to the peer.
const (
	reasonNothingYet = "nothing seen yet"
	reasonTooOften   = "asked too often"
	reasonNoVoter    = "no lease here"
	reasonBadProof   = "proof is wrong"
	reasonUnknownKey = "key is not known here"
	reasonNoSession  = "no session was asked for"
)

const (
	maxReason         = 64          // bytes of a peer's reason that are used
	defaultRetryAfter = time.Second // sent with rejections that no limit causes
)

var (
	// ErrUnexpectedMessage reports a message that is not valid at this step of the exchange.
	ErrUnexpectedMessage = errors.New("unexpected message")
	// ErrBadProof reports that a peer did not prove that it has the key.
	ErrBadProof = errors.New("proof is wrong")
	// ErrUnknownKey reports that a peer uses a key that this server does not have.
	ErrUnknownKey = errors.New("key is not known here")
	// ErrDamaged reports a snapshot or payload whose size or checksum differs from what its sender stated.
	ErrDamaged = errors.New("size or checksum does not match")
	// ErrOutOfBounds reports a frame, snapshot, ballot or payload that is empty or larger than allowed.
	ErrOutOfBounds = errors.New("size out of bounds")
	// ErrIncomplete reports that the connection ended before the exchange was complete. A server that does not know a
	// client's key closes the connection, which causes this error at the client.
	ErrIncomplete = errors.New("connection ended early")
	// ErrNoEstimates reports that a peer has no estimates yet, or no recent ones.
	ErrNoEstimates = errors.New("peer has no recent estimates")
)

// RejectedError reports that a peer sent a rejection.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration // 0 if the peer states none
}

func (e *RejectedError) Error() string { return fmt.Sprintf("rejected: %q", e.Reason) }

// rejectionError returns the error for a rejection.
func (m message) rejectionError() error {
	return &RejectedError{Reason: m.Reason[:min(len(m.Reason), maxReason)], RetryAfter: max(m.RetryAfter, 0)}
}

// rejectionFrame returns the frame that rejects a peer's request.
func rejectionFrame(reason string, retryAfter time.Duration) []byte {
	return encodeFrame(message{Kind: kindRejection, Reason: reason, RetryAfter: retryAfter})
}

var decoder = strictcbor.NewDecMode(estimate.MaxPublishedRoutes, false)

// encodeFrame encodes a message as a frame.
func encodeFrame(m message) []byte {
	m.Version = protocolVersion
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // every message can be encoded
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// frameSize returns the size of a frame's message from the frame's header.
func frameSize(header []byte) (int, error) {
	size := binary.BigEndian.Uint32(header)
	if size == 0 || size > maxFrame {
		return 0, fmt.Errorf("frame of %d bytes, want 1 to %d: %w", size, maxFrame, ErrOutOfBounds)
	}
	return int(size), nil
}

// decodeFrame decodes the first frame of read and returns the bytes after it as rest. complete is false if read does
// not contain the whole frame yet. The message does not share memory with read.
func decodeFrame(read []byte) (m message, rest []byte, complete bool, err error) {
	if len(read) < frameHeader {
		return m, read, false, nil
	}
	size, err := frameSize(read)
	if err != nil {
		return m, read, false, err
	}
	if len(read) < frameHeader+size {
		return m, read, false, nil
	}
	if err := decoder.Unmarshal(read[frameHeader:frameHeader+size], &m); err != nil {
		return m, read, false, fmt.Errorf("decode message: %w", err)
	}
	if m.Version != protocolVersion {
		return m, read, false, fmt.Errorf("protocol version %d, want %d", m.Version, protocolVersion)
	}
	return m, read[frameHeader+size:], true, nil
}
