package scheduler

import (
	"time"

	"github.com/agateturn/agateturn/contention"
	"github.com/agateturn/agateturn/queue"
)

// SetWorkspaces sets the workspaces of the configuration in force, whose weights are used. Jobs that were added before keep
// their mark of being beyond the weight.
func (p *Pool) SetWorkspaces(now time.Time, workspaces []queue.Workspace) {
	p.weights = make(map[string]float64, len(workspaces))
	for i := range workspaces {
		p.weights[workspaces[i].Name] = workspaces[i].Weight
	}
	p.submitted.Retain(p.weights)
	p.wakePlacement(now)
}

// shares returns by how far the workspaces exceed their shares of the pool; nil if there are no workspaces.
func (p *Pool) shares() *contention.Shares {
	if len(p.weights) == 0 {
		return nil
	}
	use := map[string]contention.Use{}
	for _, s := range p.waitingSteps {
		use[s.occ.job.workspace] = contention.Use{}
	}
	var capacity contention.Use
	for _, w := range p.sortedWorkers {
		if w.isExcluded() {
			continue
		}
		capacity.CPU += float64(w.Capacity.CPUMilli)
		capacity.Memory += float64(w.Capacity.MemoryMB)
		for _, r := range w.runs {
			if r.task == nil {
				continue
			}
			name := r.task.job().workspace
			u := use[name]
			u.CPU += float64(r.need.CPUMilli)
			u.Memory += float64(r.need.MemoryMB)
			use[name] = u
		}
	}
	return contention.NewShares(p.weights, use, capacity)
}

// batchCapacity returns the CPU of the workers in service, in thousandths of a core, without what persistent tasks take.
func (p *Pool) batchCapacity() contention.Capacity {
	var c contention.Capacity
	for _, w := range p.sortedWorkers {
		if w.isExcluded() {
			continue
		}
		c.Total += float64(w.Capacity.CPUMilli)
		c.Free += float64(max(0, w.free().CPUMilli))
		for _, r := range w.runs {
			if r.task != nil && r.task.step.spec.GetPersistent() {
				c.Total -= float64(r.need.CPUMilli)
			}
		}
	}
	return c
}

// markArrival marks a job that its workspace submits beyond its weight.
func (p *Pool) markArrival(now time.Time, j *job) {
	beyond, episode := p.submitted.Add(now, j.workspace, p.weights[j.workspace])
	j.beyondWeight = beyond
	if episode != nil {
		p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionBeyondWeight, Workspace: j.workspace})
	}
}

// checkArrivals adds the decision that a workspace no longer submits jobs beyond its weight.
func (p *Pool) checkArrivals(now time.Time) {
	for _, e := range p.submitted.Ended(now) {
		p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionWithinWeight, Workspace: e.Workspace, Count: e.Jobs})
	}
}
