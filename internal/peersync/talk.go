// Package peersync carries views of what servers have learned from those that run to those that begin. It
// decides nothing: what a view is worth, whom to ask and whom to answer is package knowledge's.
//
// A talk is four steps over one connection, in frames of a length (4 bytes, big-endian) and a CBOR message:
//
//	asker                          giver
//	hello: nonce A, key's name  ->
//	                            <- challenge: nonce B, proof of the key over A and B
//	ask: proof over B and A     ->
//	                            <- part 1..n, then end: size, checksum, proof over A, B, age and all parts
//
// Nonces are new with each talk, so a recorded one proves nothing. Instead of any step a refusal may come. A
// view of which anything is missing or wrong is dropped whole.
package peersync

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"quartzpoint/estimate"
	"quartzpoint/internal/strictcbor"
)

// Version is that of the protocol. Fields may be added under it, and are skipped by those that don't know
// them; whatever would be misread raises it.
const Version = 1

const (
	mostFrame  = 8 << 10  // bytes of a frame
	mostPart   = 4 << 10  // bytes of a view in a frame
	mostView   = 64 << 10 // bytes of a view
	nonceSize  = 16
	mostBallot = 1 << 10 // bytes of a vote or its answer
	leastKey   = 16      // bytes
)

type kind int

const (
	hello kind = iota + 1
	challenge
	ask
	part
	end
	refusal
	vote    // an ask for a lease, in the place of ask
	voted   // the answer to it
	session // an ask for a session, in the place of ask
)

// message is any step of a talk.
type message struct {
	Version  int           `cbor:"1,keyasint"`
	Kind     kind          `cbor:"2,keyasint"`
	Nonce    []byte        `cbor:"3,keyasint,omitempty"`
	Key      []byte        `cbor:"4,keyasint,omitempty"` // name of the key, not the key
	Proof    []byte        `cbor:"5,keyasint,omitempty"`
	Number   int           `cbor:"6,keyasint,omitempty"` // of a part, from 1
	Bytes    []byte        `cbor:"7,keyasint,omitempty"`
	Size     int           `cbor:"8,keyasint,omitempty"` // of the whole view
	Sum      uint64        `cbor:"9,keyasint,omitempty"` // xxhash of the whole view
	Held     time.Duration `cbor:"10,keyasint,omitempty"`
	Why      string        `cbor:"11,keyasint,omitempty"`
	ComeBack time.Duration `cbor:"12,keyasint,omitempty"`
	Ballot   []byte        `cbor:"13,keyasint,omitempty"` // of a vote or its answer; package lease reads it
}

var decoding = strictcbor.Decoding(estimate.MaxPublishedRoutes, false)

// pack makes a frame of a message.
func pack(m message) []byte {
	m.Version = Version
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // every message has a form
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// cut takes the first frame off what was read; ok is false while it is not whole. The message points into
// nothing of it.
func cut(read []byte) (m message, rest []byte, ok bool, err error) {
	if len(read) < 4 {
		return m, read, false, nil
	}
	size := binary.BigEndian.Uint32(read)
	if size == 0 || size > mostFrame {
		return m, read, false, fmt.Errorf("frame of %d bytes, %d at most", size, mostFrame)
	}
	if len(read) < 4+int(size) {
		return m, read, false, nil
	}
	if err := decoding.Unmarshal(read[4:4+size], &m); err != nil {
		return m, read, false, fmt.Errorf("message: %w", err)
	}
	if m.Version != Version {
		return m, read, false, fmt.Errorf("version %d of the protocol, and %d here", m.Version, Version)
	}
	return m, read[4+size:], true, nil
}

// Keys are the shared secrets by which servers know each other. The first is used to ask; all are accepted, so
// that one can be changed while servers run. Without any, all are taken at their word.
type Keys [][]byte

func sign(key []byte, of string, parts ...[]byte) []byte {
	if key == nil {
		return nil
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(of))
	for _, p := range parts {
		mac.Write(p)
	}
	return mac.Sum(nil)
}

// proven tells whether a proof is that of the key. Without a key there must be none.
func proven(proof, key []byte, of string, parts ...[]byte) bool {
	return hmac.Equal(proof, sign(key, of, parts...))
}

const nameSize = 8

func name(key []byte) []byte {
	if key == nil {
		return nil
	}
	return sign(key, "name")[:nameSize]
}

func (k Keys) first() []byte {
	if len(k) == 0 {
		return nil
	}
	return k[0]
}

// named finds a key by its name.
func (k Keys) named(as []byte) (key []byte, known bool) {
	if len(k) == 0 {
		return nil, len(as) == 0
	}
	for _, key := range k {
		if hmac.Equal(as, name(key)) {
			return key, true
		}
	}
	return nil, false
}

// held is an age as it is signed.
func held(age time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(age)) }

