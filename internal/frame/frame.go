// Package frame encodes and parses the binary frames that routers and servers exchange, and defines the names and codes
// in them. Frames are parsed in place, and appended to a buffer for sending.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Types of frames.
const (
	Request      = 10
	Answer       = 11
	Cancel       = 12 // nobody waits for a request any longer: sent to dependencies, and by routers if the settings say so
	HealthCheck  = 20
	HealthStatus = 21
	GoAway       = 30 // no new requests on this connection
)

// Codes, the first byte in the payload of an answer or a health status.
const (
	Served    = 20
	Rejected  = 50 // the request never ran
	Aborted   = 51 // the request may have run
	Healthy   = Served
	Unhealthy = Aborted
)

// Names of fields in requests and health checks.
const (
	FieldRoute     = "op"
	FieldRequestID = "call"
	FieldSentMS    = "recv" // Unix milliseconds
	FieldTimeoutMS = "ttl"
	FieldQueuedKB  = "heap"
	FieldRank      = "crit" // criticality, from 0 to below 1
	FieldTenant    = "org"
	FieldKey       = "dedupe" // idempotency key
	FieldRouter    = "src"
	FieldDeep      = "e2e" // "1" asks for a deep health check
)

// Names of fields in answers.
const (
	FieldShedLevel        = "load"
	FieldRetryAfterMS     = "pushback"
	FieldNoRetryElsewhere = "stop" // "1" advises against a retry at another server
)

// Layout of a frame: length (4 bytes, which it does not include), type (1 byte), stream (4 bytes), payload.
const (
	lengthBytes  = 4
	headBytes    = lengthBytes + 1 + 4
	minLength    = headBytes - lengthBytes
	maxLength    = 262_144
	maxNameBytes = 255 // of a field
)

// MaxBuffered is the length, in bytes, of the longest frame that is assembled in memory. A body has at most 2 KiB and
// fields are a few words, so no valid frame is longer. Without this limit, a router could make each of its connections
// buffer maxLength. Longer frames of a valid length are skipped.
const MaxBuffered = 8 << 10

// Violations of the framing. The texts contain nothing from the peer, as events are counted by them.
var (
	ErrUnknownType = errors.New("unknown frame type") // or a type that this side does not receive
	errLength      = errors.New("length out of bounds")
	errFields      = errors.New("field list cut short")
)

// Frame is one frame. Its payload refers to the bytes from which it was parsed.
type Frame struct {
	Type      byte
	Stream    uint32
	Payload   []byte
	SkipBytes int // of a frame longer than MaxBuffered: number of bytes after its head to be skipped
}

// Parse parses the first frame of input, which a router wrote, and returns the bytes after it as rest. If there is no
// complete frame, ok is false and rest is the whole input.
func Parse(input []byte) (f Frame, rest []byte, ok bool, err error) {
	return parse(input, Request, HealthCheck, Cancel)
}

// ParseAnswer parses the first frame of input, which a server wrote, and returns the bytes after it as rest. If there is
// no complete frame, ok is false and rest is the whole input.
func ParseAnswer(input []byte) (f Frame, rest []byte, ok bool, err error) {
	return parse(input, Answer, GoAway)
}

func parse(input []byte, allowed ...byte) (f Frame, rest []byte, ok bool, err error) {
	if len(input) < lengthBytes {
		return f, input, false, nil
	}
	length := binary.BigEndian.Uint32(input)
	if length < minLength || length > maxLength {
		return f, input, false, errLength
	}
	if len(input) < headBytes {
		return f, input, false, nil
	}
	f.Type, f.Stream = input[lengthBytes], binary.BigEndian.Uint32(input[lengthBytes+1:])
	if bytes.IndexByte(allowed, f.Type) < 0 {
		return f, input, false, ErrUnknownType
	}
	total := lengthBytes + int(length)
	if total > MaxBuffered {
		f.SkipBytes = total - headBytes
		return f, input[headBytes:], true, nil
	}
	if len(input) < total {
		return f, input, false, nil
	}
	f.Payload = input[headBytes:total]
	return f, input[total:], true, nil
}

// AppendHead appends a frame's head, and its code and fields if its type has them. The body is not copied: the caller
// writes its bodyBytes right after the head.
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
