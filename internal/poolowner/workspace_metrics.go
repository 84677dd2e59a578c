package poolowner

import (
	"sync"
	"time"

	"github.com/agateturn/agateturn/stats"
)

// metricWorkspaceWait is documented in docs/OPERATIONS.md.
const metricWorkspaceWait = "agateturn_workspace_wait_seconds"

// maxWorkspaceNames bounds the workspaces in the labels of a metric; the rest are counted together as stats.Other.
const maxWorkspaceNames = 256

// workspaceNames holds the workspaces that have a label value of their own. It is safe for concurrent use.
type workspaceNames struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the label value of a workspace.
func (n *workspaceNames) label(workspace string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[workspace] {
		return workspace
	}
	if len(n.known) >= maxWorkspaceNames {
		return stats.Other
	}
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	n.known[workspace] = true
	return workspace
}

// observeWorkspaceWait records the time from the acceptance of a workspace's job to its first start that a worker confirmed.
func (m *Metrics) observeWorkspaceWait(workspace string, age time.Duration) {
	if m != nil && workspace != "" {
		m.stats.Time(metricWorkspaceWait, max(age, 0), stats.Label{Name: "workspace", Value: m.workspaces.label(workspace)})
	}
}
