package store

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/estimate"
	"quartzpoint/internal/strictcbor"
	"quartzpoint/recovery"
)

// trailer is the last frame of a snapshot.
type trailer struct {
	Frames uint64 `cbor:"1,keyasint"` // number of frames between the header and the trailer
}

var errNoHeader = errors.New("no whole header")

// decoding is a strict mode, except that it accepts text that is not valid UTF-8: idempotency keys are arbitrary bytes
// chosen by clients.
var decoding = strictcbor.NewDecMode(estimate.MaxPublishedRoutes, true)

// readHeader decodes the header of a file and returns the bytes after it.
func readHeader(raw []byte) (header recovery.Header, rest []byte, err error) {
	sequence, payload, rest, ok := readFrame(raw, 0)
	if !ok || sequence != 0 {
		return header, raw, errNoHeader
	}
	if err := cbor.Unmarshal(payload, &header); err != nil { // not strict: a newer version may have more fields
		return header, raw, fmt.Errorf("header: %w", err)
	}
	return header, rest, nil
}

// parseFile decodes the contents of a file. The result does not refer to raw.
func parseFile(name string, raw []byte) recovery.File {
	f := recovery.File{Name: name}
	header, rest, err := readHeader(raw)
	if err != nil {
		f.Err = err
		return f
	}
	if f.Header = header; header.Version > recovery.FormatVersion {
		return f // package recovery rejects it
	}
	if header.Content == recovery.KeyLogFile {
		parseLog(&f, raw, rest)
	} else {
		parseSnapshot(&f, raw, rest)
	}
	return f
}

func parseRecord(sequence uint64, payload []byte) (r recovery.Record, ok bool) {
	if decoding.Unmarshal(payload, &r) != nil || r.Key == "" || r.Kind != recovery.KeyStarted && r.Kind != recovery.KeyFinished {
		return r, false
	}
	r.Sequence = sequence
	return r, true
}

// parseLog reads the records up to the first damage, and salvages those after it.
func parseLog(f *recovery.File, raw, rest []byte) {
	id, next := f.Header.ID, f.Header.Sequence
	for len(rest) > 0 {
		sequence, payload, after, ok := readFrame(rest, id)
		if !ok || sequence != next {
			break
		}
		record, ok := parseRecord(sequence, payload)
		if !ok {
			break
		}
		f.Records = append(f.Records, record)
		rest, next = after, next+1
	}
	f.CompleteBytes, f.Complete = int64(len(raw)-len(rest)), len(rest) == 0
	f.Salvaged = salvage(rest, id, next)
}

// salvage returns the undamaged records of a log with sequence numbers from next on. It searches raw for their frames,
// which may begin at any offset.
func salvage(raw []byte, id, next uint64) (records []recovery.Record) {
	for len(raw) > 0 {
		if sequence, payload, after, ok := readFrame(raw, id); ok && sequence >= next {
			if record, ok := parseRecord(sequence, payload); ok {
				records = append(records, record)
				raw, next = after, sequence+1
				continue
			}
		}
		start := bytes.Index(raw[1:], magic[:])
		if start < 0 {
			break
		}
		raw = raw[1+start:]
	}
	return records
}

// parseSnapshot reads a snapshot of the estimates or of the key table. It returns no content of an incomplete snapshot.
func parseSnapshot(f *recovery.File, raw, rest []byte) {
	for next := uint64(1); ; next++ {
		sequence, payload, after, ok := readFrame(rest, f.Header.ID)
		if !ok || sequence != next {
			break
		}
		var last trailer
		if len(after) == 0 && decoding.Unmarshal(payload, &last) == nil && last.Frames == next-1 {
			f.Complete = f.Header.Content != recovery.EstimatesFile || f.Estimates != nil
			f.CompleteBytes = int64(len(raw))
			return
		}
		if !parseSnapshotFrame(f, sequence, payload) {
			break
		}
		rest = after
	}
	f.CompleteBytes = int64(len(raw) - len(rest))
	f.Estimates, f.Records = nil, nil
}

func parseSnapshotFrame(f *recovery.File, sequence uint64, payload []byte) (ok bool) {
	if f.Header.Content == recovery.EstimatesFile {
		var snapshot estimate.Snapshot
		if f.Estimates != nil || decoding.Unmarshal(payload, &snapshot) != nil {
			return false
		}
		f.Estimates = &snapshot
		return true
	}
	record, ok := parseRecord(sequence, payload)
	if ok {
		f.Records = append(f.Records, record)
	}
	return ok
}
