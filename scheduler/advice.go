package scheduler

import (
	"sort"
	"time"

	"github.com/samber/lo"
)

const (
	// A request names only as many workers as are likely to be needed, because the service takes longer the more
	// workers it checks.
	minAdviceWorkers = 4
	maxAdviceWorkers = 100
	// minPermitRate is the lower bound of the permit rate when a request is sized.
	minPermitRate = 0.2
	// Tickets must be valid for prefetchFactor times the duration of a step before advice on its followers is
	// prefetched.
	prefetchFactor = 2
	// maxAdviceInFlight bounds the outstanding requests, so that the requests for the most urgent steps go first.
	maxAdviceInFlight = 4
	// adviceTimeout is how long to wait for the answer to a request.
	adviceTimeout = 6 * time.Second
	// ticketExpiryMargin is subtracted from the validity of tickets.
	ticketExpiryMargin    = 300 * time.Millisecond
	adviceRetryDelay      = 300 * time.Millisecond
	maxAdviceBackoffSteps = 3
)

// adviceTracker tracks the outstanding advice requests.
type adviceTracker struct {
	inFlight []*step
	// permitRate is the moving average of the share of workers that the service permits.
	permitRate movingAverage
}

// stepAdvice holds the state of the advice request for one step and the verdicts received so far.
type stepAdvice struct {
	requested   bool
	requestedAt time.Time
	retryAt     time.Time
	retries     int
	// asked holds the incarnations of the workers that the latest request names.
	asked map[string]int64
	// verdicts are keyed by worker id. A refusal stays valid for the whole incarnation of the worker.
	verdicts map[string]verdict
}

type verdict struct {
	incarnation int64
	permitted   bool
	ticket      string
	expires     time.Time
}

func newAdviceTracker() adviceTracker { return adviceTracker{} }

func (p *Pool) needsAdvice(s *step) bool {
	return p.termsOf(s.occ.job).advised
}

// consultAdvice requests advice on a step if the permitted workers do not have enough room for it.
func (p *Pool) consultAdvice(now time.Time, s *step) {
	if !p.needsAdvice(s) {
		return
	}
	if s.advice == nil {
		s.advice = &stepAdvice{verdicts: map[string]verdict{}}
	}
	p.requestAdvice(now, s)
}

func (p *Pool) requestAdvice(now time.Time, s *step) {
	a := s.advice
	if a.requested {
		if now.Sub(a.requestedAt) < adviceTimeout {
			return
		}
		p.advice.done(s)
	}
	if now.Before(a.retryAt) || len(p.advice.inFlight) >= maxAdviceInFlight || p.hasPermittedRoom(now, s) {
		return
	}
	names := p.adviceCandidates(now, s)
	if len(names) == 0 {
		return
	}
	a.requested = true
	a.requestedAt = now
	a.asked = lo.SliceToMap(names, func(id string) (string, int64) { return id, p.workers[id].Born })
	p.advice.inFlight = append(p.advice.inFlight, s)
	p.out.Advice = append(p.out.Advice, AdviceRequest{
		Job: s.occ.job.id, Occurrence: s.occ.number, Step: s.number, Workers: names,
	})
}

// prefetchAdvice requests advice on the steps that only this step still blocks, if tickets remain valid until those
// steps begin.
func (p *Pool) prefetchAdvice(now time.Time, s *step) {
	if s.advice == nil {
		return
	}
	terms := p.termsOf(s.occ.job)
	if !terms.advised || terms.ticketLifetime < prefetchFactor*s.expected+ticketExpiryMargin {
		return
	}
	for _, f := range s.followers {
		if f.blockedBy == 1 && f.advice == nil {
			p.consultAdvice(now, f)
		}
	}
}

// countUnplaced counts the tasks that still need a worker.
func (s *step) countUnplaced() int {
	if s.opened {
		return len(s.ready)
	}
	return len(s.tasks) - s.doneTasks
}

