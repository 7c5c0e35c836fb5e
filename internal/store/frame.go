// Package store persists the state of a server in a directory, across crashes and power loss: snapshots of its
// estimates, and a log of its idempotency keys with snapshots of the key table. Package recovery decides which of that
// state is used after a restart. The package also stores the configuration.
//
// A file is a sequence of frames: magic (2 bytes), payload length (4), checksum (4), sequence number (8), payload;
// integers are little-endian. The first frame is the header, with sequence number 0. The last frame of a snapshot is a
// trailer that counts the frames between the header and itself.
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

// castagnoli is the table of CRC-32C. This checksum is certain to detect any single flipped bit and any burst error of
// up to 32 bits, which a hash detects only with high probability, and processors have an instruction for it.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of a frame. It also covers the id of the file, so that frames that an earlier file left
// in the same disk blocks do not match.
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

// readFrame reads the first frame of raw. If there is none or it is damaged, ok is false and rest is raw.
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
