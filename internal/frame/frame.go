// Package frame holds the binary frames that routers and servers exchange: cutting them out of what was
// read, their fields in place, and building the frames that go back.
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
	Cancel       = 12 // nobody waits for a task any more: ours to dependencies, and routers' where a site tells of callers gone
	HealthCheck  = 20
	HealthStatus = 21
	GoAway       = 30 // no new task on this connection
)

// The codes that open an answer's payload.
const (
	Served    = 20
	Rejected  = 50
	Aborted   = 51
	Healthy   = Served // of health checks
	Unhealthy = Aborted
)

const (
	prefix    = 4
	head      = prefix + 1 + 4
	least     = head - prefix
	most      = 262_144
	mostField = 255
)

// MaxBuffered is the longest frame that is ever put together in memory. A body has 2 KiB at most and fields
// are a few words, so nothing that can be honoured is longer; without the bound a router could make each of
// its connections hold a quarter of a megabyte. Longer frames of a legal length are read past.
const MaxBuffered = 8 << 10

// What breaks the framing. The words carry nothing from the peer, as they are counted by.
var (
	errLength      = errors.New("length out of bounds")
	ErrUnknownType = errors.New("unknown frame type") // none of its type is taken here
	errFields      = errors.New("field list cut short")
)

// Frame is one frame. Its payload lies in the bytes it was cut from.
type Frame struct {
	Type      byte
	Stream    uint32
	Payload   []byte
	SkipBytes int // bytes of a frame longer than MaxBuffered that follow its head and are to be passed over
}

// Parse takes the first frame off what a router wrote. Without a whole one, ok is false and nothing is taken.
func Parse(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return cut(read, Request, HealthCheck, Cancel)
}

// ParseAnswer does the same for what a server wrote.
func ParseAnswer(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return cut(read, Answer, GoAway)
}

func cut(read []byte, taken ...byte) (f Frame, rest []byte, ok bool, err error) {
	if len(read) < prefix {
		return f, read, false, nil
	}
	length := binary.BigEndian.Uint32(read)
	if length < least || length > most {
		return f, read, false, errLength
	}
	if len(read) < head {
		return f, read, false, nil
	}
	f.Type, f.Stream = read[prefix], binary.BigEndian.Uint32(read[prefix+1:])
	if bytes.IndexByte(taken, f.Type) < 0 {
		return f, read, false, ErrUnknownType
	}
	whole := prefix + int(length)
	if whole > MaxBuffered {
		f.SkipBytes = whole - head
		return f, read[head:], true, nil
	}
	if len(read) < whole {
		return f, read, false, nil
	}
	f.Payload = read[head:whole]
	return f, read[whole:], true, nil
}

// Fields is a list of fields as it came, its count first.
type Fields []byte

// SplitPayload parts a payload into its fields and the body behind them, and sees that the list is whole.
func SplitPayload(payload []byte) (Fields, []byte, error) {
	if len(payload) == 0 {
		return nil, nil, errFields
	}
	at := 1
	for range payload[0] {
		_, _, next := field(payload, at)
		if next < 0 {
			return nil, nil, errFields
		}
		at = next
	}
	return Fields(payload[:at]), payload[at:], nil
}

// field reads the field at a place and tells where the next one begins, below zero where it is cut short.
func field(list []byte, at int) (name, value []byte, next int) {
	if at >= len(list) {
		return nil, nil, -1
	}
	nameEnd := at + 1 + int(list[at])
	if nameEnd+2 > len(list) {
		return nil, nil, -1
	}
	valueEnd := nameEnd + 2 + int(binary.BigEndian.Uint16(list[nameEnd:]))
	if valueEnd > len(list) {
		return nil, nil, -1
	}
	return list[at+1 : nameEnd], list[nameEnd+2 : valueEnd], valueEnd
}

// Get finds a field's value; of two with one name, the first.
func (f Fields) Get(wanted string) (value []byte, found bool) {
	for at, left := 1, int(f[0]); left > 0; left-- {
		name, value, next := field(f, at)
		if string(name) == wanted {
			return value, true
		}
		at = next
	}
	return nil, false
}

// Field is one to be written.
type Field struct{ Name, Value string }

// AppendHead appends a frame's head, and its code and fields where its type has them, to a buffer. The body is not
// copied: the caller writes its bytes right after these.
func AppendHead(to []byte, kind byte, stream uint32, code byte, fields []Field, body int) []byte {
	start := len(to)
	to = append(to, 0, 0, 0, 0, kind)
	to = binary.BigEndian.AppendUint32(to, stream)
	if kind == Answer || kind == HealthStatus {
		to = append(to, code)
	}
	if kind != GoAway && kind != Cancel {
		to = append(to, byte(len(fields)))
		for _, f := range fields {
			name := f.Name[:min(len(f.Name), mostField)]
			to = append(append(to, byte(len(name))), name...)
			to = append(binary.BigEndian.AppendUint16(to, uint16(len(f.Value))), f.Value...)
		}
	}
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-prefix+body))
	return to
}
