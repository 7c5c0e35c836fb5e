package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math"
)

const (
	replyHeaderBytes = 8
	actionBytes      = 16
)

// Reply collects the actions of one frame. The zero value is ready for use, and Flush empties it for the next frame.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// add appends a record, which is valid until the next add.
func (r *Reply) add(code ActionCode, server uint16) action {
	var blank [actionBytes]byte
	r.records = append(r.records, blank[:]...)
	r.count++
	a := action(r.records[len(r.records)-actionBytes:])
	a[0] = byte(code)
	binary.LittleEndian.PutUint16(a[1:], server)
	return a
}

// addText appends a record whose text is stored in the tail.
func (r *Reply) addText(code ActionCode, server uint16, text string) {
	a := r.add(code, server)
	a.putU32(3, uint32(len(r.tail)))
	a.putU32(7, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Flush writes the frame and empties the reply.
func (r *Reply) Flush(out *bufio.Writer) error {
	var header [replyHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:], uint32(countBytes+len(r.records)+len(r.tail)))
	binary.LittleEndian.PutUint32(header[4:], r.count)
	for _, part := range [][]byte{header[:], r.records, r.tail} {
		if _, err := out.Write(part); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
	r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0
	return out.Flush()
}

// action is one record of a reply.
type action []byte

func (a action) putU32(at int, v uint32)  { binary.LittleEndian.PutUint32(a[at:], v) }
func (a action) putU64(at int, v uint64)  { binary.LittleEndian.PutUint64(a[at:], v) }
func (a action) putF32(at int, v float64) { a.putU32(at, math.Float32bits(float32(v))) }

func (a action) putBool(at int, v bool) {
	if v {
		a[at] = 1
	}
}
