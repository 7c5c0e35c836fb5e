// Package strictcbor decodes CBOR from untrusted sources: peers, and files that may be damaged.
package strictcbor

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	mostDepth = 6  // nesting levels; a view file needs four
	mostPairs = 64 // pairs in a map
)

// Decoding returns a decoding mode that rejects input which could make a small message large in memory or have more
// than one interpretation. Arrays may have up to mostItems elements. anyText accepts text that is not valid UTF-8, as
// in data that callers have chosen.
func Decoding(mostItems int, anyText bool) cbor.DecMode {
	text := cbor.UTF8RejectInvalid
	if anyText {
		text = cbor.UTF8DecodeInvalid
	}
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: mostDepth, MaxArrayElements: mostItems, MaxMapPairs: mostPairs, UTF8: text,
	}.DecMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err))
	}
	return mode
}
