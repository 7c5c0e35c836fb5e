// Package store keeps what a server knows in a folder, through crashes and power loss: snapshots of what was learned,
// and a log of numbered tasks with snapshots of their table. It carries out what package recovery decides.
//
// A file is a row of frames: magic (2 bytes), length of the payload (4), checksum (4), sequence (8), payload; numbers are
// little-endian. The first frame is the header, with sequence 0. Snapshots close with a frame that counts the others.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/estimate"
	"quartzpoint/internal/strictcbor"
	"quartzpoint/recovery"
)

const (
	frameHeaderBytes = 18
	maxFrameBytes    = 256 << 10
	// maxResultBytes bounds what is kept of one result: repeats of a number with a larger one are given up on after a
	// restart, and still not run.
	maxResultBytes = 64 << 10
	maxKeyBytes    = 8 << 10
)

var magic = [2]byte{0xC5, 'q'}

// castagnoli is the polynomial of CRC-32C: it finds every flipped bit and every burst of up to 32 for sure, where a hash
// finds them by chance, and the processor computes it.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// trailer closes a snapshot.
type trailer struct {
	Frames uint64 `cbor:"1,keyasint"`
}

var decoding = strictcbor.Decoding(estimate.MaxPublishedRoutes, true) // numbers are callers' own bytes

// checksum is over the file's id too: what an earlier file left in the same blocks is no record of this one.
func checksum(id, seq uint64, payload []byte) uint32 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[:], id)
	binary.LittleEndian.PutUint64(head[8:], seq)
	binary.LittleEndian.PutUint32(head[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendFrame adds a frame of what has a CBOR form.
func appendFrame(to []byte, id, seq uint64, what any) []byte {
	payload, err := cbor.Marshal(what)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // all that is written has a form
	}
	to = append(to, magic[:]...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, checksum(id, seq, payload))
	to = binary.LittleEndian.AppendUint64(to, seq)
	return append(to, payload...)
}

// readFrame takes a frame off; ok is false where there is none, or none that is whole.
func readFrame(raw []byte, id uint64) (seq uint64, payload, rest []byte, ok bool) {
	if len(raw) < frameHeaderBytes || raw[0] != magic[0] || raw[1] != magic[1] {
		return 0, nil, raw, false
	}
	size := binary.LittleEndian.Uint32(raw[2:])
	if size > maxFrameBytes || int(size) > len(raw)-frameHeaderBytes {
		return 0, nil, raw, false
	}
	seq = binary.LittleEndian.Uint64(raw[10:])
	payload = raw[frameHeaderBytes : frameHeaderBytes+size]
	if checksum(id, seq, payload) != binary.LittleEndian.Uint32(raw[6:]) {
		return 0, nil, raw, false
	}
	return seq, payload, raw[frameHeaderBytes+int(size):], true
}

var errNoHeader = errors.New("no whole header")

// readHeader takes the header off a file's bytes.
func readHeader(raw []byte) (h recovery.Header, rest []byte, err error) {
	seq, payload, rest, ok := readFrame(raw, 0)
	if !ok || seq != 0 {
		return h, raw, errNoHeader
	}
	if err := cbor.Unmarshal(payload, &h); err != nil { // not strict: a newer version may say more
		return h, raw, fmt.Errorf("header: %w", err)
	}
	return h, rest, nil
}

// parseFile makes what was found of a file's bytes. Nothing of it points into them.
func parseFile(name string, raw []byte) recovery.File {
	f := recovery.File{Name: name}
	h, rest, err := readHeader(raw)
	if err != nil {
		f.Why = err.Error()
		return f
	}
	if f.Header = h; h.Version > recovery.FormatVersion {
		return f // recovery says that it is not known
	}
	if h.Content == recovery.KeyLogFile {
		parseLog(&f, raw, rest)
	} else {
		parseSnapshot(&f, raw, rest)
	}
	return f
}

func parseRecord(seq uint64, payload []byte) (r recovery.Record, ok bool) {
	if decoding.Unmarshal(payload, &r) != nil || r.Key == "" || r.Kind != recovery.KeyStarted && r.Kind != recovery.KeyFinished {
		return r, false
	}
	r.Sequence = seq
	return r, true
}

func parseLog(f *recovery.File, raw, rest []byte) {
	id, next := f.Header.ID, f.Header.Sequence
	for len(rest) > 0 {
		seq, payload, after, ok := readFrame(rest, id)
		if !ok || seq != next {
			break
		}
		r, ok := parseRecord(seq, payload)
		if !ok {
			break
		}
		f.Records = append(f.Records, r)
		rest, next = after, next+1
	}
	f.CompleteBytes, f.Complete = int64(len(raw)-len(rest)), len(rest) == 0
	for len(rest) > 0 { // on to the next frame that is whole, wherever it begins
		if seq, payload, after, ok := readFrame(rest, id); ok && seq >= next {
			if r, ok := parseRecord(seq, payload); ok {
				f.Salvaged = append(f.Salvaged, r)
				rest, next = after, seq+1
				continue
			}
		}
		begins := bytes.Index(rest[1:], magic[:])
		if begins < 0 {
			return
		}
		rest = rest[1+begins:]
	}
}

func parseSnapshot(f *recovery.File, raw, rest []byte) {
	for next := uint64(1); ; next++ {
		seq, payload, after, ok := readFrame(rest, f.Header.ID)
		if !ok || seq != next {
			break
		}
		var last trailer
		if len(after) == 0 && decoding.Unmarshal(payload, &last) == nil && last.Frames == next-1 {
			f.Complete = f.Header.Content != recovery.EstimatesFile || f.Estimates != nil
			f.CompleteBytes = int64(len(raw))
			return
		}
		if f.Header.Content == recovery.EstimatesFile {
			var snapshot estimate.Snapshot
			if f.Estimates != nil || decoding.Unmarshal(payload, &snapshot) != nil {
				break
			}
			f.Estimates = &snapshot
		} else {
			r, ok := parseRecord(seq, payload)
			if !ok {
				break
			}
			f.Records = append(f.Records, r)
		}
		rest = after
	}
	f.CompleteBytes = int64(len(raw) - len(rest))
	f.Estimates, f.Records = nil, nil // a snapshot is whole or nothing
}
