package soak

import (
	"encoding/json"
	"fmt"
)

// platformConfig returns the platform's configuration file for one server of a soak run.
func (p *Plan) platformConfig(name, listen, pool, membership, dependency string) ([]byte, error) {
	var services []map[string]any
	calls, skipValues := make([]bool, len(p.Routes)), make([]float64, len(p.Routes))
	dependencyName := "none"
	if p.HasCalls() {
		dependencyName = "shared"
	}
	for i, route := range p.Routes {
		calls[i] = route.Calls
		services = append(services, map[string]any{
			"name": route.Name, "goal-time": route.Deadline.Microseconds(), "deadline": route.Deadline.Microseconds(), "gain": route.Value,
			"idempotency": string(route.Idempotency), "dedup-window": route.DedupWindow.Microseconds(), "late-value": 0.0,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": membership, "index": dependency,
		"seed": fmt.Sprintf("%x", p.Seed), "stop_ms": p.KillAfter().Milliseconds(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.Sockets},
		"settings": map[string]any{
			"extra": map[string]any{
				"advert": "threshold", "below": dependencyName, "calls-by-class": calls,
				"calls-out": p.Dependency.MaxCalls / float64(p.Servers), "calls-over": p.Dependency.Window.Microseconds(), "lingers": p.Dependency.Linger.Microseconds(),
				"class-skip-worth": skipValues,
				"cold":             p.Machine.ColdShare > 0, "cores": p.Machine.Cores, "halt": p.Machine.Preemption, "idle": 15000000,
				"gauges":          []string{"core_use", "on_cores", "heap_share", "links"},
				"passes-deadline": true, "ram-kb": p.Machine.MemoryKB, "run-factor": runFactor, "key-kb": 0.1,
			},
			"limits": map[string]any{"max-retry-after": 1000000, "retry-after": true},
			"obligations": map[string]any{
				"cold-share": p.Machine.ColdShare, "warm-up": p.Machine.WarmUp.Microseconds(),
				"overload-factor": p.LoadLimit.RunsPerCore, "fall": p.LoadLimit.Window.Microseconds(),
				"stop-sending-within": p.Grace.Microseconds(), "grace-to-answer": answerSlack.Microseconds(),
			},
			"servers": p.Servers, "services": services, "tenants": []any{}, "value-by": "request",
		},
	})
	if err != nil {
		return nil, fmt.Errorf("encode platform configuration: %w", err)
	}
	return raw, nil
}
