package scheduler

import (
	"math"
	"time"
)

const (
	// maxRackWait bounds how long a task waits for its preferred rack, and a backfill task for a worker with unused
	// CPU.
	maxRackWait = 1500 * time.Millisecond
	// Above busyUtilization of the capacity, a task waits up to busyRackFactor times as long for its rack.
	busyUtilization = 0.6
	busyRackFactor  = 3
)

// backfillCost returns the cost of running a backfill task on the worker. The more unused CPU the worker has, the lower
// the cost. A worker without enough is avoided until the step has waited for maxRackWait.
func (p *Pool) backfillCost(now time.Time, s *step, w *worker) float64 {
	const (
		mixedPenalty = 0.5
		pacedPenalty = 0.01
	)
	freeAfter := w.free().CPUMilli - w.backfillCPUMilli - s.spec.GetCpuMilli()
	if freeAfter < 0 && now.Sub(s.readySince) < maxRackWait {
		return math.Inf(1)
	}
	cost := -float64(freeAfter) / float64(max(1, w.Capacity.CPUMilli))
	if s.mixesBackfillAndServing(w) {
		cost += mixedPenalty
	}
	return cost + pacedPenalty*float64(fullPacePercent-w.pace.percent)
}

// choose returns the worker with the lowest cost for the task, or nil if none has room.
func (p *Pool) choose(now time.Time, t *task, usable []*worker) *worker {
	var best *worker
	lowest := math.Inf(1)
	for _, w := range usable {
		if !t.step.need.fits(w.free()) || !p.permitsTask(now, t, w) || !p.permitsTrials(now, t, w) {
			continue
		}
		if cost := p.cost(now, t, w) + trialCost(now, t, w) + p.containmentCost(t, w); cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// permitsTask reports whether the task may use the worker, apart from capacity and trials.
func (p *Pool) permitsTask(now time.Time, t *task, w *worker) bool {
	if t.crashes.suspected && !t.step.spec.GetGang() && mayForgetSuccess(t.step, w) {
		return p.permitsApartFromEnds(now, t.step, w) && !w.hasBatchRun() && p.isLastResort(now, t.step, w)
	}
	return p.permits(now, t.step, w)
}

// permits reports whether the step may use the worker, apart from capacity: label, room reserved by preemption, limit
// per host, ticket and ends that the worker may forget.
func (p *Pool) permits(now time.Time, s *step, w *worker) bool {
	return p.permitsApartFromEnds(now, s, w) && p.permitsEnds(now, s, w)
}

func (p *Pool) permitsApartFromEnds(now time.Time, s *step, w *worker) bool {
	if !w.hasLabel(s.spec.GetRequiredLabel()) || !w.availableTo(s) {
		return false
	}
	if limit := s.spec.GetMaxPerHost(); limit > 0 && int64(s.active[w]) >= limit {
		return false
	}
	return p.permitsContained(now, s, w) && p.hasTicket(now, s, w)
}

// cost returns the cost of running the task on the worker. Lower is better; infinite means that it is better to wait.
func (p *Pool) cost(now time.Time, t *task, w *worker) float64 {
	const (
		wrongRackPenalty    = 20
		failedWorkerPenalty = 40
		sameWorkerPenalty   = 10
		sameRackPenalty     = 1
		mixedPenalty        = 2
		duePenalty          = 5
	)
	s := t.step
	if s.spec.GetFills() {
		return p.backfillCost(now, s, w)
	}
	cost := freeShareAfter(s, w)
	if s.wrongRack(w) {
		if now.Sub(s.readySince) < p.rackWait(s) {
			return math.Inf(1)
		}
		cost += wrongRackPenalty
	}
	for _, id := range t.failedOn {
		if id == w.ID {
			cost += failedWorkerPenalty
		}
	}
	if s.spec.GetPersistent() {
		cost += sameWorkerPenalty*float64(s.active[w]) + sameRackPenalty*float64(s.runsOnRack(w.Rack))
		if w.due {
			cost += duePenalty
		}
	}
	if s.mixesBackfillAndServing(w) {
		cost += mixedPenalty
	}
	return cost
}

// runsOnRack counts the runs of the step on a rack.
func (s *step) runsOnRack(rack string) int {
	n := 0
	for w, runs := range s.active {
		if w.Rack == rack {
			n += runs
		}
	}
	return n
}

// freeShareAfter returns the share of the worker's CPU that stays free after placing a task: best-fit bin packing
// prefers the fullest worker that fits.
func freeShareAfter(s *step, w *worker) float64 {
	free := w.free().minus(s.need)
	if w.Capacity.CPUMilli <= 0 {
		return 0
	}
	return float64(free.CPUMilli) / float64(w.Capacity.CPUMilli)
}

// wrongRack reports whether the task would run away from its data or from the other tasks of its step.
func (s *step) wrongRack(w *worker) bool {
	if affinity := s.spec.GetAffinity(); affinity != "" && affinity != w.Rack {
		return true
	}
	if !s.spec.GetSameRack() {
		return false
	}
	return s.rack != w.Rack
}

// pinRack selects the rack of a step that must run on one rack: the rack with the least room that suffices for all its
// waiting tasks, or else the rack with the most room. The rack does not change while any run of the step is active.
func (s *step) pinRack(usable []*worker) {
	if !s.spec.GetSameRack() || len(s.active) > 0 {
		return
	}
	room := map[string]int{}
	for _, w := range usable {
		room[w.Rack] += w.free().countFitting(s.need)
	}
	wanted := len(s.ready)
	s.rack = ""
	for _, rack := range sortedKeys(room) {
		n, best := room[rack], room[s.rack]
		enough, bestEnough := n >= wanted, best >= wanted
		if s.rack == "" || (enough && (!bestEnough || n < best)) || (!enough && !bestEnough && n > best) {
			s.rack = rack
		}
	}
}

// rackWait returns how long waiting for the right rack costs less than running on another one.
func (p *Pool) rackWait(s *step) time.Duration {
	if p.cfg.CrossRackFactor <= 1 || s.spec.GetPersistent() {
		return 0
	}
	crossRackCost := time.Duration(float64(s.expected) * (p.cfg.CrossRackFactor - 1) / 2)
	if p.utilization > busyUtilization {
		// On another rack the task would take capacity from others for longer.
		return min(busyRackFactor*crossRackCost, busyRackFactor*maxRackWait)
	}
	return min(crossRackCost, maxRackWait)
}

// mixesBackfillAndServing reports whether placing the task would put backfill and serving tasks on the same worker.
func (s *step) mixesBackfillAndServing(w *worker) bool {
	fills, serves := s.spec.GetFills(), s.spec.GetTargetMs() > 0
	if !fills && !serves {
		return false
	}
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		other := r.task.step.spec
		if (fills && other.GetTargetMs() > 0) || (serves && other.GetFills()) {
			return true
		}
	}
	return false
}