// packed is a view as it is sent, made once for all that ask.
type packed struct {
	bytes []byte
	sum   uint64
	taken time.Duration
}

func packView(snapshot estimate.Snapshot, taken time.Duration) (*packed, error) {
	raw, err := cbor.Marshal(snapshot.Published())
	if err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	if len(raw) > mostView {
		return nil, fmt.Errorf("view of %d bytes, %d at most", len(raw), mostView)
	}
	return &packed{raw, xxhash.Sum64(raw), taken}, nil
}

// EncodedSize is the number of bytes that a view takes on the way, without its frames.
func EncodedSize(snapshot estimate.Snapshot) int {
	made, err := packView(snapshot, 0)
	if err != nil {
		return 0
	}
	return len(made.bytes)
}

func unpackView(raw []byte) (snapshot estimate.Snapshot, err error) {
	if err := decoding.Unmarshal(raw, &snapshot); err != nil {
		return estimate.Snapshot{}, fmt.Errorf("view: %w", err)
	}
	return snapshot, nil
}

// errSequence tells that a step came that the talk has no place for.
var errSequence = errors.New("message out of its place")

// gives is the giver's side of a talk.
type gives struct {
	nonce  []byte
	key    []byte
	theirs []byte // nonce
	done   bool
	ballot []byte // of a proven vote, to be answered
}

// step takes a message and returns what is to be sent. allow is asked, with the bytes, once the asker has
// proven itself; it says no with a refusal.
func (g *gives) step(m message, keys Keys, view *packed, now time.Duration, allow func(int) (bool, time.Duration)) (
	[][]byte, error,
) {
	switch {
	case m.Kind == hello && g.theirs == nil && len(m.Nonce) == nonceSize:
		key, known := keys.named(m.Key)
		if !known {
			return nil, errors.New("asker's key is not known here")
		}
		g.key, g.theirs = key, m.Nonce
		return [][]byte{pack(message{
			Kind: challenge, Nonce: g.nonce, Proof: sign(key, "giver", g.theirs, g.nonce),
		})}, nil
	case m.Kind == ask && g.theirs != nil && !g.done:
		if !proven(m.Proof, g.key, "asker", g.nonce, g.theirs) {
			return nil, errors.New("asker's proof is wrong")
		}
		g.done = true
		if view == nil {
			return [][]byte{pack(message{Kind: refusal, Why: "nothing seen yet", ComeBack: time.Second})}, nil
		}
		if given, comeBack := allow(len(view.bytes)); !given {
			return [][]byte{pack(message{Kind: refusal, Why: "asked too often", ComeBack: comeBack})}, nil
		}
		return g.answer(view, now), nil
	case m.Kind == vote && g.theirs != nil && !g.done && len(m.Ballot) > 0 && len(m.Ballot) <= mostBallot:
		if !proven(m.Proof, g.key, "vote", g.nonce, g.theirs, m.Ballot) {
			return nil, errors.New("asker's proof is wrong")
		}
		g.done, g.ballot = true, m.Ballot
		return nil, nil
	}
	return nil, errSequence
}

// voted is the frame that answers the ballot of a talk.
func (g *gives) voted(answer []byte) []byte {
	return pack(message{Kind: voted, Ballot: answer, Proof: sign(g.key, "voted", g.theirs, g.nonce, answer)})
}

