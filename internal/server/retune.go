package server

import (
	"maps"
	"slices"
)

// Retune takes settings that may change in service (settings.Moves), in the owner's turn. Module and server read
// them at each decision, so the next round decides by them; what was taken in stays as it was, answered once.
// The way back is the same step with the earlier values.
func (s *Server) Retune(moved map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(moved)) {
		if moved[name] == nil { // no longer stated: as at a start without it
			delete(s.settings.Values, name)
			delete(s.values, name)
		} else {
			s.settings.Values[name], s.values[name] = moved[name], moved[name]
		}
		s.log.Info("setting moved", "setting", name, "value", moved[name])
	}
}
