package jobplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

const (
	operatorPrefix = "op/"
	configKey      = operatorPrefix + "config"
	// MaxAttempts is the maximum number of attempts of a task.
	MaxAttempts = 4
)

// Queue is the configuration of a queue.
type Queue struct {
	Name, Host, Prefix, Pool string
	Priority                 int
	// Public means that callers need no key.
	Public bool
}

// Workspace is the configuration of a workspace. Its callers send Key.
type Workspace struct {
	Name, Key string
}

// Configure writes a version of the configuration. If workspaces is empty, callers need no keys.
func (p *Platform) Configure(ctx context.Context, version int64, queues []Queue, workspaces []Workspace) error {
	routes := lo.Map(queues, func(q Queue, _ int) map[string]any {
		return map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "kind": "unsafe", "timeoutMs": 3000, "targetDurationMs": 600,
			"priority": q.Priority, "service": q.Pool, "maxAttempts": MaxAttempts, "stretch": 1.5,
			"public": q.Public,
		}
	})
	services := lo.Map(p.options.Pools, func(o PoolOptions, _ int) map[string]any {
		return map[string]any{"name": o.Name, "maxConns": 64, "enforcesCapacity": o.EnforcesCapacity, "spare": o.Spare}
	})
	table := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16 << 10, "maxBodyBytes": 256 << 10, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(workspaces) > 0 {
		table["tenants"] = lo.Map(workspaces, func(w Workspace, _ int) map[string]any {
			return map[string]any{"name": w.Name, "apiKeys": []string{w.Key}, "weight": 1, "cap": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0}}
		})
	}
	return p.put(ctx, configKey, table)
}

// OrderWave orders upkeep of the machines, of at most limit at once.
func (p *Platform) OrderWave(ctx context.Context, number int64, machines []string, withinSeconds, limit int) error {
	p.mu.Lock()
	p.waves[number] = &wave{limit: limit, machines: lo.SliceToMap(machines, func(id string) (string, bool) { return id, true })}
	p.mu.Unlock()
	return p.put(ctx, fmt.Sprintf("%swave/%d", operatorPrefix, number), map[string]any{
		"wave": number, "machines": machines, "withinS": withinSeconds, "cap": limit,
	})
}

// WaveCompleted reports whether a wave is shown as completed. It records a violation for each machine that was skipped.
func (p *Platform) WaveCompleted(number int64) bool {
	items := p.kv.Items(fmt.Sprintf("status/wave/%d", number))
	if len(items) == 0 || !strings.Contains(string(items[0].Data), "completed") {
		return false
	}
	p.mu.Lock()
	ordered := p.waves[number]
	p.mu.Unlock()
	for _, m := range p.machines {
		if ordered.machines[m.id] && !m.hasStartedUpkeep(number) {
			p.history.ReportViolation("wave %d was shown as completed without machine %s", number, m.id)
		}
	}
	return true
}

func (m *machine) hasStartedUpkeep(wave int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upkeepWaves[wave]
}

func (p *Platform) put(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = p.kv.Client("operator").Commit(ctx, store.Transaction{Puts: []store.Put{{Key: key, Data: data}}})
	return err
}
