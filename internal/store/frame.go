// Package store keeps what a server knows in a directory, across crashes and power loss: snapshots of its estimates, and
// a log of its idempotency keys with snapshots of their table. It carries out what package recovery decides.
//
// A file is a row of frames: magic (2 bytes), length of the payload (4), checksum (4), sequence (8), payload; integers are
// little-endian. The first frame is the header, with sequence 0. A snapshot closes with a trailer that counts the frames
// between the two.
package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	frameHeaderBytes = 18
	maxFrameBytes    = 256 << 10
)

var magic = [2]byte{0xC5, 'q'}

// castagnoli is the polynomial of CRC-32C. It finds every flipped bit and every burst of up to 32 bits with certainty,
// where a hash finds them by chance, and processors compute it.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the file's id too, so that frames left by an earlier file in the same disk blocks do not match.
func checksum(id, sequence uint64, payload []byte) uint32 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[:], id)
	binary.LittleEndian.PutUint64(head[8:], sequence)
	binary.LittleEndian.PutUint32(head[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendFrame appends a frame whose payload is the CBOR encoding of value.
func appendFrame(to []byte, id, sequence uint64, value any) []byte {
	payload, err := cbor.Marshal(value)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // a type of this package that cannot be encoded is a programming error
	}
	to = append(to, magic[:]...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, checksum(id, sequence, payload))
	to = binary.LittleEndian.AppendUint64(to, sequence)
	return append(to, payload...)
}

// readFrame reads the frame that raw begins with. ok is false if there is none, or it is damaged; rest is then raw.
func readFrame(raw []byte, id uint64) (sequence uint64, payload, rest []byte, ok bool) {
	if len(raw) < frameHeaderBytes || raw[0] != magic[0] || raw[1] != magic[1] {
		return 0, nil, raw, false
	}
	size := binary.LittleEndian.Uint32(raw[2:])
	if size > maxFrameBytes || int(size) > len(raw)-frameHeaderBytes {
		return 0, nil, raw, false
	}
	sequence = binary.LittleEndian.Uint64(raw[10:])
	payload = raw[frameHeaderBytes : frameHeaderBytes+size]
	if checksum(id, sequence, payload) != binary.LittleEndian.Uint32(raw[6:]) {
		return 0, nil, raw, false
	}
	return sequence, payload, raw[frameHeaderBytes+int(size):], true
}
