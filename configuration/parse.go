package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ParseChange parses a file: either a Change as JSON, in which unknown keys are an error, or a platform configuration
// (an object with "settings"), which becomes a change that replaces all routes and tenants with its own.
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
		return Change{}, errors.New("change: the file has more than one JSON value")
	}
	return change, nil
}

// platformConfig is the part of the platform's settings that a document contains.
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
		CallsDependency []bool    `json:"calls-by-class"`   // by the index of the service
		SkipValueShares []float64 `json:"class-skip-worth"` // likewise
	} `json:"extra"`
}

// parsePlatform returns the change that replaces everything with the routes and tenants of a platform configuration.
func parsePlatform(raw []byte) (Change, error) {
	var settings platformConfig
	if err := json.Unmarshal(raw, &settings); err != nil {
		return Change{}, fmt.Errorf("settings: %w", err)
	}
	change := Change{ReplaceAll: true, Routes: map[string]*Route{}, Tenants: map[string]*Tenant{}}
	for i, service := range settings.Services {
		route := service.Route
		if i < len(settings.Extra.CallsDependency) {
			route.CallsDependency = settings.Extra.CallsDependency[i]
		}
		if i < len(settings.Extra.SkipValueShares) {
			route.SkipValueShare = settings.Extra.SkipValueShares[i]
		}
		if change.Routes[service.Name] != nil {
			return Change{}, fmt.Errorf("settings: services.%d.name: duplicate name %q", i, service.Name)
		}
		change.Routes[service.Name] = &route
	}
	for i, tenant := range settings.Tenants {
		if change.Tenants[tenant.Name] != nil {
			return Change{}, fmt.Errorf("settings: tenants.%d.name: duplicate name %q", i, tenant.Name)
		}
		change.Tenants[tenant.Name] = &tenant.Tenant
	}
	return change, nil
}
