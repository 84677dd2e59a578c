package scheduler

import "time"

const (
	// defaultDuration is the expected duration of tasks without an estimate.
	defaultDuration = time.Second
	// movingAverageRate is the weight of a new observation.
	movingAverageRate = 0.1
	// minLearnedSamples is the number of observations after which the learned values are used.
	minLearnedSamples = 5
	// learnedShare is the weight of the learned duration against the corrected estimate.
	learnedShare = 0.5
	// maxLearnedKinds bounds the number of task kinds for which durations are kept.
	maxLearnedKinds = 2000
)

// learned holds moving averages of task durations and job sizes.
type learned struct {
	tasks map[taskKind]*taskDurations
	work  map[string]*movingAverage
	// progressMoves is set once the reported percent of a batch task has advanced while it runs.
	progressMoves bool
}

// taskKind groups tasks that are expected to take equally long.
type taskKind struct {
	queue, image string
	step         int
}

type taskDurations struct {
	// actual is in ms, ratio is actual divided by estimate.
	actual, ratio movingAverage
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(v float64) {
	m.count++
	rate := max(movingAverageRate, 1/float64(m.count))
	m.value += rate * (v - m.value)
}

func newLearned() learned {
	return learned{tasks: map[taskKind]*taskDurations{}, work: map[string]*movingAverage{}}
}

func (l *learned) averageWork(queue string) float64 {
	if m := l.work[queue]; m != nil {
		return m.value
	}
	return 0
}

func (s *step) kind() taskKind {
	return taskKind{s.occ.job.queue, s.spec.GetImage(), s.number}
}

// expectedDuration returns the expected duration of a task of the step.
func (l *learned) expectedDuration(s *step) time.Duration {
	estimate := float64(s.spec.GetEstimateMs())
	d := l.tasks[s.kind()]
	known := d != nil && d.actual.count >= minLearnedSamples
	switch {
	case estimate <= 0 && !known:
		return defaultDuration
	case estimate <= 0:
		return time.Duration(d.actual.value * float64(time.Millisecond))
	case known:
		estimate = learnedShare*d.actual.value + (1-learnedShare)*estimate*d.ratio.value
	}
	return time.Duration(estimate * float64(time.Millisecond))
}

// estimate sets the expected durations and critical paths of an occurrence, and the expected work of its job.
func (p *Pool) estimate(o *occurrence) {
	var work float64
	var longest time.Duration
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.expected = p.learned.expectedDuration(s)
		s.criticalPath = s.expected
		for _, f := range s.followers {
			s.criticalPath = max(s.criticalPath, s.expected+f.criticalPath)
		}
		longest = max(longest, s.criticalPath)
		if !s.spec.GetPersistent() {
			work += float64(len(s.tasks)) * s.expectedTaskWork()
		}
	}
	j := o.job
	j.criticalPath = longest
	j.work = work
	if work <= 0 {
		return
	}
	m := p.learned.work[j.queue]
	if m == nil {
		m = &movingAverage{}
		p.learned.work[j.queue] = m
	}
	m.add(work)
}

// learnFromEnd updates the health of the worker and, after a success, the learned durations when a run ends.
func (p *Pool) learnFromEnd(now time.Time, r *run, end RunEnd) {
	p.updateHealth(now, r, end)
	s := r.task.step
	if end != EndSucceeded || r.resumed || r.orderedAt.IsZero() || s.spec.GetPersistent() || s.wrongRack(r.worker) {
		return
	}
	took := millis(now.Sub(r.orderedAt))
	if took <= 0 {
		return
	}
	k := s.kind()
	d := p.learned.tasks[k]
	if d == nil {
		if len(p.learned.tasks) >= maxLearnedKinds {
			return
		}
		d = &taskDurations{}
		p.learned.tasks[k] = d
	}
	d.actual.add(took)
	if estimate := s.spec.GetEstimateMs(); estimate > 0 {
		d.ratio.add(took / float64(estimate))
	}
}
