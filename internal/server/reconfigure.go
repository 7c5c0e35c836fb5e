package server

import (
	"maps"
	"slices"

	"quartzpoint/internal/settings"
)

// Reconfigure applies the settings that may change in service, on the event loop; next are all settings, with those changed.
// The next round is decided by them. Requests that were admitted stay admitted, and are answered once.
func (s *Server) Reconfigure(next *settings.Settings) {
	adjusted := s.settings.Adjusted(next)
	s.settings = s.settings.WithAdjustable(next)
	now := s.settings.Adjustable()
	s.controller.Reconfigure(now.Preemption, now.ShedLevelFormat)
	for _, name := range slices.Sorted(maps.Keys(adjusted)) {
		s.log.Info("setting changed", "setting", name, "value", adjusted[name])
	}
}
