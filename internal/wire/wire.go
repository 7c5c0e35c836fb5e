// Package wire reads batches and writes replies in the frames that the decision module is driven by.
//
// It knows the sizes, the codes and the byte order, and nothing of what a record means.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	batchHeader = 16
	eventSize   = 64
	actionSize  = 16
	replyHeader = 8
	// maxBatch is far above what the peer describes as long; past it the length is taken for damage.
	maxBatch = 1 << 30
)

// Codes of events.
const (
	EventConfigure  = 10
	EventArrive     = 20
	EventRunEnd     = 30
	EventAwaitCall  = 40
	EventCallEnd    = 50
	EventShutDown   = 60
	EventCancel     = 70
	EventGauges     = 80
	EventServerDown = 90
)

// Codes of actions. The two spaces are separate.
const (
	ActionStart              = 10
	ActionReject             = 20
	ActionAbort              = 30
	ActionPause              = 40
	ActionCall               = 50
	ActionSkipCall           = 60
	ActionRememberKey        = 70
	ActionForgetKey          = 80
	ActionAnswerFromOriginal = 90
	ActionSetHealth          = 100
	ActionSetShedLevel       = 110
	ActionCloseIdle          = 120
	ActionWakeAfter          = 130
	ActionLog                = 140
	ActionInternalError      = 150
)

// ErrTruncated marks a frame that ends before its header says.
var ErrTruncated = errors.New("frame cut short")

// Batch is one frame of events. Its memory is used again by the next Read.
type Batch struct {
	Clock   uint64
	Records int
	body    []byte
}

// Record is one event, code included.
type Record []byte

// U8 reads the byte at an offset.
func (r Record) U8(at int) uint8 { return r[at] }

// U16 reads two bytes at an offset.
func (r Record) U16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }

// U32 reads four bytes at an offset.
func (r Record) U32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }

// U64 reads eight bytes at an offset.
func (r Record) U64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }

// F32 reads a float of four bytes at an offset.
func (r Record) F32(at int) float64 { return float64(math.Float32frombits(r.U32(at))) }

// Record returns the event at a position.
func (b *Batch) Record(i int) Record { return Record(b.body[i*eventSize : (i+1)*eventSize]) }

// Tail returns the bytes that a record points to with an offset and a length.
func (b *Batch) Tail(offset, length uint32) ([]byte, error) {
	tail := b.body[b.Records*eventSize:]
	if uint64(offset)+uint64(length) > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d+%d lie outside the tail of %d", offset, length, len(tail))
	}
	return tail[offset : offset+length], nil
}

// Read takes the next batch off in. It returns io.EOF only between two frames.
func (b *Batch) Read(in *bufio.Reader) error {
	var head [batchHeader]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("header: %w", ErrTruncated)
		}
		return err
	}
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if size < 4 || size > maxBatch || uint64(count)*eventSize > uint64(size-4) {
		return fmt.Errorf("a frame of %d bytes can't hold %d records", size, count)
	}
	b.Clock = binary.LittleEndian.Uint64(head[:])
	b.Records = int(count)
	if need := int(size - 4); need <= cap(b.body) {
		b.body = b.body[:need]
	} else {
		b.body = make([]byte, need)
	}
	if _, err := io.ReadFull(in, b.body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("body: %w", ErrTruncated)
		}
		return err
	}
	return nil
}

// Reply gathers the actions of one frame. The zero value is ready; Flush empties it for the next.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Action is one record being filled.
type Action []byte

// Add appends a record with its code and the instance that acts; it is valid until the next Add.
func (r *Reply) Add(code uint8, who uint16) Action {
	var blank [actionSize]byte
	r.records = append(r.records, blank[:]...)
	r.count++
	a := Action(r.records[len(r.records)-actionSize:])
	a[0] = code
	binary.LittleEndian.PutUint16(a[1:], who)
	return a
}

// U64 sets eight bytes at an offset.
func (a Action) U64(at int, v uint64) { binary.LittleEndian.PutUint64(a[at:], v) }

// U32 sets four bytes at an offset.
func (a Action) U32(at int, v uint32) { binary.LittleEndian.PutUint32(a[at:], v) }

// F32 sets a float of four bytes at an offset.
func (a Action) F32(at int, v float64) { a.U32(at, math.Float32bits(float32(v))) }

// Bool sets one byte at an offset.
func (a Action) Bool(at int, v bool) {
	if v {
		a[at] = 1
	}
}

// Text adds a record whose words lie in the tail.
func (r *Reply) Text(code uint8, who uint16, words string) {
	a := r.Add(code, who)
	a.U32(3, uint32(len(r.tail)))
	a.U32(7, uint32(len(words)))
	r.tail = append(r.tail, words...)
}

// Flush writes the frame out and empties it.
func (r *Reply) Flush(out *bufio.Writer) error {
	var head [replyHeader]byte
	binary.LittleEndian.PutUint32(head[:], uint32(4+len(r.records)+len(r.tail)))
	binary.LittleEndian.PutUint32(head[4:], r.count)
	for _, part := range [][]byte{head[:], r.records, r.tail} {
		if _, err := out.Write(part); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
	r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0
	return out.Flush()
}
