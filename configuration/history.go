package configuration

import "fmt"

const (
	maxKeptBytes = 8 << 20 // of the deltas that a History keeps for watchers
	maxKept      = 4096    // of them
	maxIDs       = 1024    // of changes that are remembered, so that one sent again while its answer is on the way is known
)

// History is a document with the latest deltas that led to it, and the ids of the latest changes.
type History struct {
	Document *Document
	deltas   [][]byte // the last one leads to the document's version
	bytes    int
	ids      map[string]uint64
	order    []string // of the ids, oldest first
}

// NewHistory begins at a document.
func NewHistory(d *Document) *History { return &History{Document: d, ids: map[string]uint64{}} }

// Accepted is the version that a change with the id became, if it is remembered.
func (h *History) Accepted(id string) (version uint64, known bool) {
	version, known = h.ids[id]
	return version, known && id != ""
}

// Accept checks a change and takes it. A change whose id was accepted before is not taken again: its version is given
// once more.
func (h *History) Accept(change Change) (version uint64, err error) {
	if version, known := h.Accepted(change.ID); known {
		return version, nil
	}
	if err := h.Document.Check(change); err != nil {
		return 0, err
	}
	delta := h.Document.Accept(change)
	h.keep(delta.Bytes())
	h.remember(change.ID, delta.Version)
	return delta.Version, nil
}

func (h *History) keep(raw []byte) {
	h.deltas, h.bytes = append(h.deltas, raw), h.bytes+len(raw)
	for len(h.deltas) > maxKept || h.bytes > maxKeptBytes {
		h.bytes -= len(h.deltas[0])
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

func (h *History) remember(id string, version uint64) {
	if id == "" {
		return
	}
	if len(h.order) >= maxIDs {
		delete(h.ids, h.order[0])
		h.order = h.order[1:]
	}
	h.ids[id] = version
	h.order = append(h.order, id)
}

// Since gives the deltas, as bytes, that a watcher at a version lacks. Where they are not all kept, or the version is not
// one of this history, whole is true: the watcher wants a snapshot.
func (h *History) Since(version uint64) (deltas [][]byte, whole bool) {
	newest := h.Document.Version
	if version > newest || newest-version > uint64(len(h.deltas)) {
		return nil, true
	}
	return h.deltas[uint64(len(h.deltas))-(newest-version):], false
}

// kept is the form of a history on disk.
type kept struct {
	Document []byte            `cbor:"1,keyasint"`
	Deltas   [][]byte          `cbor:"2,keyasint,omitempty"`
	IDs      map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Order    []string          `cbor:"4,keyasint,omitempty"`
}

// Bytes is the whole history as it is kept.
func (h *History) Bytes() []byte {
	return encode(kept{h.Document.Snapshot(), h.deltas, h.ids, h.order})
}

// ReadHistory takes a history that was kept, or nothing of it.
func ReadHistory(raw []byte) (*History, error) {
	var k kept
	if err := decoding.Unmarshal(raw, &k); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	d, err := ReadSnapshot(k.Document)
	if err != nil {
		return nil, err
	}
	h := NewHistory(d)
	for _, delta := range k.Deltas {
		h.keep(delta)
	}
	for _, id := range k.Order {
		h.remember(id, k.IDs[id])
	}
	return h, nil
}
