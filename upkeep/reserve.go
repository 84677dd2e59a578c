package upkeep

import "time"

// reserveHosts reserves hosts for the next predicted burst if they must be ordered before the hosts of the newest burst
// become free. While no burst is predicted, it reserves hosts for a pool not known yet until the newest burst is older
// than Reserve.
func (m *movePlanner) reserveHosts() {
	if !m.cfg.Moves.Foresee {
		return
	}
	var busy *poolPlan
	for _, name := range m.names {
		if p := m.plans[name]; p.bursts.high && (busy == nil || p.bursts.lastStart().After(busy.bursts.lastStart())) {
			busy = p
		}
	}
	if busy == nil {
		return
	}
	next, orderAt := m.nextBursts(busy)
	soon := orderAt.Sub(m.now) <= m.cfg.Moves.Ahead
	if soon && orderAt.Before(m.forecast.end(&busy.bursts, m.now).Add(m.cfg.Moves.Drain)) {
		for _, p := range next {
			p.reserved = true
			p.orderAt = orderAt
			p.targetHosts = max(p.targetHosts, (p.persistentLoad+p.expectedRate(true))/p.cpuPerHost)
		}
	}
	if next == nil && m.now.Sub(busy.bursts.lastStart()) < m.cfg.Moves.Reserve {
		m.unknownPool = &poolPlan{reserved: true, targetHosts: busy.targetHosts - m.meanHostsExcept(busy)}
	}
}

// meanHostsExcept returns the mean number of hosts of the other pools.
func (m *movePlanner) meanHostsExcept(excluded *poolPlan) float64 {
	sum := 0
	for _, p := range m.plans {
		if p != excluded {
			sum += p.hostCount
		}
	}
	return float64(sum) / float64(max(1, len(m.plans)-1))
}

// nextBursts returns the pools that may have the next burst, and the time at which hosts for it must be ordered.
func (m *movePlanner) nextBursts(busy *poolPlan) (next []*poolPlan, orderAt time.Time) {
	const simultaneous = 300 * time.Millisecond
	for _, name := range m.names {
		p := m.plans[name]
		start, ok := m.forecast.start(name, m.now)
		at := start.Add(-m.leadTime())
		if !ok || p == busy || p.bursts.high || !at.After(m.now) {
			continue
		}
		switch {
		case next == nil || at.Before(orderAt.Add(-simultaneous)):
			next = []*poolPlan{p}
			orderAt = at
		case at.Before(orderAt.Add(simultaneous)):
			next = append(next, p)
		}
	}
	return next, orderAt
}

// estimatePeaks sets the estimated peak of each pool: the mean peak of all pools, or an equal share of the fleet while
// no peak is known.
func (m *movePlanner) estimatePeaks() {
	sum, count := 0.0, 0.0
	for _, p := range m.plans {
		if peak := max(p.peak, p.burstMeanRate()); peak > 0 {
			sum += peak
			count++
		}
	}
	share := m.capacity / float64(max(1, len(m.plans)))
	for _, p := range m.plans {
		p.fleetShare = share
		p.estimatedPeak = share
		if count > 0 {
			p.estimatedPeak = sum / count
		}
	}
}

// releaseIdle moves hosts to the spare pool that will not be needed for longer than it takes to pay back the moves.
func (m *movePlanner) releaseIdle() {
	if m.spare == "" || m.cfg.Moves.SecondPrice <= 0 || !m.hasLearned() {
		return
	}
	payback := time.Duration(2 * m.cfg.Moves.MovePrice / m.cfg.Moves.SecondPrice * float64(time.Second))
	for _, name := range m.names {
		p := m.plans[name]
		if m.isSurplusStable(p, payback) {
			for m.idleHosts(p) >= 1 {
				id := m.releaseHost(p, m.spare)
				if id == "" {
					break
				}
				m.intendMove(id, m.spare).reason = MoveReason{
					Cause: "idle", Rate: p.rate, Expected: p.expectedRate(true), Has: p.hostCount, Needs: p.neededHosts,
					Age: m.in.Pools[p.name].Age,
				}
			}
		}
	}
}

// idleHosts returns how many hosts a pool has beyond the need of its highest recent rate.
func (m *movePlanner) idleHosts(p *poolPlan) float64 {
	recentNeed := (p.persistentLoad + p.recentMaxRate) / p.cpuPerHost
	return min(p.surplus(), float64(p.hostCount)-recentNeed) - m.cfg.Moves.Idle
}

// hasLearned reports whether a burst has been observed, or none for so long that pools may release hosts.
func (m *movePlanner) hasLearned() bool {
	return m.burstSeen() || m.now.Sub(m.started) >= m.cfg.Moves.Learn
}

// burstSeen reports whether any pool has had a burst.
func (m *movePlanner) burstSeen() bool {
	for _, p := range m.plans {
		if len(p.bursts.starts) > 0 {
			return true
		}
	}
	return false
}

// isSurplusStable reports whether the pool has had a surplus for the payback time, or is predicted to have no burst at
// the end of that time after a move. It records since when the pool has had a surplus.
func (m *movePlanner) isSurplusStable(p *poolPlan, payback time.Duration) bool {
	horizon := m.now.Add(m.cfg.MoveTime + payback)
	since := m.surplusSince[p.name]
	if m.idleHosts(p) < 1 {
		delete(m.surplusSince, p.name)
		return false
	}
	if since.IsZero() {
		m.surplusSince[p.name] = m.now
		since = m.now
	}
	if m.now.Sub(since) >= payback {
		return true
	}
	return m.cfg.Moves.Foresee && m.isFullyForecast() && !m.forecast.high(p.name, m.now, horizon)
}

// isFullyForecast reports whether the next bursts of all pools are known.
func (m *movePlanner) isFullyForecast() bool {
	for _, name := range m.names {
		if _, ok := m.forecast.start(name, m.now); !ok {
			return false
		}
	}
	return true
}
