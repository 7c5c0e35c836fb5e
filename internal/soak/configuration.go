package soak

import (
	"encoding/json"
	"fmt"
)

// configuration is the platform's for one server of a run.
func (p *Plan) configuration(name, listen, pool, members string) ([]byte, error) {
	var services []map[string]any
	calls, skips := make([]bool, len(p.Classes)), make([]float64, len(p.Classes))
	for _, c := range p.Classes {
		services = append(services, map[string]any{
			"name": c.Name, "goal-time": c.Deadline.Microseconds(), "deadline": c.Deadline.Microseconds(), "gain": c.Value,
			"idempotency": string(c.Effect), "dedup-window": c.Window.Microseconds(), "late-value": 0.0,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": members,
		"seed": fmt.Sprintf("%x", p.Seed), "stop_ms": p.KillAfter().Milliseconds(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.Sockets},
		"settings": map[string]any{
			"extra": map[string]any{
				"advert": "threshold", "below": "none", "calls-by-class": calls, "class-skip-worth": skips,
				"cold": p.Machine.ColdShare > 0, "cores": p.Machine.Cores, "halt": p.Machine.Halt, "idle": 15000000,
				"gauges":          []string{"core_use", "on_cores", "heap_share", "links"},
				"passes-deadline": true, "ram-kb": p.Machine.KB, "run-factor": runFactor, "key-kb": 0.1,
			},
			"limits": map[string]any{"max-retry-after": 1000000, "retry-after": true},
			"obligations": map[string]any{
				"cold-share": p.Machine.ColdShare, "warm-up": p.Machine.WarmUp.Microseconds(),
				"overload-factor": p.Endurance.RunsPerCore, "fall": p.Endurance.Over.Microseconds(),
				"stop-sending-within": p.Grace.Microseconds(), "grace-to-answer": answerSlack.Microseconds(),
			},
			"servers": p.Servers, "services": services, "tenants": []any{}, "value-by": "request",
		},
	})
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return raw, nil
}
