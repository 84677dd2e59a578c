package scheduler

import (
	"slices"
	"time"

	"github.com/agateturn/agateturn/contention"
)

const (
	// The weight of a job is baseWeight plus workWeight times its work relative to the mean of its queue, at most
	// maxWeight.
	baseWeight = 0.3
	workWeight = 0.7
	maxWeight  = 4
)

// ranked is a step with its position in the placement order.
type ranked struct {
	step *step
	contention.Rank
}

// rank returns the waiting steps in the order in which they get capacity, without those that wait only for their workspaces'
// limits.
func (p *Pool) rank(now time.Time) []ranked {
	shares := p.shares()
	candidates := make([]contention.Candidate, 0, len(p.waitingSteps))
	steps := make([]*step, 0, len(p.waitingSteps))
	for _, s := range p.waitingSteps {
		if !s.held() {
			candidates = append(candidates, p.candidate(now, s, shares))
			steps = append(steps, s)
		}
	}
	ranks := p.orderOf(candidates, p.batchCapacity())
	order := make([]ranked, 0, len(steps))
	for i, s := range steps {
		order = append(order, ranked{s, ranks[i]})
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return a.Compare(b.Rank) })
	return order
}

func (p *Pool) candidate(now time.Time, s *step, shares *contention.Shares) contention.Candidate {
	o := s.occ
	c := contention.Candidate{
		Persistent: s.spec.GetPersistent(), Priority: p.termsOf(o.job).priority, Accepted: o.job.accepted, Due: o.due,
	}
	if c.Persistent {
		return c
	}
	c.Starved = p.starved(now, s)
	c.Projected, c.Objective = s.projectedDuration(now), p.objective(o)
	c.WaitingWork, c.RemainingWork = o.unfinishedWork()
	c.Weight, c.RemainingPath = p.jobWeight(o.job), s.criticalPath
	c.Excess, c.BeyondWeight = shares.Excess(o.job.workspace), o.job.beyondWeight
	return c
}

// projectedDuration returns how long the occurrence will have taken if the step starts now and its followers run
// without delay.
func (s *step) projectedDuration(now time.Time) time.Duration {
	return now.Sub(s.occ.due) + s.criticalPath
}

// objective returns the duration within which an occurrence is on time.
func (p *Pool) objective(o *occurrence) time.Duration {
	terms := p.termsOf(o.job)
	stretch := terms.stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(o.job.criticalPath)) + terms.target
}

// jobWeight returns the weight of a job relative to the mean of its queue.
func (p *Pool) jobWeight(j *job) float64 {
	mean := p.learned.averageWork(j.queue)
	if mean <= 0 {
		return 1
	}
	return min(maxWeight, baseWeight+workWeight*j.work/mean)
}

// unfinishedWork returns the expected work of the tasks that have not been started, and of those that have not ended, in
// thousandths of a core times milliseconds.
func (o *occurrence) unfinishedWork() (waitingWork, remainingWork float64) {
	for _, s := range o.steps {
		remaining := len(s.tasks) - s.doneTasks
		waiting := remaining
		if s.opened {
			waiting = len(s.ready)
		}
		work := s.expectedTaskWork()
		waitingWork += float64(waiting) * work
		remainingWork += float64(remaining) * work
	}
	return waitingWork, remainingWork
}

// expectedTaskWork returns the expected work of one task, in thousandths of a core times milliseconds.
func (s *step) expectedTaskWork() float64 {
	return float64(max(1, s.spec.GetCpuMilli())) * millis(s.expected)
}
