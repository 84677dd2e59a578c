package scheduler

import "time"

const (
	// throughputWindow is the period over which started work is measured.
	throughputWindow = time.Second
	// throughputRetention is how long a measured throughput is kept after the owner was last the bottleneck.
	throughputRetention = 30 * time.Second
	// sendBoundPeriod is how long after a measurement the owner counts as the bottleneck.
	sendBoundPeriod = 2 * time.Second
)

// sendBudget limits the bytes of starts that the owner may send without queueing, and measures the owner's throughput
// while it is the bottleneck.
type sendBudget struct {
	bounded   bool
	remaining int64
	updatedAt time.Time
	// windowStart is the start of the current window. blockedTime is how long tasks waited in it for the send budget.
	// startedWork is the expected work of the starts that workers accepted in it.
	windowStart time.Time
	blockedTime time.Duration
	startedWork float64
	// throughputMilli is in thousandths of a core, 0 if the owner is not the bottleneck. measuredAt is when it was
	// last measured.
	throughputMilli float64
	measuredAt      time.Time
}

func (s *sendBudget) consume(bytes int64) { s.remaining -= bytes }

// exhausted reports whether starts must wait for answers to earlier ones. The starts of a gang
// or a round of speculative starts may exceed the budget.
func (s *sendBudget) exhausted() bool { return s.bounded && s.remaining <= 0 }

// SetSendRoom limits the starts of the next Step to about the given number of bytes. Without a call there is no
// limit.
func (p *Pool) SetSendRoom(now time.Time, bytes int64) {
	s := &p.sendBudget
	waiting := s.exhausted() && p.hasPlaceableSteps()
	if waiting {
		s.blockedTime += now.Sub(s.updatedAt)
	}
	s.rollWindow(now)
	p.placementDue = p.placementDue || waiting && bytes > 0
	s.bounded, s.remaining, s.updatedAt = true, bytes, now
}

// rollWindow updates the throughput and opens a new window once the current one has lasted throughputWindow.
func (s *sendBudget) rollWindow(now time.Time) {
	span := now.Sub(s.windowStart)
	if span < throughputWindow {
		return
	}
	rate := s.startedWork / millis(span)
	switch {
	case s.windowStart.IsZero():
	case s.blockedTime >= span/2:
		if s.throughputMilli == 0 {
			s.throughputMilli = rate
		}
		s.throughputMilli += (rate - s.throughputMilli) / 2
		s.measuredAt = now
	case rate > s.throughputMilli || now.Sub(s.measuredAt) >= throughputRetention:
		s.throughputMilli = 0
	}
	s.windowStart, s.blockedTime, s.startedWork = now, 0, 0
}

// addStartedWork records that a worker has accepted a start.
func (s *sendBudget) addStartedWork(t *task) {
	if t != nil && !t.step.spec.GetPersistent() {
		s.startedWork += t.step.expectedTaskWork()
	}
}

// SendWait estimates how long a job added now would wait for the owner to order the tasks that already wait. It is 0
// if the owner has not been the bottleneck recently.
func (p *Pool) SendWait(now time.Time) time.Duration {
	if p.sendBudget.throughputMilli <= 0 || now.Sub(p.sendBudget.measuredAt) > sendBoundPeriod {
		return 0
	}
	var waiting float64
	p.eachRunnable(func(s *step, tasks int) {
		if !s.spec.GetPersistent() {
			waiting += float64(tasks) * s.expectedTaskWork()
		}
	})
	return time.Duration(waiting / p.sendBudget.throughputMilli * float64(time.Millisecond))
}
