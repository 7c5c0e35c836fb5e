// Package peersync is the protocol between app servers of a fleet. A starting server fetches a snapshot of estimates from
// running ones (Fetch, Fetcher, Server), candidates ask voters for leases (RequestVote, Server.SetVoteHandler), and other
// packages send payloads over an authenticated connection (Session). What a snapshot is worth, which peers are polled and
// which requests are allowed is decided by package estimate.
//
// Messages are CBOR in frames with a length of 4 bytes, big-endian. An exchange has four steps on a connection of its own:
//
//	client                                      server
//	hello: client nonce, name of the key    ->
//	                                        <-  challenge: server nonce, proof over both nonces
//	ask: proof over both nonces             ->
//	                                        <-  part 1..n, then end: size, checksum, age, proof over all of it
//
// Nonces are new for each connection, so a recorded exchange proves nothing. A refusal may come instead of any step. A
// snapshot of which anything is missing or wrong is dropped.
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

// protocolVersion is that of the protocol. Fields may be added to a version, as those that don't know them skip them. A change that
// an older server would misread needs a new version.
const protocolVersion = 1

// Bounds of the protocol, in bytes.
const (
	frameHeader = 4
	maxFrame    = 8 << 10
	maxPart     = 4 << 10  // of a snapshot or a payload in one frame
	maxSnapshot = 64 << 10 // encoded
	maxBallot   = 1 << 10  // a vote request or its response
	nonceSize   = 16
)

// kind is a kind of message, by its number on the wire.
type kind int

const (
	kindHello kind = iota + 1
	kindChallenge
	kindAsk // for a snapshot
	kindPart
	kindEnd // the last part
	kindRejection
	kindVote    // for a lease, instead of kindAsk
	kindVoted   // the response to kindVote
	kindSession // for a session, instead of kindAsk
)

// message is any message of the protocol. Its fields are encoded by the numbers in their tags.
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

// Reasons of a refusal, as they are sent.
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
	defaultRetryAfter = time.Second // stated in a refusal that no limit causes
)

var (
	// ErrUnexpectedMessage means that a message came which the exchange has no place for.
	ErrUnexpectedMessage = errors.New("unexpected message")
	// ErrBadProof means that a peer did not prove that it has the key.
	ErrBadProof = errors.New("proof is wrong")
	// ErrUnknownKey means that a peer uses a key that this server does not have.
	ErrUnknownKey = errors.New("key is not known here")
	// ErrDamaged means that a payload is not what its sender states.
	ErrDamaged = errors.New("size or checksum is wrong")
	// ErrOutOfBounds means that a frame, snapshot, ballot or payload is empty or larger than allowed.
	ErrOutOfBounds = errors.New("size out of bounds")
	// ErrIncomplete means that the connection ended before the exchange did. A server that does not know a client's key ends
	// it so.
	ErrIncomplete = errors.New("connection ended early")
	// ErrNoEstimates means that a peer has not learned anything yet, or nothing that is recent.
	ErrNoEstimates = errors.New("peer has no recent estimates")
)

// RejectedError is a peer's refusal.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration // 0 where the peer states none
}

func (e *RejectedError) Error() string { return fmt.Sprintf("rejected: %q", e.Reason) }

// rejectionError is the error that a refusal stands for.
func (m message) rejectionError() error {
	return &RejectedError{Reason: m.Reason[:min(len(m.Reason), maxReason)], RetryAfter: max(m.RetryAfter, 0)}
}

// rejectionFrame is the frame that refuses a peer.
func rejectionFrame(reason string, retryAfter time.Duration) []byte {
	return encodeFrame(message{Kind: kindRejection, Reason: reason, RetryAfter: retryAfter})
}

var decoder = strictcbor.NewDecMode(estimate.MaxPublishedRoutes, false)

// encodeFrame returns a message as a frame.
func encodeFrame(m message) []byte {
	m.Version = protocolVersion
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // a message always has an encoding
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// frameSize returns the size of the message in a frame, from the frame's header.
func frameSize(header []byte) (int, error) {
	size := binary.BigEndian.Uint32(header)
	if size == 0 || size > maxFrame {
		return 0, fmt.Errorf("frame of %d bytes, 1 to %d allowed: %w", size, maxFrame, ErrOutOfBounds)
	}
	return int(size), nil
}

// decodeFrame takes the first frame off read; complete is false while there is more of it to come. The message does not
// share memory with read.
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
		return m, read, false, fmt.Errorf("message: %w", err)
	}
	if m.Version != protocolVersion {
		return m, read, false, fmt.Errorf("version %d of the protocol, and %d here", m.Version, protocolVersion)
	}
	return m, read[frameHeader+size:], true, nil
}
