package jobhost

import (
	"sync"
	"sync/atomic"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
	"github.com/agateturn/agateturn/stats"
)

// Names of the metrics of workspaces. A host reports 0 for what it does not own any more.
const (
	metricWorkspaceLimitCPU        = "agateturn_workspace_limit_cpu_milli"
	metricWorkspaceLimitMemory     = "agateturn_workspace_limit_memory_mb"
	metricWorkspaceRunningCPU      = "agateturn_workspace_running_cpu_milli"
	metricWorkspaceRunningMemory   = "agateturn_workspace_running_memory_mb"
	metricWorkspaceCapCPU          = "agateturn_workspace_cap_cpu_milli"
	metricWorkspaceCapMemory       = "agateturn_workspace_cap_memory_mb"
	metricWorkspaceAllocatedCPU    = "agateturn_workspace_allocated_cpu_milli"
	metricWorkspaceAllocatedMemory = "agateturn_workspace_allocated_memory_mb"

	// maxWorkspaceNames bounds the names in the metrics. The others are summed as stats.Other.
	maxWorkspaceNames = 256
)

// configuredWorkspaces returns the workspaces of the current configuration; nil if it has none.
func (h *Host) configuredWorkspaces() []queue.Workspace {
	if table := h.tables.Table(); table != nil {
		return table.Workspaces
	}
	return nil
}

// workspaceGauges sets the gauges of workspaces. It is safe for concurrent use.
type workspaceGauges struct {
	// allocations is what the fleet owner on this host has allocated, or nil.
	allocations atomic.Pointer[[]quota.Allocation]

	mu    sync.Mutex
	names map[string]bool
	// set holds the gauges of the last update.
	set map[workspaceGauge]bool
}

type workspaceGauge struct{ metric, pool, workspace string }

func (g *workspaceGauges) show(allocations []quota.Allocation) { g.allocations.Store(&allocations) }

// update sets the gauges from the allocations and from what the owners on this host report.
func (g *workspaceGauges) update(s *stats.Stats, owners map[string]*poolowner.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sums := map[workspaceGauge]float64{}
	for pool, owner := range owners {
		for _, u := range owner.WorkspaceUsage() {
			name := g.admit(u.Workspace)
			if u.HasLimit && u.Limit.CPUMilli != quota.NoLimit {
				sums[workspaceGauge{metricWorkspaceLimitCPU, pool, name}] += float64(u.Limit.CPUMilli)
			}
			if u.HasLimit && u.Limit.MemoryMB != quota.NoLimit {
				sums[workspaceGauge{metricWorkspaceLimitMemory, pool, name}] += float64(u.Limit.MemoryMB)
			}
			sums[workspaceGauge{metricWorkspaceRunningCPU, pool, name}] += float64(u.Used.CPUMilli)
			sums[workspaceGauge{metricWorkspaceRunningMemory, pool, name}] += float64(u.Used.MemoryMB)
		}
	}
	if allocations := g.allocations.Load(); allocations != nil {
		for _, a := range *allocations {
			name := g.admit(a.Workspace)
			sums[workspaceGauge{metricWorkspaceCapCPU, "", name}] += float64(a.Cap.CPUMilli)
			sums[workspaceGauge{metricWorkspaceCapMemory, "", name}] += float64(a.Cap.MemoryMB)
			sums[workspaceGauge{metricWorkspaceAllocatedCPU, "", name}] += float64(a.Reserved.CPUMilli)
			sums[workspaceGauge{metricWorkspaceAllocatedMemory, "", name}] += float64(a.Reserved.MemoryMB)
		}
	}
	for gauge := range g.set {
		if _, current := sums[gauge]; !current {
			gauge.of(s, 0)
		}
	}
	g.set = make(map[workspaceGauge]bool, len(sums))
	for gauge, sum := range sums {
		gauge.of(s, sum)
		g.set[gauge] = true
	}
}

func (g workspaceGauge) of(s *stats.Stats, value float64) {
	labels := []stats.Label{{Name: "workspace", Value: g.workspace}}
	if g.pool != "" {
		labels = append(labels, stats.Label{Name: "pool", Value: g.pool})
	}
	s.Gauge(g.metric, labels...).Update(value)
}

func (g *workspaceGauges) admit(name string) string {
	if g.names[name] {
		return name
	}
	if len(g.names) >= maxWorkspaceNames {
		return stats.Other
	}
	if g.names == nil {
		g.names = map[string]bool{}
	}
	g.names[name] = true
	return name
}
