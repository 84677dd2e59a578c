package scheduler

import (
	"slices"
	"time"
)

// rackVerdictTimeout is how long a crash waits for an answer of another worker of its rack. Workers that answer do so at least
// once a second.
const rackVerdictTimeout = 1500 * time.Millisecond

// pendingCrash is a crash that is charged to queues only once another worker of its rack has answered: if none does, the rack
// was lost, and no task is the cause.
type pendingCrash struct {
	at time.Time
	// heardAt is the worker's last report.
	heardAt time.Time
	rack    string
	queues  map[string]bool
}

// judgeCrash charges the crash of a worker to the queues, at once if no other worker of its rack can tell more.
func (p *Pool) judgeCrash(now time.Time, w *worker, queues map[string]bool) {
	c := &p.containment
	crash := pendingCrash{at: now, heardAt: w.lastReport, rack: w.Rack, queues: queues}
	hasMate := slices.ContainsFunc(p.sortedWorkers, func(x *worker) bool { return x != w && crash.awaits(x) }) ||
		slices.ContainsFunc(c.pending, func(x pendingCrash) bool { return x.rack == w.Rack })
	if w.Rack == "" || len(queues) == 0 || !hasMate {
		p.observeCrash(now, queues)
		return
	}
	c.pending = append(c.pending, crash)
	p.wake(now.Add(rackVerdictTimeout))
}

// awaits reports whether an answer of the worker shows that the rack was not lost. Workers that have come up on the rack since
// the loss show nothing.
func (c *pendingCrash) awaits(w *worker) bool {
	return w.Rack == c.rack && w.reported && !w.firstReport.After(c.heardAt) &&
		!w.replaced && !w.departed && !w.Draining && !w.evacuating
}

// checkPendingCrashes charges the crashes beside which another worker of the rack has answered, and drops those of lost racks.
func (p *Pool) checkPendingCrashes(now time.Time) {
	c := &p.containment
	pending := c.pending
	c.pending = nil
	for _, x := range pending {
		switch {
		case slices.ContainsFunc(p.sortedWorkers, func(w *worker) bool { return x.awaits(w) && w.lastReport.After(x.at) }):
			p.observeCrash(now, x.queues)
		case now.Sub(x.at) < rackVerdictTimeout:
			c.pending = append(c.pending, x)
			p.wake(x.at.Add(rackVerdictTimeout))
		}
	}
}
