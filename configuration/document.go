package configuration

import (
	"errors"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// ErrCorrupt reports that content is malformed or does not match its digest or version. The receiver discards all of
// it.
var ErrCorrupt = errors.New("configuration: content is corrupt or belongs to another history")

// Document holds the tables at one version. It is not safe for concurrent use.
type Document struct {
	Version uint64
	Routes  map[string]Route
	Tenants map[string]Tenant
	Digest  Digest // of all entries
}

// Digest is a hash of a document's content, without its version. It is the sum of the hashes of all entries, so an
// update costs only as much as the entries that change, and the order of entries does not matter.
type Digest uint64

// Delta takes a document from the previous version to its own.
type Delta struct {
	Version uint64             `cbor:"1,keyasint"`
	Routes  map[string]*Route  `cbor:"2,keyasint,omitempty"` // nil: the entry is removed
	Tenants map[string]*Tenant `cbor:"3,keyasint,omitempty"`
	Digest  Digest             `cbor:"4,keyasint"` // of the document after the delta
}

// NewDocument returns the empty document, of version 0.
func NewDocument() *Document {
	return &Document{Routes: map[string]Route{}, Tenants: map[string]Tenant{}}
}

// Clone returns a copy that shares no tables with the document.
func (d *Document) Clone() *Document {
	clone := *d
	clone.Routes, clone.Tenants = maps.Clone(d.Routes), maps.Clone(d.Tenants)
	return &clone
}

// Accept applies a change that passed Validate, and returns the resulting delta.
func (d *Document) Accept(change Change) Delta {
	delta := Delta{Version: d.Version + 1}
	delta.Routes = diffTable(d.Routes, change.Routes, change.ReplaceAll)
	delta.Tenants = diffTable(d.Tenants, change.Tenants, change.ReplaceAll)
	d.applyUnchecked(delta)
	delta.Digest = d.Digest
	return delta
}

// Apply applies the delta of the next version. If the delta is not of the next version or does not lead to the content
// of its digest, Apply returns ErrCorrupt and leaves the document unchanged.
func (d *Document) Apply(delta Delta) error {
	if delta.Version != d.Version+1 {
		return fmt.Errorf("%w: delta of version %d does not follow version %d", ErrCorrupt, delta.Version, d.Version)
	}
	inverse := d.Inverse(delta)
	d.applyUnchecked(delta)
	if d.Digest != delta.Digest {
		d.Revert(inverse)
		return fmt.Errorf("%w: delta of version %d does not lead to the content of its digest", ErrCorrupt, delta.Version)
	}
	return nil
}

// Inverse returns the delta by which Revert restores the current state of the document after delta was applied.
func (d *Document) Inverse(delta Delta) Delta {
	return Delta{
		Version: d.Version, Digest: d.Digest,
		Routes: inverseTable(d.Routes, delta.Routes), Tenants: inverseTable(d.Tenants, delta.Tenants),
	}
}

// Revert undoes a delta by applying its inverse.
func (d *Document) Revert(inverse Delta) { d.applyUnchecked(inverse) }

// Diff returns the delta that takes one document directly to another; the versions need not be consecutive. It serves
// to update tables in use and is not part of a History.
func Diff(from, to *Document) Delta {
	return Delta{
		Version: to.Version, Digest: to.Digest,
		Routes:  diffTable(from.Routes, pointers(to.Routes), true),
		Tenants: diffTable(from.Tenants, pointers(to.Tenants), true),
	}
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

// setEntry sets an entry of a table, or removes it if value is nil, and updates the digest.
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

func entryHash(kind, name string, value any) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(kind + "\x00" + name + "\x00") // never fails
	_, _ = h.Write(encode(value))
	return Digest(h.Sum64())
}

// diffTable returns the entries of a table that differ after a change. It omits entries that stay equal.
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
		removed := value == nil && exists
		changed := value != nil && (!exists || before != *value)
		if removed || changed {
			delta[name] = value
		}
	}
	return delta
}

// inverseTable returns the current entries under the names of a delta, nil for those that do not exist.
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

func pointers[T any](table map[string]T) map[string]*T {
	all := make(map[string]*T, len(table))
	for name, value := range table {
		all[name] = &value
	}
	return all
}
