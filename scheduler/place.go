package scheduler

import (
	"math"
	"sort"
	"time"
)

const (
	// placeEvery is the pause until waiting tasks are tried again without a change.
	placeEvery = 200 * time.Millisecond
	// maxRackWait bounds how long a task waits for the rack that it prefers.
	maxRackWait = 1500 * time.Millisecond
	// Above busyShare of the capacity in use, a task waits busyRackFactor times as long for its rack.
	busyShare      = 0.6
	busyRackFactor = 3
	// reserveAfter is how long a step has to wait before workers are kept free for it, at most one in reserveShare.
	reserveAfter = time.Second
	reserveShare = 4
	// distrustWait is how long a step waits before a suspect worker is taken for want of any other.
	distrustWait = time.Second
	// While more than crowdedSteps steps wait, room that comes free is given away together, every crowdedPause.
	crowdedSteps = 64
	crowdedPause = 5 * time.Millisecond
)

// placeTasks starts waiting tasks where there is room, what earns most first.
func (p *Pool) placeTasks(now time.Time) {
	if !p.place && (p.placeAt.IsZero() || now.Before(p.placeAt)) {
		if !p.placeAt.IsZero() {
			p.wake(p.placeAt)
		}
		return
	}
	if pause := crowdedPause - now.Sub(p.placedAt); len(p.open) > crowdedSteps && pause > 0 {
		p.wake(now.Add(pause))
		return
	}
	p.placedAt = now
	p.place = false
	p.placeAt = time.Time{}
	p.dropIdleSteps()
	if len(p.open) == 0 {
		return
	}
	usable, suspects := p.trustedWorkers(now)
	reservable := max(1, len(usable)/reserveShare)
	kept := false
	order := p.rank(now)
	least := leastNeed(order)
	roomy := withRoom(usable, least)
	for _, c := range order {
		if p.sending.spent() {
			break
		}
		if c.class != classPersistent && !kept {
			usable, kept = p.keepRoom(usable, reservable), true
			roomy = withRoom(usable, least)
		}
		p.placeStep(now, c.step, roomy)
		p.placeAnyway(now, c.step, usable, suspects)
		if reservable > 0 && len(c.step.ready) > 0 && now.Sub(c.step.readySince) > reserveAfter {
			var reserved bool
			if usable, reserved = reserveFor(c.step, usable); reserved {
				reservable--
				roomy = withRoom(usable, least)
			}
		}
	}
	p.dropIdleSteps()
	if len(p.open) > 0 {
		p.placeAt = now.Add(placeEvery)
		p.wake(p.placeAt)
	}
}

// leastNeed is what every task of the steps needs at least.
func leastNeed(order []ranked) Resources {
	if len(order) == 0 {
		return Resources{}
	}
	least := order[0].step.need
	for _, c := range order[1:] {
		need := c.step.need
		least.CPUMilli = min(least.CPUMilli, need.CPUMilli)
		least.MemoryMB = min(least.MemoryMB, need.MemoryMB)
		least.GPU = min(least.GPU, need.GPU)
	}
	return least
}

// withRoom returns the workers that could hold a task of the least need: in a full pool few are left to look at.
func withRoom(workers []*worker, least Resources) []*worker {
	roomy := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if least.fits(w.free()) {
			roomy = append(roomy, w)
		}
	}
	return roomy
}

func (p *Pool) dropIdleSteps() {
	kept := p.open[:0]
	for _, s := range p.open {
		if len(s.ready) > 0 && !s.occ.job.over() {
			kept = append(kept, s)
			continue
		}
		s.listed = false
	}
	clear(p.open[len(kept):])
	p.open = kept
}

func (p *Pool) usableWorkers(now time.Time) []*worker {
	trusted, _ := p.trustedWorkers(now)
	return trusted
}

// trustedWorkers returns the workers that may be given tasks, and those that are usable but suspect.
func (p *Pool) trustedWorkers(now time.Time) (trusted, suspects []*worker) {
	trusted = make([]*worker, 0, len(p.order))
	var used, capacity int64
	for _, w := range p.order {
		switch {
		case !w.usable(now):
		case w.trust.suspected(now):
			suspects = append(suspects, w)
		default:
			trusted = append(trusted, w)
			used += w.used.CPUMilli
			capacity += w.Capacity.CPUMilli
		}
	}
	p.busy = float64(used) / float64(max(1, capacity))
	if len(trusted) < len(suspects) {
		// When most workers look bad, it is not the workers.
		return append(trusted, suspects...), nil
	}
	return trusted, suspects
}

// placeAnyway uses suspect workers for a step that no other worker may ever run.
func (p *Pool) placeAnyway(now time.Time, s *step, trusted, suspects []*worker) {
	if len(s.ready) == 0 || len(suspects) == 0 || now.Sub(s.readySince) < distrustWait {
		return
	}
	for _, w := range trusted {
		if s.need.fits(w.Capacity) && p.permits(now, s, w) {
			return
		}
	}
	p.placeStep(now, s, suspects)
}

func (p *Pool) placeStep(now time.Time, s *step, usable []*worker) {
	if p.takeover.holds(s.occ.job) {
		return
	}
	p.consultAdvice(now, s)
	s.pinRack(usable)
	if s.spec.GetGang() {
		p.placeGang(now, s, usable)
		return
	}
	kept := s.ready[:0]
	full := false
	for _, index := range s.ready {
		t := &s.tasks[index]
		if full || p.sending.spent() || now.Before(t.notBefore) {
			kept = append(kept, index)
			continue
		}
		w := p.choose(now, t, usable)
		if w == nil {
			full = true
			kept = append(kept, index)
			continue
		}
		p.start(now, t, w, p.nextRun())
	}
	s.ready = kept
	if len(kept) == 0 {
		p.adviseAhead(now, s)
	}
}

// reserveFor takes a worker that could come to hold a task of the step from those that later steps may use.
func reserveFor(s *step, usable []*worker) ([]*worker, bool) {
	if s.spec.GetGang() {
		return reserveGang(s, usable)
	}
	best := -1
	for i, w := range usable {
		if !s.need.fits(w.Capacity) || !w.hasLabel(s.spec.GetRequiredLabel()) {
			continue
		}
		if s.need.fits(w.free()) {
			// It waits for something else than room.
			return usable, false
		}
		if best < 0 || w.free().CPUMilli > usable[best].free().CPUMilli {
			best = i
		}
	}
	if best < 0 {
		return usable, false
	}
	rest := append([]*worker(nil), usable[:best]...)
	return append(rest, usable[best+1:]...), true
}

// reserveGang takes as many workers as a gang needs, at most half of them, those with the most room first.
func reserveGang(s *step, usable []*worker) ([]*worker, bool) {
	order := append([]*worker(nil), usable...)
	sort.SliceStable(order, func(a, b int) bool { return order[a].free().CPUMilli > order[b].free().CPUMilli })
	taken, room := 0, 0
	for taken < len(order)/2 && room < len(s.tasks) {
		if order[taken].hasLabel(s.spec.GetRequiredLabel()) {
			room += order[taken].Capacity.holds(s.need)
		}
		taken++
	}
	return order[taken:], taken > 0
}

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
