package scheduler

import (
	"math"
	"time"
)

const (
	// maxRackWait bounds how long a task waits for the rack that it prefers.
	maxRackWait = 1500 * time.Millisecond
	// Above busyShare of the capacity in use, a task waits busyRackFactor times as long for its rack.
	busyShare      = 0.6
	busyRackFactor = 3
)

// fillCost prefers workers whose capacity is least used; a worker without any left is waited for.
func (p *Pool) fillCost(now time.Time, s *step, w *worker) float64 {
	const (
		mixed = 0.5
		paced = 0.01
	)
	left := w.free().CPUMilli - w.fillCPU - s.spec.GetCpuMilli()
	if left < 0 && now.Sub(s.readySince) < maxRackWait {
		return math.Inf(1)
	}
	cost := -float64(left) / float64(max(1, w.Capacity.CPUMilli))
	if s.mixes(w) {
		cost += mixed
	}
	return cost + paced*float64(fullPace-w.pace.percent)
}

// choose returns the best worker for the task, nil if none has room.
func (p *Pool) choose(now time.Time, t *task, usable []*worker) *worker {
	var best *worker
	lowest := math.Inf(1)
	for _, w := range usable {
		if !t.step.need.fits(w.free()) || !p.permits(now, t.step, w) {
			continue
		}
		if cost := p.cost(now, t, w); cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// permits tells whether the rules of the step allow the worker.
func (p *Pool) permits(now time.Time, s *step, w *worker) bool {
	if !w.hasLabel(s.spec.GetRequiredLabel()) || !w.keptFor(s) {
		return false
	}
	if limit := s.spec.GetMaxPerHost(); limit > 0 && int64(s.active[w]) >= limit {
		return false
	}
	return p.hasTicket(now, s, w)
}

// cost of running the task on the worker; infinite if it is better to wait. Lower is better.
func (p *Pool) cost(now time.Time, t *task, w *worker) float64 {
	const (
		otherRack  = 20
		failedHere = 40
		sameJob    = 10
		sameRack   = 1
		mixed      = 2
	)
	s := t.step
	if s.spec.GetFills() {
		return p.fillCost(now, s, w)
	}
	cost := leftover(s, w)
	if s.wrongRack(w) {
		if now.Sub(s.readySince) < p.rackWait(s) {
			return math.Inf(1)
		}
		cost += otherRack
	}
	for _, id := range t.failedOn {
		if id == w.ID {
			cost += failedHere
		}
	}
	if s.spec.GetPersistent() {
		cost += sameJob*float64(s.active[w]) + sameRack*float64(s.onRack(w.Rack))
	}
	if s.mixes(w) {
		cost += mixed
	}
	return cost
}

// onRack counts the runs of the step on a rack.
func (s *step) onRack(rack string) int {
	n := 0
	for w, runs := range s.active {
		if w.Rack == rack {
			n += runs
		}
	}
	return n
}

// leftover is the share of the worker that stays free: the fullest worker that fits comes first.
func leftover(s *step, w *worker) float64 {
	free := w.free().minus(s.need)
	if w.Capacity.CPUMilli <= 0 {
		return 0
	}
	return float64(free.CPUMilli) / float64(w.Capacity.CPUMilli)
}

// wrongRack tells whether the task would be far from its data or from the rest of its step.
func (s *step) wrongRack(w *worker) bool {
	if affinity := s.spec.GetAffinity(); affinity != "" && affinity != w.Rack {
		return true
	}
	if !s.spec.GetSameRack() {
		return false
	}
	return s.rack != w.Rack
}

// pinRack sets on which rack a step that wants one rack is to run: the fullest one that has room for all of it, or else
// the one with the most room. It stays as long as something of the step runs.
func (s *step) pinRack(usable []*worker) {
	if !s.spec.GetSameRack() || len(s.active) > 0 {
		return
	}
	room := map[string]int{}
	for _, w := range usable {
		room[w.Rack] += w.free().holds(s.need)
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

// rackWait is how long waiting for the right rack costs less than running elsewhere.
func (p *Pool) rackWait(s *step) time.Duration {
	if p.cfg.CrossRackFactor <= 1 || s.spec.GetPersistent() {
		return 0
	}
	gain := time.Duration(float64(s.expected) * (p.cfg.CrossRackFactor - 1) / 2)
	if p.busy > busyShare {
		// Elsewhere it would take room from others for longer.
		return min(busyRackFactor*gain, busyRackFactor*maxRackWait)
	}
	return min(gain, maxRackWait)
}

// mixes tells whether the worker would both serve and fill by taking the task.
func (s *step) mixes(w *worker) bool {
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
