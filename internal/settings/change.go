package settings

import (
	"maps"
	"slices"
	"strings"

	"quartzpoint/admission"
)

// Adjustable contains the settings that may change while a server runs.
type Adjustable struct {
	Preemption      admission.Preemption
	ShedLevelFormat admission.ShedLevelFormat
}

// Adjustable returns the values of the adjustable settings.
func (s *Settings) Adjustable() Adjustable {
	return Adjustable{s.Admission.Preemption, s.Admission.ShedLevelFormat}
}

// WithAdjustable returns a copy of the settings in which the adjustable settings are those of other.
func (s *Settings) WithAdjustable(other *Settings) *Settings {
	changed := *s
	changed.adjustable = other.adjustable
	changed.Admission.Preemption = other.Admission.Preemption
	changed.Admission.ShedLevelFormat = other.Admission.ShedLevelFormat
	return &changed
}

// Change is the difference between two settings.
type Change struct {
	// Adjusted contains the new values of the adjustable settings that differ, by the last element of the platform's
	// key. Nil means that the setting is no longer given, so the default applies as after a start without it.
	Adjusted map[string]any
	// Fixed lists the keys that differ and need a restart, sorted.
	Fixed []string
}

// Adjusted returns the adjustable settings of next that differ, in the form of Change.Adjusted. Unlike Compare, its
// cost does not grow with the number of tenants, so the event loop may call it.
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

// Compare returns how next differs from the settings.
func (s *Settings) Compare(next *Settings) Change {
	change := Change{Adjusted: s.Adjusted(next)}
	keys := map[string]bool{}
	for key := range s.fixed {
		keys[key] = true
	}
	for key := range next.fixed {
		keys[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		before, was := s.fixed[key]
		after, is := next.fixed[key]
		if was != is || before != after {
			change.Fixed = append(change.Fixed, key)
		}
	}
	return change
}
