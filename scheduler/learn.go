package scheduler

import "time"

const (
	// defaultDuration is expected of tasks without an estimate.
	defaultDuration = time.Second
	// learnRate is the weight of a new observation.
	learnRate = 0.1
	// minSamples are needed before what was learned counts.
	minSamples = 5
	// learnedShare is the weight of the learned duration against the corrected estimate.
	learnedShare = 0.5
	// maxLearned bounds the kinds of tasks that are remembered.
	maxLearned = 2000
)

// learned keeps what ends have taught.
type learned struct {
	tasks map[taskKind]*duration
	work  map[string]*mean
	// moves tells whether the percent of batch tasks moves while they work.
	moves bool
}

// taskKind tells tasks apart that behave alike.
type taskKind struct {
	queue, image string
	step         int
}

type duration struct {
	// actual is in ms, ratio is actual against estimate.
	actual, ratio mean
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	count int
}

func (m *mean) add(v float64) {
	m.count++
	rate := max(learnRate, 1/float64(m.count))
	m.value += rate * (v - m.value)
}

func newLearned() learned {
	return learned{tasks: map[taskKind]*duration{}, work: map[string]*mean{}}
}

func (l *learned) meanWork(queue string) float64 {
	if m := l.work[queue]; m != nil {
		return m.value
	}
	return 0
}

func (s *step) kind() taskKind {
	return taskKind{s.occ.job.queue, s.spec.GetImage(), s.number}
}

// expect is the duration to expect of a task.
func (l *learned) expect(s *step) time.Duration {
	estimate := float64(s.spec.GetEstimateMs())
	d := l.tasks[s.kind()]
	known := d != nil && d.actual.count >= minSamples
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

// estimate sets the durations and chains of an occurrence, and the work of its job.
func (p *Pool) estimate(o *occurrence) {
	var work float64
	var longest time.Duration
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.expected = p.learned.expect(s)
		s.chain = s.expected
		for _, f := range s.followers {
			s.chain = max(s.chain, s.expected+f.chain)
		}
		longest = max(longest, s.chain)
		if !s.spec.GetPersistent() {
			work += float64(len(s.tasks)) * s.load()
		}
	}
	j := o.job
	j.chain = longest
	j.work = work
	if work <= 0 {
		return
	}
	m := p.learned.work[j.queue]
	if m == nil {
		m = &mean{}
		p.learned.work[j.queue] = m
	}
	m.add(work)
}

// learnEnd learns from the end of a run.
func (p *Pool) learnEnd(now time.Time, r *run, end RunEnd) {
	p.judge(now, r, end)
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
		if len(p.learned.tasks) >= maxLearned {
			return
		}
		d = &duration{}
		p.learned.tasks[k] = d
	}
	d.actual.add(took)
	if estimate := s.spec.GetEstimateMs(); estimate > 0 {
		d.ratio.add(took / float64(estimate))
	}
}
