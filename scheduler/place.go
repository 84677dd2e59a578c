package scheduler

import "time"

const (
	// placeEvery is the pause until waiting tasks are tried again without a change.
	placeEvery = 200 * time.Millisecond
	// reserveAfter is how long a step has to wait before workers are kept free for it, at most one in reserveShare.
	reserveAfter = time.Second
	reserveShare = 4
	// starvedAfter is how long a gang waits before all workers that it needs are kept free for it.
	starvedAfter = 5 * time.Second
	// freeSoon is how long they may be kept free before all its tasks can start.
	freeSoon = 2 * time.Second
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
		if reservable > 0 && c.step.waitsLong(now) {
			var reserved bool
			if usable, reserved = reserveFor(now, c.class, c.step, usable); reserved {
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
	if p.takeover.holds() {
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
