package scheduler

import "time"

const (
	// carriedSpan is the time over which started work is counted.
	carriedSpan = time.Second
	// carriedKept is how long it is known what the owner can carry once nothing waits for it any more.
	carriedKept = 30 * time.Second
	// bindsFor is how long the owner counts as what binds.
	bindsFor = 2 * time.Second
)

// sending is how many bytes of starts the owner can still send without a queue, and how much work it carries where that is
// what binds.
type sending struct {
	bounded bool
	room    int64
	at      time.Time
	// began is the begin of the present span, waited how long tasks waited in it for the owner alone, started the work of
	// the starts that workers took.
	began   time.Time
	waited  time.Duration
	started float64
	// carried is in thousandths of a core, 0 if nothing binds; boundAt is when it was measured last.
	carried float64
	boundAt time.Time
}

func (s *sending) spend(bytes int64) { s.room -= bytes }

// spent tells whether starts have to wait for answers to earlier ones. What is started at once may exceed the room.
func (s *sending) spent() bool { return s.bounded && s.room <= 0 }

// SetSendRoom bounds the starts of the next Step to about so many bytes. Without it there is no bound.
func (p *Pool) SetSendRoom(now time.Time, bytes int64) {
	s := &p.sending
	waiting := s.spent() && len(p.open) > 0
	if waiting {
		s.waited += now.Sub(s.at)
	}
	s.turn(now)
	p.place = p.place || waiting && bytes > 0
	s.bounded, s.room, s.at = true, bytes, now
}

// turn ends a span that is long enough.
func (s *sending) turn(now time.Time) {
	span := now.Sub(s.began)
	if span < carriedSpan {
		return
	}
	rate := s.started / millis(span)
	switch {
	case s.began.IsZero():
	case s.waited >= span/2:
		if s.carried == 0 {
			s.carried = rate
		}
		s.carried += (rate - s.carried) / 2
		s.boundAt = now
	case rate > s.carried || now.Sub(s.boundAt) >= carriedKept:
		s.carried = 0
	}
	s.began, s.waited, s.started = now, 0, 0
}

// carries notes that a worker has taken a start.
func (s *sending) carries(t *task) {
	if t != nil && !t.step.spec.GetPersistent() {
		s.started += t.step.load()
	}
}

// SendWait is how long a job added now would wait for the owner to order what waits already; 0 if the owner did not bind
// lately.
func (p *Pool) SendWait(now time.Time) time.Duration {
	if p.sending.carried <= 0 || now.Sub(p.sending.boundAt) > bindsFor {
		return 0
	}
	var waiting float64
	for _, s := range p.open {
		if !s.spec.GetPersistent() {
			waiting += float64(len(s.ready)) * s.load()
		}
	}
	return time.Duration(waiting / p.sending.carried * float64(time.Millisecond))
}
