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
	Task    = 10
	Answer  = 11
	Cancel  = 12 // nobody waits for a task any more: ours to dependencies, and routers' where a site tells of callers gone
	Check   = 20
	Checked = 21
	Close   = 30 // no new task on this connection
)

// The codes that open an answer's payload.
const (
	Honoured  = 20
	Dismissed = 50
	GivenUp   = 51
	Good      = Honoured // of health checks
	Bad       = GivenUp
)

const (
	prefix    = 4
	head      = prefix + 1 + 4
	least     = head - prefix
	most      = 262_144
	mostField = 255
)

// MostWhole is the longest frame that is ever put together in memory. A body has 2 KiB at most and fields
// are a few words, so nothing that can be honoured is longer; without the bound a router could make each of
// its connections hold a quarter of a megabyte. Longer frames of a legal length are read past.
const MostWhole = 8 << 10

// What breaks the framing. The words carry nothing from the peer, as they are counted by.
var (
	errLength = errors.New("length out of bounds")
	ErrType   = errors.New("unknown frame type") // none of its type is taken here
	errFields = errors.New("field list cut short")
)

// Frame is one frame. Its payload lies in the bytes it was cut from.
type Frame struct {
	Type    byte
	Stream  uint32
	Payload []byte
	Beyond  int // bytes of a frame longer than MostWhole that follow its head and are to be passed over
}

// Cut takes the first frame off what a router wrote. Without a whole one, ok is false and nothing is taken.
func Cut(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return cut(read, Task, Check, Cancel)
}

// CutAnswer does the same for what a server wrote.
func CutAnswer(read []byte) (f Frame, rest []byte, ok bool, err error) {
	return cut(read, Answer, Close)
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
		return f, read, false, ErrType
	}
	whole := prefix + int(length)
	if whole > MostWhole {
		f.Beyond = whole - head
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

// Split parts a payload into its fields and the body behind them, and sees that the list is whole.
func Split(payload []byte) (Fields, []byte, error) {
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

// Begin appends a frame's head, and its code and fields where its type has them, to a buffer. The body is not
// copied: the caller writes its bytes right after these.
func Begin(to []byte, kind byte, stream uint32, code byte, fields []Field, body int) []byte {
	start := len(to)
	to = append(to, 0, 0, 0, 0, kind)
	to = binary.BigEndian.AppendUint32(to, stream)
	if kind == Answer || kind == Checked {
		to = append(to, code)
	}
	if kind != Close && kind != Cancel {
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
