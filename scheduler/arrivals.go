package scheduler

import "time"

// largestJobWindow is the period over which the largest arrival is determined.
const largestJobWindow = time.Second

// arrivals tracks the arrived work, in thousandths of a core times milliseconds. Each occurrence of a job is one
// arrival.
type arrivals struct {
	total int64
	// latest holds those arrivals of the last largestJobWindow that are larger than every later one, oldest first.
	latest []arrival
}

type arrival struct {
	at   time.Time
	work int64
}

func (a *arrivals) add(now time.Time, work float64) {
	w := int64(work)
	a.total += w
	a.expire(now)
	for len(a.latest) > 0 && a.latest[len(a.latest)-1].work <= w {
		a.latest = a.latest[:len(a.latest)-1]
	}
	a.latest = append(a.latest, arrival{now, w})
}

func (a *arrivals) expire(now time.Time) {
	for len(a.latest) > 0 && now.Sub(a.latest[0].at) > largestJobWindow {
		a.latest = a.latest[1:]
	}
}

// largest returns the work of the largest arrival of the last largestJobWindow.
func (a *arrivals) largest(now time.Time) int64 {
	a.expire(now)
	if len(a.latest) == 0 {
		return 0
	}
	return a.latest[0].work
}
