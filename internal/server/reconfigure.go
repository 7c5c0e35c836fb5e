package server

import (
	"maps"
	"slices"

	"quartzpoint/internal/settings"
)

// Reconfigure applies the settings that may change while the server runs; next holds all settings, including the
// changed ones. They are used from the next decision on. Requests that were admitted stay admitted, and are answered
// once. Reconfigure must be called on the event loop.
func (s *Server) Reconfigure(next *settings.Settings) {
	adjusted := s.settings.Adjusted(next)
	s.settings = s.settings.WithAdjustable(next)
	adjustable := s.settings.Adjustable()
	s.controller.Reconfigure(adjustable.Preemption, adjustable.ShedLevelFormat)
	for _, name := range slices.Sorted(maps.Keys(adjusted)) {
		s.log.Info("setting changed", "setting", name, "value", adjusted[name])
	}
}
