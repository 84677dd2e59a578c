package scheduler

import (
	"sort"
	"time"
)

// waitsLong tells whether workers may be kept free for the step.
func (s *step) waitsLong(now time.Time) bool {
	return len(s.ready) > 0 && now.Sub(s.readySince) > reserveAfter
}

// reserveFor takes a worker that could come to hold a task of the step from those that later steps may use.
func reserveFor(now time.Time, class int, s *step, usable []*worker) ([]*worker, bool) {
	if class == classStarved {
		if rest, reserved := reserveAll(now, s, usable); reserved {
			return rest, true
		}
	}
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

// starved tells whether a gang has waited so long that it goes before smaller steps. It does not unless there will soon be
// room: workers must not be kept idle for what lasts.
func (p *Pool) starved(now time.Time, s *step) bool {
	if !s.spec.GetGang() || len(s.ready) == 0 || now.Sub(s.readySince) <= starvedAfter {
		return false
	}
	room := 0
	for _, w := range p.order {
		if w.usable(now) {
			room += w.holdsOf(now, s)
		}
	}
	return room >= len(s.tasks)
}

// holdsOf is how many tasks of the step the worker can soon hold.
func (w *worker) holdsOf(now time.Time, s *step) int {
	if !w.hasLabel(s.spec.GetRequiredLabel()) {
		return 0
	}
	holds := max(0, w.Capacity.minus(w.lasting(now)).holds(s.need))
	if limit := int(s.spec.GetMaxPerHost()); limit > 0 {
		holds = min(holds, limit)
	}
	return holds
}

// reserveAll takes as many workers as a gang needs, if there are so many beside what lasts.
func reserveAll(now time.Time, s *step, usable []*worker) ([]*worker, bool) {
	order := append([]*worker(nil), usable...)
	sort.SliceStable(order, func(a, b int) bool { return order[a].free().CPUMilli > order[b].free().CPUMilli })
	var rest []*worker
	room := 0
	for _, w := range order {
		holds := w.holdsOf(now, s)
		if holds <= 0 || room >= len(s.tasks) {
			rest = append(rest, w)
			continue
		}
		room += holds
	}
	return rest, room >= len(s.tasks)
}

// lasting is what does not soon come free on the worker.
func (w *worker) lasting(now time.Time) Resources {
	var sum Resources
	for _, r := range w.runs {
		if r.task == nil || r.task.step.spec.GetPersistent() || r.remaining(now) > freeSoon {
			sum = sum.plus(r.need)
		}
	}
	return sum
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
