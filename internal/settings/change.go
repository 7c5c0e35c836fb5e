package settings

import (
	"maps"
	"slices"
	"strings"

	"quartzpoint/admission"
)

// Adjustable are the settings that may change while a server runs.
type Adjustable struct {
	Preemption      admission.Preemption
	ShedLevelFormat admission.ShedLevelFormat
}

// Adjustable are those in force.
func (s *Settings) Adjustable() Adjustable {
	return Adjustable{s.Admission.Preemption, s.Admission.ShedLevelFormat}
}

// WithAdjustable are the settings with the adjustable ones of others.
func (s *Settings) WithAdjustable(of *Settings) *Settings {
	changed := *s
	changed.adjustable = of.adjustable
	changed.Admission.Preemption = of.Admission.Preemption
	changed.Admission.ShedLevelFormat = of.Admission.ShedLevelFormat
	return &changed
}

// Change is how other settings differ from those in force.
type Change struct {
	// Adjusted holds the adjustable settings that differ, by the last word of the platform's key; nil is a value that is
	// no longer stated, and then as at a start without it.
	Adjusted map[string]any
	// Fixed names the keys that differ and need a restart, sorted.
	Fixed []string
}

// Adjusted says which adjustable settings of next differ, as Change.Adjusted. Unlike Compare it costs no more where there are
// many tenants, so the event loop may call it.
func (s *Settings) Adjusted(next *Settings) map[string]any {
	adjusted := map[string]any{}
	for key := range adjustableKeys {
		before, was := s.adjustable[key]
		after, is := next.adjustable[key]
		if was == is && before == after {
			continue
		}
		name := key[strings.LastIndexByte(key, '.')+1:]
		adjusted[name] = nil
		if is {
			adjusted[name] = after
		}
	}
	return adjusted
}

// Compare says how next differs.
func (s *Settings) Compare(next *Settings) Change {
	change := Change{Adjusted: s.Adjusted(next)}
	keys := map[string]bool{}
	for key := range s.stated {
		keys[key] = true
	}
	for key := range next.stated {
		keys[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		before, was := s.stated[key]
		after, is := next.stated[key]
		if was != is || before != after {
			change.Fixed = append(change.Fixed, key)
		}
	}
	return change
}
