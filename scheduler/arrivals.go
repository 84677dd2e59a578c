package scheduler

import "time"

// largestWindow is how long a job counts among the latest.
const largestWindow = time.Second

// arrivals counts the work that arrived, in thousandths of a core times milliseconds.
type arrivals struct {
	total int64
	// latest are the jobs of the last largestWindow that are larger than all after them, the oldest first.
	latest []arrival
}

type arrival struct {
	at   time.Time
	work int64
}

func (a *arrivals) add(now time.Time, work float64) {
	w := int64(work)
	a.total += w
	a.forget(now)
	for len(a.latest) > 0 && a.latest[len(a.latest)-1].work <= w {
		a.latest = a.latest[:len(a.latest)-1]
	}
	a.latest = append(a.latest, arrival{now, w})
}

func (a *arrivals) forget(now time.Time) {
	for len(a.latest) > 0 && now.Sub(a.latest[0].at) > largestWindow {
		a.latest = a.latest[1:]
	}
}

// largest is the work of the largest job of the last largestWindow.
func (a *arrivals) largest(now time.Time) int64 {
	a.forget(now)
	if len(a.latest) == 0 {
		return 0
	}
	return a.latest[0].work
}
