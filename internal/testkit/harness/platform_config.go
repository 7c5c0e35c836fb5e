package harness

import (
	"cmp"
	"encoding/json"
	"fmt"

	"quartzpoint/emulator"
)

// PlatformConfig returns the platform's configuration file for a server of a site with these routes.
func PlatformConfig(name, listen, pool, membership string, routes []Route, m Machine) ([]byte, error) {
	raw, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": membership,
		"seed": "5eed", "stop_ms": 1500, "settings": platformSettings(routes, m),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
	})
	if err != nil {
		return nil, fmt.Errorf("platform configuration: %w", err)
	}
	return raw, nil
}

// platformSettings returns the platform's settings of a site with these routes.
func platformSettings(routes []Route, m Machine) map[string]any {
	var services []map[string]any
	calls, skips := []bool{}, []float64{}
	for _, route := range routes {
		idempotency := "retryable"
		if route.AtMostOnce {
			idempotency = "fragile"
		}
		services = append(services, map[string]any{
			"name": route.Name, "goal-time": route.LatencyTarget.Microseconds(), "deadline": route.Deadline.Microseconds(),
			"gain": route.Value, "idempotency": idempotency, "late-value": 0.0,
		})
		calls, skips = append(calls, false), append(skips, 0)
	}
	return map[string]any{
		"extra": map[string]any{
			"advert": "threshold", "below": "none", "calls-by-class": calls, "class-skip-worth": skips,
			"cold": m.ColdShare > 0, "cores": m.Cores, "gauges": []string{"core_use", "on_cores", "heap_share", "links"},
			"halt": cmp.Or(m.Preemption, emulator.PreemptionSuspend), "idle": 15000000, "passes-deadline": true, "ram-kb": m.MemoryKB, "run-factor": 8.0,
		},
		"limits": map[string]any{"max-retry-after": 1000000, "retry-after": true},
		"obligations": map[string]any{
			"cold-share": m.ColdShare, "overload-factor": defaultRunsPerCore, "fall": defaultLoadWindow.Microseconds(), "stop-sending-within": 400000,
			"warm-up": m.WarmUp.Microseconds(),
		},
		"servers": 2, "services": services, "tenants": []any{}, "value-by": "request",
	}
}
