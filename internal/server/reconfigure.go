package server

import (
	"maps"
	"slices"

	"quartzpoint/internal/settings"
)

// Reconfigure takes the settings that may change in service, in the owner's turn; next are all settings with those
// changed. The next round decides by them; what was admitted stays as it was, answered once. The way back is the same
// step with the earlier settings.
func (s *Server) Reconfigure(next *settings.Settings) {
	adjusted := s.settings.Compare(next).Adjusted
	s.settings = s.settings.WithAdjustable(next)
	now := s.settings.Adjustable()
	s.controller.Reconfigure(now.Preemption, now.ShedLevelFormat)
	for _, name := range slices.Sorted(maps.Keys(adjusted)) {
		s.log.Info("setting moved", "setting", name, "value", adjusted[name])
	}
}
