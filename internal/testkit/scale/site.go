package scale

import (
	"encoding/json"
	"fmt"
)

// RouteName returns the name of route i of a PlatformConfig.
func RouteName(i int) string { return fmt.Sprintf("route-%04d", i) }

// TenantName returns the name of tenant i of a PlatformConfig.
func TenantName(i int) string { return fmt.Sprintf("tenant-%05d", i) }

// routeSettings returns the settings of one route. One in eight is at-most-once, and one in eight is keyed.
func routeSettings(i int) map[string]any {
	idempotency := "retryable"
	switch i % 8 {
	case 3:
		idempotency = "fragile"
	case 7:
		idempotency = "dedup"
	}
	return map[string]any{
		"name": RouteName(i), "goal-time": 900_000 + i%100, "deadline": 3_000_000, "gain": 1 + i%5,
		"idempotency": idempotency, "late-value": 0.0, "dedup-window": 9_000_000,
	}
}

// PlatformConfig returns a platform configuration with these numbers of routes and tenants, for a server with these
// addresses.
func PlatformConfig(routes, tenants int, listen, pool, members string) ([]byte, error) {
	services := make([]map[string]any, routes)
	for i := range services {
		services[i] = routeSettings(i)
	}
	quotas := make([]map[string]any, tenants)
	for i := range quotas {
		quotas[i] = map[string]any{"name": TenantName(i), "quota-rps": 3.5, "fraction": 1 / float64(tenants)}
	}
	raw, err := json.Marshal(map[string]any{
		"name": "scale", "listen": listen, "pool": pool, "members": members, "seed": "5eed", "stop_ms": 1500,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 1024, "sockets": 16384},
		"settings": map[string]any{
			"extra": map[string]any{
				"advert": "threshold", "below": "none", "calls-by-class": make([]bool, routes),
				"class-skip-worth": make([]float64, routes), "cold": false, "cores": 8.0,
				"gauges": []string{"core_use", "on_cores", "heap_share", "links"}, "halt": "suspend",
				"idle": 3_600_000_000, "key-kb": 0.1, "passes-deadline": true, "ram-kb": 4e6, "run-factor": 8.0,
			},
			"limits":      map[string]any{"max-retry-after": 1_000_000, "retry-after": true},
			"obligations": map[string]any{"overload-factor": 6.0, "stop-sending-within": 400_000, "warm-up": 1_000_000},
			"servers":     PlannedServers, "services": services, "tenants": quotas, "value-by": "request",
		},
	})
	if err != nil {
		return nil, fmt.Errorf("platform configuration: %w", err)
	}
	return raw, nil
}
