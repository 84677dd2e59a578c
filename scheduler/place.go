package scheduler

import (
	"time"

	"github.com/agateturn/agateturn/contention"
)

const (
	// placementInterval is the time after which waiting tasks are tried again without any change.
	placementInterval = 200 * time.Millisecond
	// reservationWait is how long a step has to wait before workers are reserved for it, at most one in
	// reservationDivisor.
	reservationWait    = time.Second
	reservationDivisor = 4
	// starvationWait is how long a gang waits before all workers that it needs are reserved for it.
	starvationWait = 5 * time.Second
	// reservationHorizon is how long workers may be kept idle for a gang before all its tasks can start.
	reservationHorizon = 2 * time.Second
	// suspectFallbackWait is how long a step waits before it uses a suspect worker because no other worker qualifies.
	suspectFallbackWait = time.Second
	// While more than placementBatchSteps steps wait, free capacity is assigned in batches, every
	// placementBatchDelay.
	placementBatchSteps = 64
	placementBatchDelay = 5 * time.Millisecond
)

// placeTasks starts waiting tasks on workers with free capacity, in the order of rank.
func (p *Pool) placeTasks(now time.Time) {
	if !p.placementDue && (p.nextPlacementAt.IsZero() || now.Before(p.nextPlacementAt)) {
		if !p.nextPlacementAt.IsZero() {
			p.wake(p.nextPlacementAt)
		}
		return
	}
	if pause := placementBatchDelay - now.Sub(p.lastPlacementAt); len(p.waitingSteps) > placementBatchSteps && pause > 0 {
		p.wake(now.Add(pause))
		return
	}
	p.lastPlacementAt = now
	p.placementDue = false
	p.nextPlacementAt = time.Time{}
	p.removeIdleSteps()
	p.updateHeld(now, false)
	if len(p.waitingSteps) == 0 {
		return
	}
	usable, suspects := p.trustedWorkers(now)
	reservable := max(1, len(usable)/reservationDivisor)
	movesReserved := false
	order := p.rank(now)
	smallest := minNeed(order)
	candidates := workersWithRoom(usable, smallest)
	for _, c := range order {
		if p.sendBudget.exhausted() {
			break
		}
		if c.Class != contention.ClassPersistent && !movesReserved {
			usable, movesReserved = p.reserveForMoves(usable, reservable), true
			candidates = workersWithRoom(usable, smallest)
		}
		p.placeStep(now, c.step, candidates)
		p.placeOnSuspects(now, c.step, usable, suspects)
		if reservable > 0 && p.mayReserve(now, c.step) {
			var reserved bool
			if usable, reserved = reserveFor(now, c.Class, c.step, usable); reserved {
				reservable--
				candidates = workersWithRoom(usable, smallest)
			}
		}
	}
	p.removeIdleSteps()
	p.updateHeld(now, true)
	if len(p.waitingSteps) > 0 {
		p.placeAgainAt(now.Add(placementInterval))
		p.wake(p.nextPlacementAt)
	}
}

// placeAgainAt has waiting tasks tried again at the given time at the latest.
func (p *Pool) placeAgainAt(at time.Time) {
	if p.nextPlacementAt.IsZero() || at.Before(p.nextPlacementAt) {
		p.nextPlacementAt = at
	}
}

// minNeed returns the smallest need per resource among the tasks of the steps.
func minNeed(order []ranked) Resources {
	if len(order) == 0 {
		return Resources{}
	}
	smallest := order[0].step.need
	for _, c := range order[1:] {
		need := c.step.need
		smallest.CPUMilli = min(smallest.CPUMilli, need.CPUMilli)
		smallest.MemoryMB = min(smallest.MemoryMB, need.MemoryMB)
		smallest.GPU = min(smallest.GPU, need.GPU)
	}
	return smallest
}

// workersWithRoom returns the workers that could hold a task of the smallest need. In a full pool this leaves few
// workers to examine.
func workersWithRoom(workers []*worker, smallest Resources) []*worker {
	fitting := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if smallest.fits(w.free()) {
			fitting = append(fitting, w)
		}
	}
	return fitting
}

func (p *Pool) removeIdleSteps() {
	kept := p.waitingSteps[:0]
	for _, s := range p.waitingSteps {
		if len(s.ready) > 0 && !s.occ.job.isTerminal() {
			kept = append(kept, s)
			continue
		}
		s.inWaitingSteps = false
		s.heldSince = time.Time{}
	}
	clear(p.waitingSteps[len(kept):])
	p.waitingSteps = kept
}

func (p *Pool) usableWorkers(now time.Time) []*worker {
	trusted, _ := p.trustedWorkers(now)
	return trusted
}

// trustedWorkers returns the workers that may be given tasks, and those that are usable but suspect. It updates the
// utilization and the number of idle workers.
func (p *Pool) trustedWorkers(now time.Time) (trusted, suspects []*worker) {
	trusted = make([]*worker, 0, len(p.sortedWorkers))
	var used, capacity int64
	p.idleWorkers = 0
	for _, w := range p.sortedWorkers {
		switch {
		case !w.usable(now):
		case w.health.suspected(now):
			suspects = append(suspects, w)
		default:
			trusted = append(trusted, w)
			used += w.used.CPUMilli
			capacity += w.Capacity.CPUMilli
			if len(w.runs) <= w.trials {
				p.idleWorkers++
			}
		}
	}
	p.utilization = float64(used) / float64(max(1, capacity))
	if len(trusted) < len(suspects) {
		// When most usable workers are suspect, the workers are probably not the cause.
		return append(trusted, suspects...), nil
	}
	return trusted, suspects
}

// placeOnSuspects uses suspect workers for a step for which no trusted worker is permitted and large enough.
func (p *Pool) placeOnSuspects(now time.Time, s *step, trusted, suspects []*worker) {
	if len(s.ready) == 0 || len(suspects) == 0 || now.Sub(s.readySince) < suspectFallbackWait {
		return
	}
	for _, w := range trusted {
		if s.need.fits(w.Capacity) && p.permits(now, s, w) {
			return
		}
	}
	p.placeStep(now, s, suspects)
}

// isPaused reports whether the task must not start yet.
func (p *Pool) isPaused(now time.Time, t *task) bool {
	return now.Before(t.notBefore) || !p.confirmedSince(t.lostAt)
}

func (p *Pool) placeStep(now time.Time, s *step, usable []*worker) {
	if p.takeover.blocksStarts() || p.awaitsEnds(s) || !p.mayStart(now) || p.withinLimit(s, 1) == 0 {
		return
	}
	p.consultAdvice(now, s)
	s.pinRack(usable)
	if s.spec.GetGang() {
		p.placeGang(now, s, usable)
		return
	}
	kept := s.ready[:0]
	noRoom := false
	for i, index := range s.ready {
		if noRoom || p.withinLimit(s, 1) == 0 || p.sendBudget.exhausted() {
			kept = append(kept, s.ready[i:]...)
			break
		}
		t := &s.tasks[index]
		if p.isPaused(now, t) {
			kept = append(kept, index)
			continue
		}
		var w *worker
		if t.crashes.suspected {
			w = p.chooseForTrial(now, t, usable)
		} else if w = p.choose(now, t, usable); w == nil {
			if p.startOnUnprovenWorker(now, t, usable) {
				continue
			}
			noRoom = true
		}
		if w == nil {
			kept = append(kept, index)
			continue
		}
		p.start(now, t, w, p.nextRun())
	}
	s.ready = kept
	if len(kept) == 0 {
		p.prefetchAdvice(now, s)
	}
}
