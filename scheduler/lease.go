package scheduler

import "time"

func (p *Pool) checkLease(now time.Time, w *worker) {
	if len(w.runs) == 0 || !w.silent(now) {
		return
	}
	expiry := w.leaseExpiry()
	if now.Before(expiry) {
		p.wake(expiry)
		return
	}
	w.expired = append(w.expired, w.runs...)
	for _, r := range append([]*run(nil), w.runs...) {
		p.addLost(now, r, w.expiryReason())
		p.endRun(now, r, EndLapsed, "")
	}
}

// leaseUntil returns the latest expiry of a lease on the worker's clock in ms.
func (w *worker) leaseUntil() int64 { return max(w.requestedUntil, w.assumedUntil) }

// leaseBasis tells for the log which expiry the leases on the worker end by.
func (w *worker) leaseBasis() string {
	if w.assumedUntil > w.requestedUntil {
		return "assumed"
	}
	return "requested"
}

// leaseExpiry returns when the lease of a silent worker has expired, including a lease requested by a start to the
// previous incarnation.
func (w *worker) leaseExpiry() time.Time {
	var latest time.Time
	if w.clock.known {
		latest = w.clock.surelyPassedAt(w.leaseUntil()).Add(leaseExpiryMargin)
	}
	for _, r := range w.runs {
		if r.giveUpAt.After(latest) {
			latest = r.giveUpAt
		}
	}
	return latest
}

// expiryReason returns why the runs of a silent worker are over at leaseExpiry. Once its incarnation has ended, they are starts that
// a later one could still have executed.
func (w *worker) expiryReason() string {
	if w.replaced {
		return reasonStartOutdated
	}
	return reasonLeaseExpired
}
