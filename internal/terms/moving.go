package terms

import (
	"fmt"
	"maps"
	"slices"
)

// setting is one that may change while a server runs, with the values that it may take and the one that holds
// where it is not stated: what the module does without it.
type setting struct {
	values    []string
	otherwise string
}

// moving are the settings that may change in service. They say how the site treats what is decided, whether
// a run may be stopped and how routers read the free value, and nothing that was taken in depends on them: a
// new value holds from the next decision on. Every other setting needs a restart.
var moving = map[string]setting{
	"halt":   {[]string{"none", "abort", "suspend"}, "suspend"},
	"advert": {[]string{"none", "threshold", "window", "share_of"}, "none"},
}

// check sees that each moving setting that is stated has a value that the module knows.
func (t *Terms) check() error {
	for _, name := range slices.Sorted(maps.Keys(moving)) {
		if v, stated := t.Values[name]; stated && !slices.Contains(moving[name].values, fmt.Sprint(v)) {
			return fmt.Errorf("setting %s: %v is none of %v", name, v, moving[name].values)
		}
	}
	return nil
}

// Moves parts what differs between two sets of settings: the moving ones, with the values that hold from now on
// (one no longer stated goes back to what holds without it), and the names of all others, sorted.
func Moves(was, is map[string]any) (moved map[string]any, fixed []string) {
	moved, names := map[string]any{}, maps.Clone(was)
	maps.Copy(names, is)
	for _, name := range slices.Sorted(maps.Keys(names)) { // values are plain, so == compares them
		before, after := was[name], is[name]
		if before == after {
			continue
		}
		if s, moves := moving[name]; moves {
			if after == nil {
				after = s.otherwise
			}
			moved[name] = after
			continue
		}
		fixed = append(fixed, name)
	}
	return moved, fixed
}
