package configuration

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encMode encodes deterministically: equal content is encoded as equal bytes, on which the digest relies.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the options are constant
	}
	return mode
}()

// decMode limits how much memory a received message can make its decoder allocate.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 6, MaxArrayElements: maxDeltas, MaxMapPairs: MaxTenants,
	}.DecMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the options are constant
	}
	return mode
}()

func encode(value any) []byte {
	raw, err := encMode.Marshal(value)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the package's own types can always be encoded
	}
	return raw
}

// documentRecord is the encoding of a snapshot.
type documentRecord struct {
	Version uint64            `cbor:"1,keyasint"`
	Routes  map[string]Route  `cbor:"2,keyasint,omitempty"`
	Tenants map[string]Tenant `cbor:"3,keyasint,omitempty"`
	Digest  Digest            `cbor:"4,keyasint"`
}

// Snapshot encodes the whole document for transmission and storage. Equal documents have equal snapshots.
func (d *Document) Snapshot() []byte {
	return encode(documentRecord{Version: d.Version, Routes: d.Routes, Tenants: d.Tenants, Digest: d.Digest})
}

// DecodeSnapshot decodes a document. It returns ErrCorrupt if the bytes are malformed or the content does not match its
// digest.
func DecodeSnapshot(raw []byte) (*Document, error) {
	var record documentRecord
	if err := decMode.Unmarshal(raw, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if len(record.Routes) > MaxRoutes {
		return nil, fmt.Errorf("%w: %d routes", ErrCorrupt, len(record.Routes))
	}
	d := NewDocument()
	for name, route := range record.Routes {
		setEntry(d, "route", d.Routes, name, &route)
	}
	for name, tenant := range record.Tenants {
		setEntry(d, "tenant", d.Tenants, name, &tenant)
	}
	d.Version = record.Version
	if d.Digest != record.Digest {
		return nil, fmt.Errorf("%w: version %d", ErrCorrupt, record.Version)
	}
	return d, nil
}

// Encode encodes the delta for transmission and storage.
func (d Delta) Encode() []byte { return encode(d) }

// DecodeDelta decodes a delta. It returns ErrCorrupt if the bytes are malformed. It does not check the content;
// Document.Apply does.
func DecodeDelta(raw []byte) (Delta, error) {
	var delta Delta
	if err := decMode.Unmarshal(raw, &delta); err != nil {
		return Delta{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return delta, nil
}

// historyRecord is the encoding of a History.
type historyRecord struct {
	Snapshot    []byte            `cbor:"1,keyasint"`
	Deltas      [][]byte          `cbor:"2,keyasint,omitempty"`
	VersionByID map[string]uint64 `cbor:"3,keyasint,omitempty"`
	IDOrder     []string          `cbor:"4,keyasint,omitempty"`
}

// Encode encodes the document, the stored deltas and the IDs of the latest changes.
func (h *History) Encode() []byte {
	return encode(historyRecord{
		Snapshot: h.Document.Snapshot(), Deltas: h.deltas, VersionByID: h.versionByID, IDOrder: h.idOrder,
	})
}

// DecodeHistory decodes a history. It returns ErrCorrupt if the bytes are malformed or the document does not match its
// digest.
func DecodeHistory(raw []byte) (*History, error) {
	var record historyRecord
	if err := decMode.Unmarshal(raw, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	d, err := DecodeSnapshot(record.Snapshot)
	if err != nil {
		return nil, err
	}
	h := NewHistory(d)
	for _, delta := range record.Deltas {
		h.appendDelta(delta)
	}
	for _, id := range record.IDOrder {
		h.recordID(id, record.VersionByID[id])
	}
	return h, nil
}
