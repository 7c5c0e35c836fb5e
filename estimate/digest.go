package estimate

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest is over the settings on which estimates depend, a line each as name=value, in any order.
func Digest(settings []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(settings)), "\n"))
}
