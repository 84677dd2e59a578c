package scheduler

import "time"

func (p *Pool) checkLease(now time.Time, w *worker) {
	if len(w.runs) == 0 || !w.silent(now) {
		return
	}
	if !p.awaitExpiry(now, w.leaseExpiry()) {
		return
	}
	w.expired = append(w.expired, w.runs...)
	for _, r := range append([]*run(nil), w.runs...) {
		p.addLost(now, r, w.expiryReason())
		p.endRun(now, r, EndLapsed, "")
	}
}

// awaitExpiry reports whether leases of workers that do not answer are over at the expiry. If not, it requests what that waits for.
func (p *Pool) awaitExpiry(now, expiry time.Time) bool {
	switch {
	case now.Before(expiry):
		p.wake(expiry)
	case !p.confirmedSince(expiry):
		p.out.Confirm = true
	default:
		return true
	}
	return false
}

// confirmedSince reports whether no later owner can have acquired the pool before the given time. Then none has extended a lease that
// expired by then, and the worker itself has ended whatever it ran under that lease.
func (p *Pool) confirmedSince(at time.Time) bool {
	return p.confirmedFrom.IsZero() || !p.confirmedFrom.Before(at)
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
// previous incarnation, and one that a later incarnation has granted.
func (w *worker) leaseExpiry() time.Time {
	var latest time.Time
	if w.clock.known {
		latest = w.clock.surelyPassedAt(w.leaseUntil()).Add(leaseExpiryMargin)
	}
	if w.nextLeaseEnd.After(latest) {
		latest = w.nextLeaseEnd
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

// checkReturned lets a returned worker be used once a call that began after its first answer has confirmed the ownership, and requests
// that call: whoever acquires the pool later hears of this incarnation, which then rejects this owner.
func (p *Pool) checkReturned(now time.Time, w *worker) {
	switch {
	case !w.reported || !w.awaitsConfirmation:
	case !p.confirmedSince(w.reportedAt):
		p.out.Confirm = true
	default:
		w.awaitsConfirmation = false
		p.wakePlacement(now)
	}
}

// settle marks a returned worker as settled once its leases end before those that a later owner waits for.
func (p *Pool) settle(now time.Time, w *worker) {
	if !w.unsettled || !w.reported {
		return
	}
	inherited := p.confirmedFrom.Add(maxLeaseDuration(p.cfg.longestLease()))
	if !p.confirmedFrom.IsZero() && w.clock.surelyPassedAt(w.assumedUntil).After(inherited) {
		return
	}
	w.unsettled = false
	p.wakePlacement(now)
}

// isRecorded reports whether the record tells later owners how long leases on the worker may last.
func (w *worker) isRecorded() bool { return !w.unsettled || w.RecordedUnsettled }

// Unsettled reports whether the listed incarnation of a worker is to be recorded as unsettled.
func (p *Pool) Unsettled(id string, listed int64) bool {
	w := p.workers[id]
	return w != nil && (w.unsettled || w.Born != listed)
}

// inheritedLease returns how long a lease that an earlier owner knew of, or a call to an earlier incarnation has extended, may
// last from the takeover on.
func (p *Pool) inheritedLease(w *worker) time.Duration {
	if w.unsettled {
		return max(p.cfg.longestLease(), p.cfg.MaxLease)
	}
	return p.cfg.longestLease()
}
