package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ParseChange takes the text of a file: a Change as JSON, or a platform configuration, whose routes and tenants are then
// all that there are to be. Keys that a change does not have are faults.
func ParseChange(raw []byte) (Change, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return Change{}, fmt.Errorf("change: %w", err)
	}
	if settings, isPlatform := fields["settings"]; isPlatform {
		return parsePlatform(settings)
	}
	var change Change
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return Change{}, fmt.Errorf("change: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Change{}, errors.New("change: more than one JSON value")
	}
	return change, nil
}

// platformConfig are the parts of the platform's settings that a document holds.
type platformConfig struct {
	Services []struct {
		Name string `json:"name"`
		Route
	} `json:"services"`
	Tenants []struct {
		Name string `json:"name"`
		Tenant
	} `json:"tenants"`
	Extra struct {
		Calls []bool    `json:"calls-by-class"`
		Skips []float64 `json:"class-skip-worth"`
	} `json:"extra"`
}

// parsePlatform makes the change that has exactly what a platform configuration states.
func parsePlatform(raw []byte) (Change, error) {
	var settings platformConfig
	if err := json.Unmarshal(raw, &settings); err != nil {
		return Change{}, fmt.Errorf("settings: %w", err)
	}
	change := Change{ReplaceAll: true, Routes: map[string]*Route{}, Tenants: map[string]*Tenant{}}
	for i, service := range settings.Services {
		route := service.Route
		if i < len(settings.Extra.Calls) {
			route.CallsDependency = settings.Extra.Calls[i]
		}
		if i < len(settings.Extra.Skips) {
			route.SkipValueShare = settings.Extra.Skips[i]
		}
		if change.Routes[service.Name] != nil {
			return Change{}, fmt.Errorf("settings: services.%d.name: %q stands twice", i, service.Name)
		}
		change.Routes[service.Name] = &route
	}
	for i, tenant := range settings.Tenants {
		if change.Tenants[tenant.Name] != nil {
			return Change{}, fmt.Errorf("settings: tenants.%d.name: %q stands twice", i, tenant.Name)
		}
		change.Tenants[tenant.Name] = &tenant.Tenant
	}
	return change, nil
}
