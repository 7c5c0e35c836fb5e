// Package strictcbor decodes CBOR from untrusted sources: peers, and files that may be damaged.
package strictcbor

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxNesting  = 6  // nesting levels; an estimate.Snapshot needs four
	maxMapPairs = 64 // pairs in a map
)

// NewDecMode returns a decoding mode that rejects input which could make a small message large in memory or have more
// than one interpretation. Arrays may have up to maxItems elements. If allowInvalidUTF8 is set, text need not be valid
// UTF-8, as in idempotency keys, which are arbitrary bytes chosen by callers.
func NewDecMode(maxItems int, allowInvalidUTF8 bool) cbor.DecMode {
	text := cbor.UTF8RejectInvalid
	if allowInvalidUTF8 {
		text = cbor.UTF8DecodeInvalid
	}
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxNesting, MaxArrayElements: maxItems, MaxMapPairs: maxMapPairs, UTF8: text,
	}.DecMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err))
	}
	return mode
}