// hasPermittedRoom reports whether workers with valid tickets have room for all unplaced tasks.
func (p *Pool) hasPermittedRoom(now time.Time, s *step) bool {
	room := 0
	for _, w := range p.sortedWorkers {
		if w.usable(now) && s.need.fits(w.free()) && p.hasTicket(now, s, w) {
			room += w.free().countFitting(s.need)
		}
	}
	return room >= s.countUnplaced()
}

// adviceCandidates returns the workers to name in a request: those without a valid verdict, most free CPU first.
func (p *Pool) adviceCandidates(now time.Time, s *step) []string {
	var ws []*worker
	for _, w := range p.sortedWorkers {
		if w.isExcluded() || !w.hasLabel(s.spec.GetRequiredLabel()) {
			continue
		}
		if !s.hasVerdict(now, w) && s.need.fits(w.Capacity) {
			ws = append(ws, w)
		}
	}
	sort.SliceStable(ws, func(a, b int) bool { return ws[a].free().CPUMilli > ws[b].free().CPUMilli })
	var names []string
	wanted := float64(s.countUnplaced()) / max(minPermitRate, p.advice.permitRate.value)
	for _, w := range ws {
		if len(names) >= maxAdviceWorkers || (len(names) >= minAdviceWorkers && wanted <= 0) {
			break
		}
		names = append(names, w.ID)
		wanted -= float64(max(1, w.free().countFitting(s.need)))
	}
	return names
}

// hasVerdict reports whether the policy service has answered for this incarnation of the worker and the ticket, if
// any, is still valid.
func (s *step) hasVerdict(now time.Time, w *worker) bool {
	v, known := s.advice.verdicts[w.ID]
	return known && v.incarnation == w.Born && (!v.permitted || now.Before(v.expires))
}

// ApplyAdvice applies an answer of the policy service.
func (p *Pool) ApplyAdvice(now time.Time, a Advice) {
	j := p.jobs[a.Job]
	if j == nil || j.isTerminal() {
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
	p.placementDue = true
	if a.Failed {
		s.advice.retryAt = now.Add(adviceRetryDelay << min(s.advice.retries, maxAdviceBackoffSteps))
		s.advice.retries++
		return
	}
	s.advice.retries = 0
	if len(a.Asked) > 0 {
		p.advice.permitRate.add(float64(len(a.Tickets)) / float64(len(a.Asked)))
	}
	for _, id := range a.Asked {
		w := p.workers[id]
		if asked, ok := s.advice.asked[id]; w == nil || !ok || asked != w.Born {
			continue
		}
		ticket, permitted := a.Tickets[id]
		s.advice.verdicts[id] = verdict{
			incarnation: w.Born, permitted: permitted, ticket: ticket, expires: s.advice.requestedAt.Add(a.ValidFor - ticketExpiryMargin),
		}
	}
}

// done removes the step from the outstanding requests.
func (d *adviceTracker) done(s *step) {
	s.advice.requested = false
	for i, x := range d.inFlight {
		if x == s {
			d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
			return
		}
	}
}

// expire drops requests that timed out and requests of jobs that have ended.
func (d *adviceTracker) expire(now time.Time) {
	for _, s := range append([]*step(nil), d.inFlight...) {
		if s.occ.job.isTerminal() || now.Sub(s.advice.requestedAt) >= adviceTimeout {
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
	return v.permitted && v.incarnation == w.Born && now.Before(v.expires)
}

func ticketOf(s *step, w *worker) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.verdicts[w.ID].ticket
}

// discardTicket drops the verdict whose ticket a worker refused, so that advice is requested again.
func discardTicket(r *run) {
	if r.task != nil && r.task.step.advice != nil {
		delete(r.task.step.advice.verdicts, r.worker.ID)
	}
}

// countFitting returns how many tasks with the given need fit.
func (a Resources) countFitting(need Resources) int {
	const maxCount = 1 << 20
	n := int64(maxCount)
	for _, d := range [...][2]int64{{a.CPUMilli, need.CPUMilli}, {a.MemoryMB, need.MemoryMB}, {a.GPU, need.GPU}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(0, n))
}
