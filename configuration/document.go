package configuration

import (
	"errors"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Document is the tables at a version.
type Document struct {
	Version uint64
	Routes  map[string]Route
	Tenants map[string]Tenant
	Digest  Digest // of all entries
}

// Digest tells documents of different content apart. It is the sum of the hashes of all entries, so a change moves it by
// what it changes, in any order.
type Digest uint64

// Delta takes the document of the version before to its own.
type Delta struct {
	Version uint64             `cbor:"1,keyasint"`
	Routes  map[string]*Route  `cbor:"2,keyasint,omitempty"` // nil where removed
	Tenants map[string]*Tenant `cbor:"3,keyasint,omitempty"`
	Digest  Digest             `cbor:"4,keyasint"` // of the document behind it
}

// NewDocument is that of version 0, which holds nothing.
func NewDocument() *Document {
	return &Document{Routes: map[string]Route{}, Tenants: map[string]Tenant{}}
}

// encMode gives the same bytes for the same content.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the options are constant
	}
	return mode
}()

// decMode bounds what a message may make of the memory of its reader.
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
		panic(fmt.Errorf("cbor: %w", err)) // plain structures always have a form
	}
	return raw
}

// entryHash is that of one entry.
func entryHash(kind, name string, value any) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(kind + "\x00" + name + "\x00")
	_, _ = h.Write(encode(value))
	return Digest(h.Sum64())
}

// setEntry sets or, without a value, removes an entry of a table, and moves the digest.
func setEntry[T any](d *Document, kind string, table map[string]T, name string, value *T) {
	if before, exists := table[name]; exists {
		d.Digest -= entryHash(kind, name, before)
		delete(table, name)
	}
	if value != nil {
		d.Digest += entryHash(kind, name, *value)
		table[name] = *value
	}
}

// Accept takes a change that Check found no fault in, and gives the delta that it is.
func (d *Document) Accept(change Change) Delta {
	delta := Delta{Version: d.Version + 1}
	delta.Routes = diffTable(d.Routes, change.Routes, change.ReplaceAll)
	delta.Tenants = diffTable(d.Tenants, change.Tenants, change.ReplaceAll)
	d.applyUnchecked(delta)
	delta.Digest = d.Digest
	return delta
}

// diffTable is what a change makes different in a table. What it states as it is already is left out.
func diffTable[T comparable](table map[string]T, change map[string]*T, replaceAll bool) map[string]*T {
	delta := map[string]*T{}
	if replaceAll {
		for name := range table {
			if change[name] == nil {
				delta[name] = nil
			}
		}
	}
	for name, value := range change {
		before, exists := table[name]
		if value == nil && exists || value != nil && !(exists && before == *value) {
			delta[name] = value
		}
	}
	return delta
}

func (d *Document) applyUnchecked(delta Delta) {
	for name, route := range delta.Routes {
		setEntry(d, "route", d.Routes, name, route)
	}
	for name, tenant := range delta.Tenants {
		setEntry(d, "tenant", d.Tenants, name, tenant)
	}
	d.Version = delta.Version
}

// ErrCorrupt tells that content is not what its digest or its version says. Whoever meets it drops all of it.
var ErrCorrupt = errors.New("configuration: content is damaged or of another history")

// Apply takes a delta. One that does not follow, or that does not lead to the content that it says, changes nothing.
func (d *Document) Apply(delta Delta) error {
	if delta.Version != d.Version+1 {
		return fmt.Errorf("%w: version %d behind %d", ErrCorrupt, delta.Version, d.Version)
	}
	inverse := d.Inverse(delta)
	d.applyUnchecked(delta)
	if d.Digest != delta.Digest {
		d.Revert(inverse)
		return fmt.Errorf("%w: version %d leads to other content", ErrCorrupt, delta.Version)
	}
	return nil
}

// Inverse is what takes a document back to where it stands now, after the delta was applied.
func (d *Document) Inverse(delta Delta) Delta {
	return Delta{
		Version: d.Version, Digest: d.Digest,
		Routes: inverseTable(d.Routes, delta.Routes), Tenants: inverseTable(d.Tenants, delta.Tenants),
	}
}

// Revert takes a document back by what Undo gave.
func (d *Document) Revert(inverse Delta) { d.applyUnchecked(inverse) }

// inverseTable is what undoes the part of a delta.
func inverseTable[T any](table map[string]T, delta map[string]*T) map[string]*T {
	before := make(map[string]*T, len(delta))
	for name := range delta {
		before[name] = nil
		if value, exists := table[name]; exists {
			before[name] = &value
		}
	}
	return before
}

// Clone is a document of the same content that shares nothing with this one.
func (d *Document) Clone() *Document {
	copied := *d
	copied.Routes, copied.Tenants = maps.Clone(d.Routes), maps.Clone(d.Tenants)
	return &copied
}

// Diff is the delta that takes one document straight to another, however far apart their versions are. It is for
// what runs, and no part of the history.
func Diff(from, to *Document) Delta {
	return Delta{
		Version: to.Version, Digest: to.Digest,
		Routes:  diffTable(from.Routes, pointers(to.Routes), true),
		Tenants: diffTable(from.Tenants, pointers(to.Tenants), true),
	}
}

func pointers[T any](table map[string]T) map[string]*T {
	all := make(map[string]*T, len(table))
	for name, value := range table {
		all[name] = &value
	}
	return all
}

// documentRecord is the form of a whole document.
type documentRecord struct {
	Version uint64            `cbor:"1,keyasint"`
	Routes  map[string]Route  `cbor:"2,keyasint,omitempty"`
	Tenants map[string]Tenant `cbor:"3,keyasint,omitempty"`
	Digest  Digest            `cbor:"4,keyasint"`
}

// Snapshot is the whole document as it is sent and kept. The same document gives the same bytes.
func (d *Document) Snapshot() []byte {
	return encode(documentRecord{d.Version, d.Routes, d.Tenants, d.Digest})
}

// DecodeSnapshot takes a whole document, or nothing of it.
func DecodeSnapshot(raw []byte) (*Document, error) {
	var s documentRecord
	if err := decMode.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if len(s.Routes) > MaxRoutes {
		return nil, fmt.Errorf("%w: %d routes", ErrCorrupt, len(s.Routes))
	}
	d := NewDocument()
	for name, route := range s.Routes {
		setEntry(d, "route", d.Routes, name, &route)
	}
	for name, tenant := range s.Tenants {
		setEntry(d, "tenant", d.Tenants, name, &tenant)
	}
	if d.Version = s.Version; d.Digest != s.Digest {
		return nil, fmt.Errorf("%w: version %d", ErrCorrupt, s.Version)
	}
	return d, nil
}

// Encode is the delta as it is sent and kept.
func (d Delta) Encode() []byte { return encode(d) }

// DecodeDelta takes a delta that was sent or kept.
func DecodeDelta(raw []byte) (delta Delta, err error) {
	if err := decMode.Unmarshal(raw, &delta); err != nil {
		return Delta{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return delta, nil
}

// Len is the number of entries that a delta changes.
func (d Delta) Len() int { return len(d.Routes) + len(d.Tenants) }
