package settings

import (
	"maps"
	"slices"
)

// moving are the settings that may change in service. They say how the site treats what is decided, whether
// a run may be stopped and how routers read the free value, and nothing that was taken in depends on them: a
// new value holds from the next decision on. Every other setting needs a restart.
var moving = map[string][]string{
	"halt":   {"none", "abort", "suspend"},
	"advert": {"none", "threshold", "window", "share_of"},
}

// Moves parts what differs between two sets of settings: the moving ones, with the values that hold from now on
// (nil for one no longer stated, which is then as at a start without it), and the names of all others, sorted.
func Moves(was, is map[string]any) (moved map[string]any, fixed []string) {
	moved, names := map[string]any{}, maps.Clone(was)
	maps.Copy(names, is)
	for _, name := range slices.Sorted(maps.Keys(names)) { // values are plain, so == compares them
		before, after := was[name], is[name]
		if before == after {
			continue
		}
		if _, moves := moving[name]; moves {
			moved[name] = after
			continue
		}
		fixed = append(fixed, name)
	}
	return moved, fixed
}
