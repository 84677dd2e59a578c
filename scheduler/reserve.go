package scheduler

import (
	"sort"
	"time"

	"github.com/agateturn/agateturn/contention"
)

// mayReserve reports whether workers may be reserved for the step.
func (p *Pool) mayReserve(now time.Time, s *step) bool {
	return len(s.ready) > 0 && now.Sub(s.lacksRoomSince()) > reservationWait && p.withinLimit(s, 1) > 0
}

// reserveFor removes workers that could later run the step from those that lower-ranked steps may use: one worker, or
// several for a gang. It reports whether it reserved any.
func reserveFor(now time.Time, class contention.Class, s *step, usable []*worker) ([]*worker, bool) {
	if class == contention.ClassStarved {
		if remaining, reserved := reserveForStarvedGang(now, s, usable); reserved {
			return remaining, true
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
			// The step waits for something other than capacity.
			return usable, false
		}
		if best < 0 || w.free().CPUMilli > usable[best].free().CPUMilli {
			best = i
		}
	}
	if best < 0 {
		return usable, false
	}
	remaining := append([]*worker(nil), usable[:best]...)
	return append(remaining, usable[best+1:]...), true
}

// starved reports whether a gang has waited so long that it takes precedence over smaller steps. It does not
// if too little capacity becomes free soon, as workers must not stay idle until long runs end.
func (p *Pool) starved(now time.Time, s *step) bool {
	if !s.spec.GetGang() || len(s.ready) == 0 || now.Sub(s.lacksRoomSince()) <= starvationWait {
		return false
	}
	room := 0
	for _, w := range p.sortedWorkers {
		if w.usable(now) {
			room += w.countSoonFitting(now, s)
		}
	}
	return room >= len(s.tasks)
}

// countSoonFitting returns how many tasks of the step the worker can soon run.
func (w *worker) countSoonFitting(now time.Time, s *step) int {
	if !w.hasLabel(s.spec.GetRequiredLabel()) {
		return 0
	}
	fitting := max(0, w.Capacity.minus(w.longTermUsage(now)).countFitting(s.need))
	if limit := int(s.spec.GetMaxPerHost()); limit > 0 {
		fitting = min(fitting, limit)
	}
	return fitting
}

// reserveForStarvedGang reserves as many workers as a gang needs, if the capacity not taken by long runs suffices.
func reserveForStarvedGang(now time.Time, s *step, usable []*worker) ([]*worker, bool) {
	order := append([]*worker(nil), usable...)
	sort.SliceStable(order, func(a, b int) bool { return order[a].free().CPUMilli > order[b].free().CPUMilli })
	var rest []*worker
	room := 0
	for _, w := range order {
		fitting := w.countSoonFitting(now, s)
		if fitting <= 0 || room >= len(s.tasks) {
			rest = append(rest, w)
			continue
		}
		room += fitting
	}
	return rest, room >= len(s.tasks)
}

// longTermUsage returns the resources of the worker that will not be freed soon.
func (w *worker) longTermUsage(now time.Time) Resources {
	var sum Resources
	for _, r := range w.runs {
		if r.task == nil || r.task.step.spec.GetPersistent() || r.remaining(now) > reservationHorizon {
			sum = sum.plus(r.need)
		}
	}
	return sum
}

// reserveGang reserves as many workers as a gang needs, but at most half of them, most free CPU first.
func reserveGang(s *step, usable []*worker) ([]*worker, bool) {
	order := append([]*worker(nil), usable...)
	sort.SliceStable(order, func(a, b int) bool { return order[a].free().CPUMilli > order[b].free().CPUMilli })
	reserved, room := 0, 0
	for reserved < len(order)/2 && room < len(s.tasks) {
		if order[reserved].hasLabel(s.spec.GetRequiredLabel()) {
			room += order[reserved].Capacity.countFitting(s.need)
		}
		reserved++
	}
	return order[reserved:], reserved > 0
}
