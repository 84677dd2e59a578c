package upkeep

import "time"

// claims holds hosts back for turns that begin before those that are moved now come free again.
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
	next, order := m.nextTurns(busy)
	soon := order.Sub(m.now) <= m.cfg.Moves.Ahead
	if soon && order.Before(m.calendar.end(&busy.turns, m.now).Add(m.cfg.Moves.Drain)) {
		for _, p := range next {
			p.claim = true
			p.orderAt = order
			p.want = max(p.want, (p.persistent+p.rateIn(true))/p.unit)
		}
	}
	if next == nil && m.now.Sub(busy.turns.last()) < m.cfg.Moves.Reserve {
		m.unknown = &poolPlan{claim: true, want: busy.want - m.usualHave(busy)}
	}
}

// usualHave is how many hosts the other pools have on average.
func (m *mover) usualHave(but *poolPlan) float64 {
	sum := 0
	for _, p := range m.plans {
		if p != but {
			sum += p.have
		}
	}
	return float64(sum) / float64(max(1, len(m.plans)-1))
}

// nextTurns are the pools of which one has the next turn, and when hosts for it must be ordered.
func (m *mover) nextTurns(busy *poolPlan) (next []*poolPlan, order time.Time) {
	const together = 300 * time.Millisecond
	for _, name := range m.names {
		p := m.plans[name]
		start, ok := m.calendar.start(name, m.now)
		at := start.Add(-m.lead())
		if !ok || p == busy || p.turns.high || !at.After(m.now) {
			continue
		}
		switch {
		case next == nil || at.Before(order.Add(-together)):
			next = []*poolPlan{p}
			order = at
		case at.Before(order.Add(together)):
			next = append(next, p)
		}
	}
	return next, order
}

// guessPeaks takes the mean peak of the other pools for that of a pool without any, or else an equal share of the fleet.
func (m *mover) guessPeaks() {
	sum, count := 0.0, 0.0
	for _, p := range m.plans {
		if peak := max(p.peak, p.turnMean()); peak > 0 {
			sum += peak
			count++
		}
	}
	share := m.capacity / float64(max(1, len(m.plans)))
	for _, p := range m.plans {
		p.share = share
		p.guess = share
		if count > 0 {
			p.guess = sum / count
		}
	}
}

// rest switches off hosts that will not be needed for longer than the moves cost.
func (m *mover) rest() {
	if m.spare == "" || m.cfg.Moves.SecondPrice <= 0 || !m.experienced() {
		return
	}
	pause := time.Duration(2 * m.cfg.Moves.MovePrice / m.cfg.Moves.SecondPrice * float64(time.Second))
	for _, name := range m.names {
		p := m.plans[name]
		if m.calm(p, pause) {
			for m.idleHosts(p) >= 1 {
				id := m.release(p, m.spare)
				if id == "" {
					break
				}
				m.intendMove(id, m.spare)
			}
		}
	}
}

// idleHosts is how many hosts a pool has beyond what its highest rate of late needs.
func (m *mover) idleHosts(p *poolPlan) float64 {
	lately := (p.persistent + p.hold) / p.unit
	return min(p.surplus(), float64(p.have)-lately) - m.cfg.Moves.Idle
}

// experienced says whether any turn was seen, or none for long enough that pools may rest.
func (m *mover) experienced() bool {
	return m.turnSeen() || m.now.Sub(m.started) >= m.cfg.Moves.Learn
}

// turnSeen says whether any pool has had a turn.
func (m *mover) turnSeen() bool {
	for _, p := range m.plans {
		if len(p.turns.rises) > 0 {
			return true
		}
	}
	return false
}

// calm says whether no pool is expected to need a host of this one within the pause.
func (m *mover) calm(p *poolPlan, pause time.Duration) bool {
	horizon := m.now.Add(m.cfg.MoveTime + pause)
	since := m.surplusSince[p.name]
	if m.idleHosts(p) < 1 {
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
