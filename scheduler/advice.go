package scheduler

import (
	"sort"
	"time"
)

const (
	// A request names as many workers as are likely to be needed; the service takes longer for each.
	minAdviceWorkers = 4
	maxAdviceWorkers = 100
	// minGoodShare is the least share of workers that is expected to be permitted.
	minGoodShare = 0.2
	// aheadFactor times the duration of a step is how long tickets have to last to be asked for ahead.
	aheadFactor = 2
	// adviceCalls bounds the requests on their way, so that the most urgent steps are asked about first.
	adviceCalls = 4
	// adviceTimeout is when a request without an answer is given up.
	adviceTimeout = 6 * time.Second
	// adviceMargin is taken off the validity of tickets.
	adviceMargin     = 300 * time.Millisecond
	adviceRetry      = 300 * time.Millisecond
	maxAdviceRetries = 3
)

// adviceDesk counts the requests on their way.
type adviceDesk struct {
	inFlight []*step
	// good is the share of workers that the service permits.
	good mean
}

// stepAdvice is what the policy service has said about one step.
type stepAdvice struct {
	asking  bool
	askedAt time.Time
	retryAt time.Time
	retries int
	// verdicts by worker; a worker that may not run the step never may in the same lifetime.
	verdicts map[string]verdict
}

type verdict struct {
	born    int64
	good    bool
	ticket  string
	expires time.Time
}

func newAdviceDesk() adviceDesk { return adviceDesk{} }

func (p *Pool) needsAdvice(s *step) bool {
	return p.queueOf(s.occ.job).Advice != nil
}

// consultAdvice asks for advice on a step when no permitted worker has room.
func (p *Pool) consultAdvice(now time.Time, s *step) {
	if !p.needsAdvice(s) {
		return
	}
	if s.advice == nil {
		s.advice = &stepAdvice{verdicts: map[string]verdict{}}
	}
	p.askAdvice(now, s)
}

func (p *Pool) askAdvice(now time.Time, s *step) {
	a := s.advice
	if a.asking {
		if now.Sub(a.askedAt) < adviceTimeout {
			return
		}
		p.advice.done(s)
	}
	if now.Before(a.retryAt) || len(p.advice.inFlight) >= adviceCalls || p.permittedRoom(now, s) {
		return
	}
	names := p.adviceCandidates(now, s)
	if len(names) == 0 {
		return
	}
	a.asking = true
	a.askedAt = now
	p.advice.inFlight = append(p.advice.inFlight, s)
	p.out.Advice = append(p.out.Advice, AdviceRequest{
		Job: s.occ.job.id, Occurrence: s.occ.number, Step: s.number, Workers: names,
	})
}

// adviseAhead asks about the steps that follow, if tickets last until they begin.
func (p *Pool) adviseAhead(now time.Time, s *step) {
	if s.advice == nil {
		return
	}
	valid := p.queueOf(s.occ.job).Advice
	if valid == nil || valid.TicketLifetime < aheadFactor*s.expected+adviceMargin {
		return
	}
	for _, f := range s.followers {
		if f.blocked == 1 && f.advice == nil {
			p.consultAdvice(now, f)
		}
	}
}

// unplaced counts the tasks that will need a worker.
func (s *step) unplaced() int {
	if s.opened {
		return len(s.ready)
	}
	return len(s.tasks) - s.done
}

// permittedRoom tells whether workers with tickets have room for all tasks that wait.
func (p *Pool) permittedRoom(now time.Time, s *step) bool {
	room := 0
	for _, w := range p.order {
		if w.usable(now) && s.need.fits(w.free()) && p.hasTicket(now, s, w) {
			room += w.free().holds(s.need)
		}
	}
	return room >= s.unplaced()
}

// adviceCandidates are the workers to ask about: those with the most room that have no verdict yet.
func (p *Pool) adviceCandidates(now time.Time, s *step) []string {
	var ws []*worker
	for _, w := range p.order {
		if w.closing() || !w.hasLabel(s.spec.GetRequiredLabel()) {
			continue
		}
		if !s.hasVerdict(now, w) && s.need.fits(w.Capacity) {
			ws = append(ws, w)
		}
	}
	sort.SliceStable(ws, func(a, b int) bool { return ws[a].free().CPUMilli > ws[b].free().CPUMilli })
	var names []string
	wanted := float64(s.unplaced()) / max(minGoodShare, p.advice.good.value)
	for _, w := range ws {
		if len(names) >= maxAdviceWorkers || (len(names) >= minAdviceWorkers && wanted <= 0) {
			break
		}
		names = append(names, w.ID)
		wanted -= float64(max(1, w.free().holds(s.need)))
	}
	return names
}

// hasVerdict tells whether the policy service has judged this life of the worker, and its ticket, if any, still holds.
func (s *step) hasVerdict(now time.Time, w *worker) bool {
	v, known := s.advice.verdicts[w.ID]
	return known && v.born == w.Born && (!v.good || now.Before(v.expires))
}

// Advised takes an answer of the policy service.
func (p *Pool) Advised(now time.Time, a Advice) {
	j := p.jobs[a.Job]
	if j == nil || j.over() {
		return
	}
	o := j.occurrence(a.Occurrence)
	if o == nil || a.Step < 0 || a.Step >= len(o.steps) {
		return
	}
	s := o.steps[a.Step]
	if s.advice == nil {
		return
	}
	p.advice.done(s)
	p.place = true
	if a.Failed {
		s.advice.retryAt = now.Add(adviceRetry << min(s.advice.retries, maxAdviceRetries))
		s.advice.retries++
		return
	}
	s.advice.retries = 0
	if len(a.Asked) > 0 {
		p.advice.good.add(float64(len(a.Tickets)) / float64(len(a.Asked)))
	}
	for _, id := range a.Asked {
		w := p.workers[id]
		if w == nil {
			continue
		}
		ticket, good := a.Tickets[id]
		s.advice.verdicts[id] = verdict{
			born: w.Born, good: good, ticket: ticket, expires: s.advice.askedAt.Add(a.ValidFor - adviceMargin),
		}
	}
}

// done takes the step off the requests on their way.
func (d *adviceDesk) done(s *step) {
	s.advice.asking = false
	for i, x := range d.inFlight {
		if x == s {
			d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
			return
		}
	}
}

// expire gives up requests of steps that have gone or wait for too long.
func (d *adviceDesk) expire(now time.Time) {
	for _, s := range append([]*step(nil), d.inFlight...) {
		if s.occ.job.over() || now.Sub(s.advice.askedAt) >= adviceTimeout {
			d.done(s)
		}
	}
}

func (p *Pool) hasTicket(now time.Time, s *step, w *worker) bool {
	if !p.needsAdvice(s) {
		return true
	}
	if s.advice == nil {
		return false
	}
	v := s.advice.verdicts[w.ID]
	return v.good && v.born == w.Born && now.Before(v.expires)
}

func ticketOf(s *step, w *worker) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.verdicts[w.ID].ticket
}

// dropTicket forgets a ticket that a worker refused.
func dropTicket(r *run) {
	if r.task != nil && r.task.step.advice != nil {
		delete(r.task.step.advice.verdicts, r.worker.ID)
	}
}

// holds is how many tasks of that need fit.
func (a Resources) holds(need Resources) int {
	const many = 1 << 20
	n := int64(many)
	for _, d := range [...][2]int64{{a.CPUMilli, need.CPUMilli}, {a.MemoryMB, need.MemoryMB}, {a.GPU, need.GPU}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(0, n))
}
