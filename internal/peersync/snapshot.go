package peersync

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"quartzpoint/estimate"
)

// encodedSnapshot is the encoding of a snapshot, made once for all clients.
type encodedSnapshot struct {
	bytes    []byte
	checksum uint64
	takenAt  time.Duration // on the server's clock
}

func encodeSnapshot(snapshot estimate.Snapshot, takenAt time.Duration) (*encodedSnapshot, error) {
	raw, err := cbor.Marshal(snapshot.Published())
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if len(raw) > maxSnapshot {
		return nil, fmt.Errorf("snapshot of %d bytes, want at most %d: %w", len(raw), maxSnapshot, ErrOutOfBounds)
	}
	return &encodedSnapshot{raw, xxhash.Sum64(raw), takenAt}, nil
}

func decodeSnapshot(raw []byte) (snapshot estimate.Snapshot, err error) {
	if err := decoder.Unmarshal(raw, &snapshot); err != nil {
		return estimate.Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot, nil
}

// EncodedSize returns the number of bytes of an encoded snapshot without frames, or 0 if it is too large to be sent.
func EncodedSize(snapshot estimate.Snapshot) int {
	encoded, err := encodeSnapshot(snapshot, 0)
	if err != nil {
		return 0
	}
	return len(encoded.bytes)
}