func (g *gives) answer(view *packed, now time.Duration) (out [][]byte) {
	number := 0
	for rest := view.bytes; len(rest) > 0; {
		number++
		size := min(len(rest), mostPart)
		out = append(out, pack(message{Kind: part, Number: number, Bytes: rest[:size]}))
		rest = rest[size:]
	}
	age := max(now-view.taken, 0)
	return append(out, pack(message{
		Kind: end, Size: len(view.bytes), Sum: view.sum, Held: age,
		Proof: sign(g.key, "view", g.theirs, g.nonce, held(age), view.bytes),
	}))
}

// RejectedError is an answer without a view.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (r *RejectedError) Error() string { return fmt.Sprintf("refused: %q", r.Reason) }

// asks is the asker's side of a talk.
type asks struct {
	key    []byte
	nonce  []byte
	theirs []byte
	view   bytes.Buffer
	parts  int
}

// opening takes what every talk of an asker begins with, a refusal or the giver's challenge, and says whether m
// was one of them; after a challenge it is the asker's turn.
func (a *asks) opening(m message) (bool, error) {
	switch {
	case m.Kind == refusal:
		return true, &RejectedError{m.Why[:min(len(m.Why), 64)], max(m.ComeBack, 0)}
	case m.Kind == challenge && a.theirs == nil && len(m.Nonce) == nonceSize:
		if !proven(m.Proof, a.key, "giver", a.nonce, m.Nonce) {
			return true, errors.New("peer's proof is wrong")
		}
		a.theirs = m.Nonce
		return true, nil
	}
	return false, nil
}

// newAsks begins a talk under a key.
func newAsks(key []byte) *asks {
	a := &asks{key: key, nonce: make([]byte, nonceSize)}
	_, _ = rand.Read(a.nonce) // never fails
	return a
}

func (a *asks) begin() []byte { return pack(message{Kind: hello, Nonce: a.nonce, Key: name(a.key)}) }

// step takes a message and returns what is to be sent, or the whole view, which is older by what it was held
// than it says.
func (a *asks) step(m message) (out []byte, view *estimate.Snapshot, err error) {
	if opened, err := a.opening(m); opened {
		if err != nil {
			return nil, nil, err
		}
		return pack(message{Kind: ask, Proof: sign(a.key, "asker", a.theirs, a.nonce)}), nil, nil
	}
	switch {
	case m.Kind == part && a.theirs != nil && m.Number == a.parts+1 && len(m.Bytes) > 0:
		if a.view.Len()+len(m.Bytes) > mostView {
			return nil, nil, fmt.Errorf("view of over %d bytes", mostView)
		}
		a.parts++
		a.view.Write(m.Bytes)
		return nil, nil, nil
	case m.Kind == end && a.theirs != nil:
		raw := a.view.Bytes()
		switch {
		case m.Size != len(raw):
			return nil, nil, fmt.Errorf("view of %d bytes, %d stated", len(raw), m.Size)
		case m.Sum != xxhash.Sum64(raw):
			return nil, nil, errors.New("checksum of the view is wrong")
		case m.Held < 0:
			return nil, nil, errors.New("view from the future")
		case !proven(m.Proof, a.key, "view", a.nonce, a.theirs, held(m.Held), raw):
			return nil, nil, errors.New("proof of the view is wrong")
		}
		snapshot, err := unpackView(raw)
		if err != nil {
			return nil, nil, err
		}
		snapshot = snapshot.Aged(m.Held)
		return nil, &snapshot, nil
	}
	return nil, nil, errSequence
}

// votes is the asker's side of a talk that asks for a lease.
type votes struct {
	*asks  // its opening, and nothing of a view
	ballot []byte
}

// step takes a message and returns what is to be sent, or the proven answer.
func (v *votes) step(m message) (out []byte, answer *[]byte, err error) {
	if opened, err := v.opening(m); opened {
		if err != nil {
			return nil, nil, err
		}
		return pack(message{Kind: vote, Ballot: v.ballot, Proof: sign(v.key, "vote", v.theirs, v.nonce, v.ballot)}), nil, nil
	}
	if m.Kind != voted || v.theirs == nil || len(m.Ballot) == 0 || len(m.Ballot) > mostBallot {
		return nil, nil, errSequence
	}
	if !proven(m.Proof, v.key, "voted", v.nonce, v.theirs, m.Ballot) {
		return nil, nil, errors.New("proof of the answer is wrong")
	}
	return nil, &m.Ballot, nil
}
