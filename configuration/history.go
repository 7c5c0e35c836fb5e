package configuration

const (
	maxDeltaBytes = 8 << 20 // total size of all stored deltas
	maxDeltas     = 4096
	maxIDs        = 1024 // enough to recognize a change that is proposed again because its response was lost
)

// History is a document with the latest deltas that led to it and the IDs of the latest changes. It is not safe for
// concurrent use.
type History struct {
	Document    *Document
	deltas      [][]byte // encoded, of consecutive versions; the last one leads to the document's version
	deltaBytes  int
	versionByID map[string]uint64
	idOrder     []string // oldest first
}

// NewHistory returns a history that begins with a document.
func NewHistory(d *Document) *History { return &History{Document: d, versionByID: map[string]uint64{}} }

// VersionOf returns the version that the change with an ID became. known is false if the ID is empty or no longer
// stored.
func (h *History) VersionOf(id string) (version uint64, known bool) {
	version, known = h.versionByID[id]
	return version, known && id != ""
}

// Accept validates and applies a change, and returns its version. If a change with the same ID was accepted before, it
// returns the version of that change and applies nothing. The error is a *ValidationError.
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
		h.deltas[0] = nil // the slice still shares the array; without this the encoded delta could not be freed
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

// Since returns the encoded deltas after a version. needsSnapshot is true if they are no longer stored or the version
// is newer than the latest of this history: then only a snapshot leads to the latest version.
func (h *History) Since(version uint64) (deltas [][]byte, needsSnapshot bool) {
	latest := h.Document.Version
	if version > latest || latest-version > uint64(len(h.deltas)) {
		return nil, true
	}
	return h.deltas[uint64(len(h.deltas))-(latest-version):], false
}
