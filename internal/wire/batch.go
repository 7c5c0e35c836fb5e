package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	batchHeaderBytes = 16
	eventBytes       = 64
	countBytes       = 4 // size of the count of records, which the size of a frame includes
	// maxBatchBytes is far above what the simulator sends; a frame with a larger size is treated as damaged.
	maxBatchBytes = 1 << 30
)

// ErrTruncated is the error of a frame that is shorter than its header states.
var ErrTruncated = errors.New("frame cut short")

// Batch is one frame of events. The next Read reuses its memory.
type Batch struct {
	Clock   time.Duration // the simulator's clock
	Records int
	body    []byte
}

// Read reads the next batch. It returns io.EOF only if the input ends between two frames, and an error that wraps
// ErrTruncated if it ends within one.
func (b *Batch) Read(in *bufio.Reader) error {
	var header [batchHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("header: %w", ErrTruncated)
		}
		return err
	}
	size := binary.LittleEndian.Uint32(header[8:])
	count := binary.LittleEndian.Uint32(header[12:])
	if size < countBytes || size > maxBatchBytes || uint64(count)*eventBytes > uint64(size-countBytes) {
		return fmt.Errorf("a frame of %d bytes can't hold %d records", size, count)
	}
	b.Clock = fromMicros(binary.LittleEndian.Uint64(header[:]))
	b.Records = int(count)
	if need := int(size - countBytes); need <= cap(b.body) {
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

// Record returns the event at an index below Records.
func (b *Batch) Record(index int) Record {
	return Record(b.body[index*eventBytes : (index+1)*eventBytes])
}

// text returns a part of the tail.
func (b *Batch) text(offset, length uint32) ([]byte, error) {
	tail := b.body[b.Records*eventBytes:]
	if uint64(offset)+uint64(length) > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d+%d lie outside the tail of %d", offset, length, len(tail))
	}
	return tail[offset : offset+length], nil
}

// Record is one event, including its code. It is valid until the next Read of its batch.
type Record []byte

func (r Record) u8(at int) uint8    { return r[at] }
func (r Record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r Record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r Record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r Record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }

// fromMicros converts microseconds to a duration.
func fromMicros[N uint32 | uint64](micros N) time.Duration {
	return time.Duration(micros) * time.Microsecond
}

// toMicros rounds a duration up to microseconds and limits it to the range of uint32.
func toMicros(d time.Duration) uint32 {
	micros := (d + time.Microsecond - 1) / time.Microsecond
	return uint32(min(max(micros, 0), math.MaxUint32))
}
