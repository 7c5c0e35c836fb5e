// Package strictcbor reads CBOR from sources that are not trusted: peers, and files that may be damaged.
package strictcbor

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	mostDepth = 6  // nesting; a view needs four
	mostPairs = 64 // of a map
)

// Decoding is strict about what could make a small message large or two readings of one possible. Arrays hold
// mostItems at the most; text may be any bytes where anyText says so, as where it holds what callers chose.
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
