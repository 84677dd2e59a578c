package scheduler

import (
	"sort"
	"time"
)

const (
	// An occurrence projected to take longer than hopelessFactor times its objective is hopeless and ranks last.
	hopelessFactor = 3
	// The weight of a job is baseWeight plus workWeight times its work relative to the mean of its queue, at most
	// maxWeight.
	baseWeight = 0.3
	workWeight = 0.7
	maxWeight  = 4
	// agingWeight raises the rank of jobs as they approach their objective, most steeply at the end, so that large
	// jobs are not starved.
	agingWeight = 30
)

// ranked is a step with its sort keys for the placement order: lower values are placed first.
type ranked struct {
	step     *step
	class    int
	priority int
	key      float64
}

// Placement classes, in order of precedence.
const (
	classPersistent = iota
	// classStarved is for gangs that have waited for longer than starvationWait. Otherwise smaller steps would always
	// take the room as it is freed.
	classStarved
	classOnTime
	classLate
	classHopeless
)

// rank returns the waiting steps in the order of placement, without those that wait only for their workspaces' limits.
func (p *Pool) rank(now time.Time) []ranked {
	order := make([]ranked, 0, len(p.waitingSteps))
	for _, s := range p.waitingSteps {
		if !s.held() {
			order = append(order, p.rankStep(now, s))
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &order[a], &order[b]
		if x.class != y.class {
			return x.class < y.class
		}
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		return x.key < y.key
	})
	return order
}

func (p *Pool) rankStep(now time.Time, s *step) ranked {
	o := s.occ
	q := p.queueOf(o.job)
	r := ranked{step: s, priority: q.Priority}
	if s.spec.GetPersistent() {
		r.class = classPersistent
		r.key = float64(o.job.accepted.UnixMilli())
		return r
	}
	if p.starved(now, s) {
		r.class = classStarved
		r.key = float64(o.due.UnixMilli())
		return r
	}
	objective := p.objective(o)
	projected := s.projectedDuration(now)
	switch {
	case projected <= objective:
		r.class = classOnTime
	case projected <= hopelessFactor*objective:
		r.class = classLate
	default:
		r.class = classHopeless
		r.key = float64(o.due.UnixMilli())
		return r
	}
	r.key = o.remainingWork() / p.jobWeight(o.job)
	if objective > 0 {
		urgency := min(1, float64(projected)/float64(objective))
		r.key /= 1 + agingWeight*urgency*urgency*urgency*urgency
	}
	return r
}

// projectedDuration returns how long the occurrence will have taken if the step starts now and its followers run
// without delay.
func (s *step) projectedDuration(now time.Time) time.Duration {
	return now.Sub(s.occ.due) + s.criticalPath
}

// objective returns the duration within which an occurrence is on time.
func (p *Pool) objective(o *occurrence) time.Duration {
	q := p.queueOf(o.job)
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(o.job.criticalPath)) + q.TargetDuration
}

// jobWeight returns the weight of a job relative to the mean of its queue.
func (p *Pool) jobWeight(j *job) float64 {
	mean := p.learned.averageWork(j.queue)
	if mean <= 0 {
		return 1
	}
	return min(maxWeight, baseWeight+workWeight*j.work/mean)
}

// remainingWork returns the expected work left, in thousandths of a core times milliseconds.
func (o *occurrence) remainingWork() float64 {
	var sum float64
	for _, s := range o.steps {
		sum += float64(len(s.tasks)-s.doneTasks) * s.expectedTaskWork()
	}
	return sum
}

// expectedTaskWork returns the expected work of one task, in thousandths of a core times milliseconds.
func (s *step) expectedTaskWork() float64 {
	return float64(max(1, s.spec.GetCpuMilli())) * millis(s.expected)
}
