package upkeep

import "time"

// claims holds machines back for turns that begin before those that are moved now come free again.
func (m *mover) claims() {
	if !m.cfg.Moves.Foresee {
		return
	}
	var busy *poolPlan
	for _, name := range m.names {
		if p := m.plans[name]; p.turns.high && (busy == nil || p.turns.last().After(busy.turns.last())) {
			busy = p
		}
	}
	if busy == nil {
		return
	}
	next, order := m.nextTurn(busy)
	if next != nil && order.Before(m.calendar.end(&busy.turns, m.now).Add(m.cfg.Moves.Drain)) {
		next.claim = true
		next.want = max(next.want, (next.persistent+next.rateIn(true))/next.unit)
	}
	if next == nil && m.now.Sub(busy.turns.last()) < m.cfg.Moves.Reserve {
		m.unknown = &poolPlan{claim: true, want: busy.want - m.usualHave(busy)}
	}
}

// usualHave is how many machines the other pools have on average.
func (m *mover) usualHave(but *poolPlan) float64 {
	sum := 0
	for _, p := range m.plans {
		if p != but {
			sum += p.have
		}
	}
	return float64(sum) / float64(max(1, len(m.plans)-1))
}

// nextTurn is the pool whose turn begins next, and when machines for it must be ordered.
func (m *mover) nextTurn(busy *poolPlan) (next *poolPlan, order time.Time) {
	for _, name := range m.names {
		p := m.plans[name]
		start, ok := m.calendar.start(name, m.now)
		at := start.Add(-m.lead())
		if !ok || p == busy || p.turns.high || !at.After(m.now) {
			continue
		}
		if next == nil || at.Before(order) {
			next = p
			order = at
		}
	}
	return next, order
}

// guessPeaks takes the mean peak of the other pools for that of a pool without any.
func (m *mover) guessPeaks() {
	sum, count := 0.0, 0.0
	for _, p := range m.plans {
		if peak := max(p.peak, p.turnRate()); peak > 0 {
			sum += peak
			count++
		}
	}
	for _, p := range m.plans {
		p.guess = sum / max(1, count)
	}
}

// rest switches off machines that will not be needed for longer than the moves cost.
func (m *mover) rest() {
	if m.spare == "" || m.cfg.Moves.SecondPrice <= 0 || !m.experienced() {
		return
	}
	pause := time.Duration(2 * m.cfg.Moves.MovePrice / m.cfg.Moves.SecondPrice * float64(time.Second))
	for _, name := range m.names {
		p := m.plans[name]
		if m.calm(p, pause) {
			for p.surplus() >= 1+m.cfg.Moves.Idle {
				id := m.release(p, m.spare)
				if id == "" {
					break
				}
				m.intendMove(id, m.spare)
			}
		}
	}
}

// experienced says whether any demand was seen, or has been absent for long.
func (m *mover) experienced() bool {
	for _, p := range m.plans {
		if len(p.turns.rises) > 0 {
			return true
		}
	}
	return m.now.Sub(m.started) >= m.cfg.Moves.Learn
}

// calm says whether no pool is expected to need a machine of this one within the pause.
func (m *mover) calm(p *poolPlan, pause time.Duration) bool {
	horizon := m.now.Add(m.cfg.MoveTime + pause)
	since := m.surplusSince[p.name]
	if p.surplus() < 1+m.cfg.Moves.Idle {
		delete(m.surplusSince, p.name)
		return false
	}
	if since.IsZero() {
		m.surplusSince[p.name] = m.now
		since = m.now
	}
	if m.now.Sub(since) >= pause {
		return true
	}
	return m.cfg.Moves.Foresee && m.foreseen() && !m.calendar.high(p.name, m.now, horizon)
}

// foreseen says whether the next turns of all pools are known.
func (m *mover) foreseen() bool {
	for _, name := range m.names {
		if _, ok := m.calendar.start(name, m.now); !ok {
			return false
		}
	}
	return true
}
