package scheduler

import (
	"sort"
	"time"
)

const (
	// lateFactor times the objective is when a job is worth nothing any more.
	lateFactor = 3
	// A job is worth baseWorth plus workWorth times its work against the mean of its queue, at most maxWorth.
	baseWorth = 0.3
	workWorth = 0.7
	maxWorth  = 4
	// agingWeight raises jobs as their objective comes nearer, steeply at last, so that large ones are not starved.
	agingWeight = 30
)

// ranked is a step in the order of placement.
type ranked struct {
	step     *step
	class    int
	priority int
	key      float64
}

// Classes of placement, first to last.
const (
	classPersistent = iota
	// classStarved is for gangs that have waited for long: what is smaller would take all room that comes free for ever.
	classStarved
	classOnTime
	classLate
	classHopeless
)

func (p *Pool) rank(now time.Time) []ranked {
	order := make([]ranked, 0, len(p.open))
	for _, s := range p.open {
		order = append(order, p.rankStep(now, s))
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
	took := s.willHaveTaken(now)
	switch {
	case took <= objective:
		r.class = classOnTime
	case took <= lateFactor*objective:
		r.class = classLate
	default:
		r.class = classHopeless
		r.key = float64(o.due.UnixMilli())
		return r
	}
	r.key = o.remaining() / p.worth(o.job)
	if objective > 0 {
		urgency := min(1, float64(took)/float64(objective))
		r.key /= 1 + agingWeight*urgency*urgency*urgency*urgency
	}
	return r
}

// willHaveTaken is how long the occurrence will have taken if the step and what follows it begin now.
func (s *step) willHaveTaken(now time.Time) time.Duration { return now.Sub(s.occ.due) + s.chain }

// objective is the time in which an occurrence is on time.
func (p *Pool) objective(o *occurrence) time.Duration {
	q := p.queueOf(o.job)
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(o.job.chain)) + q.TargetDuration
}

// worth of a job against the mean of its queue.
func (p *Pool) worth(j *job) float64 {
	mean := p.learned.meanWork(j.queue)
	if mean <= 0 {
		return 1
	}
	return min(maxWorth, baseWorth+workWorth*j.work/mean)
}

// remaining is the expected work left, in thousandths of a core times milliseconds.
func (o *occurrence) remaining() float64 {
	var sum float64
	for _, s := range o.steps {
		sum += float64(len(s.tasks)-s.done) * s.load()
	}
	return sum
}

// load is the expected work of one task.
func (s *step) load() float64 {
	return float64(max(1, s.spec.GetCpuMilli())) * millis(s.expected)
}
