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
