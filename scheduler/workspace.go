package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// NoLimit is the value of a resource in a Limit that is not limited.
const NoLimit = -1

// unlimited is the headroom of a resource without a limit.
const unlimited = math.MaxInt64 / 4

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

// account holds the limit and the usage of one workspace in the pool.
type account struct {
	workspace string
	// limited means that limit applies; NoLimit is no limit for a resource.
	limited bool
	limit   Resources
	// runs counts the runs that may execute, used is their need, and persistent the part of it that persistent runs take.
	runs       int
	used       Resources
	persistent Resources
	// promised is the need of the tasks for which runs are being preempted.
	promised Resources
	// next is the held step that has precedence. keptFor is the step for which headroom is kept as it is freed.
	next, keptFor *step
	// heldTasks counts the tasks of the held steps. heldLoggedAt is when the log last said so.
	heldTasks    int
	heldLoggedAt time.Time
	// left is the headroom that eachRunnable has not assigned yet, waiting the sum of WorkspaceUsage.
	left, waiting Resources
}

// accountOf returns the account of a workspace, or nil without a workspace.
func (p *Pool) accountOf(workspace string) *account {
	if workspace == "" {
		return nil
	}
	if a := p.accounts[workspace]; a != nil {
		return a
	}
	a := &account{workspace: workspace}
	a.limit, a.limited = p.workspaceLimits[workspace]
	p.accounts[workspace] = a
	at, _ := slices.BinarySearchFunc(p.sortedAccounts, workspace, func(b *account, name string) int {
		return strings.Compare(b.workspace, name)
	})
	p.sortedAccounts = slices.Insert(p.sortedAccounts, at, a)
	return a
}

// add counts a run whose need is known.
func (a *account) add(r *run) {
	if a == nil {
		return
	}
	r.account = a
	a.runs++
	a.used = a.used.plus(r.need)
	if r.isPersistent() {
		a.persistent = a.persistent.plus(r.need)
	}
}

// remove ends the counting of a run.
func (a *account) remove(r *run) {
	if a == nil {
		return
	}
	r.account = nil
	a.runs--
	a.used = a.used.minus(r.need)
	if r.isPersistent() {
		a.persistent = a.persistent.minus(r.need)
	}
}

func (r *run) isPersistent() bool { return r.task != nil && r.task.step.spec.GetPersistent() }

// headroom returns what the limit leaves of each resource after the given use. It is negative where the use exceeds a limit
// that was lowered.
func (a *account) headroom(used Resources) Resources {
	left := func(limit, used int64) int64 {
		if limit < 0 {
			return unlimited
		}
		return limit - used
	}
	return Resources{
		CPUMilli: left(a.limit.CPUMilli, used.CPUMilli), MemoryMB: left(a.limit.MemoryMB, used.MemoryMB), GPU: left(a.limit.GPU, used.GPU),
	}
}

// SetWorkspaceLimits sets what each workspace may have running in this pool; NoLimit is no limit for a resource. A workspace
// that is missing has no limit at all. Runs that exceed a new limit continue.
func (p *Pool) SetWorkspaceLimits(now time.Time, limits map[string]Resources) {
	if maps.Equal(limits, p.workspaceLimits) {
		return
	}
	p.workspaceLimits = maps.Clone(limits)
	for _, a := range p.sortedAccounts {
		a.limit, a.limited = limits[a.workspace]
	}
	p.wakePlacement(now)
}

// WorkspaceUsage returns the usage of all workspaces that have runs or waiting tasks, sorted by name.
func (p *Pool) WorkspaceUsage(now time.Time) []WorkspaceUsage {
	for _, a := range p.sortedAccounts {
		a.waiting = Resources{}
	}
	for _, s := range p.waitingSteps {
		if a := s.account(); a != nil {
			a.waiting = a.waiting.plus(s.need.times(s.countStartable(now)))
		}
	}
	out := make([]WorkspaceUsage, 0, len(p.sortedAccounts))
	for _, a := range p.sortedAccounts {
		if a.runs == 0 && a.waiting == (Resources{}) && !a.hasNext() {
			continue
		}
		u := WorkspaceUsage{Workspace: a.workspace, Used: a.used, Waiting: a.waiting}
		if a.hasNext() {
			u.Next, u.WaitedFor = a.next.atomicNeed(), now.Sub(a.next.heldSince)
		}
		out = append(out, u)
	}
	return out
}

// hasNext reports whether a step waits for the limit. The step may have ended since the last placement.
func (a *account) hasNext() bool { return a.next != nil && len(a.next.ready) > 0 }

// TakeoverComplete reports whether every worker that may run tasks of an earlier owner has been accounted for, so that tasks
// may start. Runs of jobs that are not known yet may remain; see UsageKnown.
func (p *Pool) TakeoverComplete() bool { return !p.takeover.blocksStarts() }

// UsageKnown reports whether all runs that an earlier owner may have left are known, and the jobs that they belong to.
func (p *Pool) UsageKnown() bool { return p.TakeoverComplete() && len(p.orphans) == 0 }

// chargeOrphans counts the orphaned runs of a job that has ended already. They are being stopped.
func (p *Pool) chargeOrphans(j *job) {
	for _, r := range p.orphans[j.id] {
		p.chargeTasklessRun(r, j)
	}
	delete(p.orphans, j.id)
}

func (a Resources) times(n int) Resources {
	return Resources{a.CPUMilli * int64(n), a.MemoryMB * int64(n), a.GPU * int64(n)}
}
