package estimate

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the hash of the settings on which estimates depend. Each setting is a line of the form name=value;
// their order does not matter.
func Digest(settings []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(settings)), "\n"))
}
