package configuration

import "fmt"

const (
	maxDeltaBytes = 8 << 20 // of the deltas that a History keeps for watchers
	maxDeltas     = 4096    // of them
	maxIDs        = 1024    // of changes that are remembered, so that one sent again while its answer is on the way is known
)

// History is a document with the latest deltas that led to it, and the ids of the latest changes.
type History struct {
	Document    *Document
	deltas      [][]byte // the last one leads to the document's version
	deltaBytes  int
	versionByID map[string]uint64
	idOrder     []string // of the ids, oldest first
}

// NewHistory begins at a document.
func NewHistory(d *Document) *History { return &History{Document: d, versionByID: map[string]uint64{}} }

// VersionOf is the version that a change with the id became, if it is remembered.
func (h *History) VersionOf(id string) (version uint64, known bool) {
	version, known = h.versionByID[id]
	return version, known && id != ""
}

// Accept checks a change and takes it. A change whose id was accepted before is not taken again: its version is given
// once more.
func (h *History) Accept(change Change) (version uint64, err error) {
	if version, known := h.VersionOf(change.ID); known {
		return version, nil
	}
	if err := h.Document.Validate(change); err != nil {
		return 0, err
	}
	delta := h.Document.Accept(change)
	h.appendDelta(delta.Encode())
	h.recordID(change.ID, delta.Version)
	return delta.Version, nil
}

func (h *History) appendDelta(raw []byte) {
	h.deltas, h.deltaBytes = append(h.deltas, raw), h.deltaBytes+len(raw)
	for len(h.deltas) > maxDeltas || h.deltaBytes > maxDeltaBytes {
		h.deltaBytes -= len(h.deltas[0])
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

func (h *History) recordID(id string, version uint64) {
	if id == "" {
		return
	}
	if len(h.idOrder) >= maxIDs {
		delete(h.versionByID, h.idOrder[0])
		h.idOrder = h.idOrder[1:]
	}
	h.versionByID[id] = version
	h.idOrder = append(h.idOrder, id)
}

// Since gives the deltas, as bytes, that a watcher at a version lacks. Where they are not all kept, or the version is not
// one of this history, whole is true: the watcher wants a snapshot.
func (h *History) Since(version uint64) (deltas [][]byte, needsSnapshot bool) {
	newest := h.Document.Version
	if version > newest || newest-version > uint64(len(h.deltas)) {
		return nil, true
	}
	return h.deltas[uint64(len(h.deltas))-(newest-version):], false
}

// historyRecord is the form of a history on disk.
type historyRecord struct {
	Document []byte            `cbor:"1,keyasint"`
	Deltas   [][]byte          `cbor:"2,keyasint,omitempty"`
	IDs      map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Order    []string          `cbor:"4,keyasint,omitempty"`
}

// Encode is the whole history as it is kept.
func (h *History) Encode() []byte {
	return encode(historyRecord{h.Document.Snapshot(), h.deltas, h.versionByID, h.idOrder})
}

// DecodeHistory takes a history that was kept, or nothing of it.
func DecodeHistory(raw []byte) (*History, error) {
	var k historyRecord
	if err := decMode.Unmarshal(raw, &k); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	d, err := DecodeSnapshot(k.Document)
	if err != nil {
		return nil, err
	}
	h := NewHistory(d)
	for _, delta := range k.Deltas {
		h.appendDelta(delta)
	}
	for _, id := range k.Order {
		h.recordID(id, k.IDs[id])
	}
	return h, nil
}
