// Package frame holds the binary frames that routers and servers exchange, and their words: frames are parsed in place, and
// appended to a buffer to be sent.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// The types of frames.
const (
	Request      = 10
	Answer       = 11
	Cancel       = 12 // nobody waits for a request any more: to dependencies, and from routers where the settings say so
	HealthCheck  = 20
	HealthStatus = 21
	GoAway       = 30 // no new request on this connection
)

// The codes that open an answer's payload.
const (
	Served    = 20
	Rejected  = 50 // it never ran
	Aborted   = 51 // it may have run
	Healthy   = Served
	Unhealthy = Aborted
)

// The names of fields in requests and health checks.
const (
	FieldRoute     = "op"
	FieldRequestID = "call"
	FieldSentMS    = "recv" // Unix milliseconds
	FieldTimeoutMS = "ttl"
	FieldHeldKB    = "heap"
	FieldRank      = "crit" // importance, from 0 to under 1
	FieldTenant    = "org"
	FieldKey       = "dedupe" // idempotency key
	FieldRouter    = "src"
	FieldDeep      = "e2e" // "1" asks for a deep health check
)

// The names of fields in answers.
const (
	FieldShedLevel        = "load"
	FieldRetryAfterMS     = "pushback"
	FieldNoRetryElsewhere = "stop" // "1"
)

// The layout of a frame: its length without these four bytes, type, stream, payload.
const (
	lengthBytes  = 4
	headBytes    = lengthBytes + 1 + 4
	minLength    = headBytes - lengthBytes
	maxLength    = 262_144
	maxNameBytes = 255 // of a field
)

// MaxBuffered is the longest frame, in bytes, that is ever put together in memory. A body has 2 KiB at most and fields are a
// few words, so no valid frame is longer; without the bound a router could have each of its connections hold maxLength. Longer
// frames of a legal length are skipped.
const MaxBuffered = 8 << 10

// What breaks the framing. The texts hold nothing from the peer, as events are counted by them.
var (
	ErrUnknownType = errors.New("unknown frame type") // or one that is not for this side
	errLength      = errors.New("length out of bounds")
	errFields      = errors.New("field list cut short")
)

// Frame is one frame. Its payload lies in the bytes it was parsed from.
type Frame struct {
	Type      byte
	Stream    uint32
	Payload   []byte
	SkipBytes int // of a frame longer than MaxBuffered: bytes behind its head that are to be skipped
}

// Parse takes the first frame off what a router wrote. Without a complete one, ok is false and nothing is taken.
func Parse(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return parse(read, Request, HealthCheck, Cancel)
}

// ParseAnswer takes the first frame off what a server wrote. Without a complete one, ok is false and nothing is taken.
func ParseAnswer(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return parse(read, Answer, GoAway)
}

func parse(read []byte, allowed ...byte) (f Frame, rest []byte, ok bool, err error) {
	if len(read) < lengthBytes {
		return f, read, false, nil
	}
	length := binary.BigEndian.Uint32(read)
	if length < minLength || length > maxLength {
		return f, read, false, errLength
	}
	if len(read) < headBytes {
		return f, read, false, nil
	}
	f.Type, f.Stream = read[lengthBytes], binary.BigEndian.Uint32(read[lengthBytes+1:])
	if bytes.IndexByte(allowed, f.Type) < 0 {
		return f, read, false, ErrUnknownType
	}
	total := lengthBytes + int(length)
	if total > MaxBuffered {
		f.SkipBytes = total - headBytes
		return f, read[headBytes:], true, nil
	}
	if len(read) < total {
		return f, read, false, nil
	}
	f.Payload = read[headBytes:total]
	return f, read[total:], true, nil
}

// AppendHead appends a frame's head, and its code and fields where its type has them. The body is not copied: the caller
// writes its bodyBytes right behind.
func AppendHead(to []byte, frameType byte, stream uint32, code byte, fields []Field, bodyBytes int) []byte {
	start := len(to)
	to = append(to, 0, 0, 0, 0, frameType)
	to = binary.BigEndian.AppendUint32(to, stream)
	if frameType == Answer || frameType == HealthStatus {
		to = append(to, code)
	}
	if frameType != GoAway && frameType != Cancel {
		to = appendFields(to, fields)
	}
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-lengthBytes+bodyBytes))
	return to
}
