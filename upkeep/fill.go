package upkeep

import "slices"

// fill moves hosts to pools that will lack some, the most lacking first.
func (m *mover) fill() {
	for {
		p := m.neediest()
		if p == nil {
			return
		}
		id := m.take(p)
		if id == "" {
			p.want = 0
			continue
		}
		if !p.claim || (p.name != "" && !m.in.Pools[m.hosts[id].Pool].Spare) {
			m.intendMove(id, p.name).notTill = p.orderAt
		}
		p.have++
	}
}

// neediest is the pool that lacks most, if a further host there earns more than its move.
func (m *mover) neediest() *poolPlan {
	var best *poolPlan
	for _, name := range m.names {
		p := m.plans[name]
		if float64(p.have) < p.floor() && p.want > 0 {
			return p
		}
		if lack := p.lack(); lack > 0 && (p.claim || m.pays(p, min(1, lack))) && (best == nil || lack > best.lack()) {
			best = p
		}
	}
	if m.unknown != nil && best != nil && m.unknown.lack() > best.lack() {
		return m.unknown
	}
	return best
}

// lack is how many hosts a pool wants beyond those it has.
func (p *poolPlan) lack() float64 { return p.want - float64(p.have) }

// pays says whether a host that is used in part earns more in a pool than it costs.
func (m *mover) pays(p *poolPlan, use float64) bool {
	cfg := m.cfg.Moves
	if float64(p.have) < p.floor() {
		return true
	}
	stay := p.stay.Seconds()
	return use*p.unit/1000*stay*cfg.WorkWorth > cfg.MovePrice+stay*cfg.SecondPrice
}

// take picks a host for a pool: one that is off, or else one that another pool will not need.
func (m *mover) take(to *poolPlan) string {
	for n, id := range m.idle {
		if !m.unfit[MoveOrder{Host: id, Pool: to.name}] {
			m.idle = slices.Delete(m.idle, n, n+1)
			return id
		}
	}
	var best *poolPlan
	for _, name := range m.names {
		p := m.plans[name]
		if p == to || len(p.leaving) == 0 || p.surplus() < 1 {
			continue
		}
		if best == nil || p.surplus() > best.surplus() {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return m.release(best, to.name)
}

// surplus is how many hosts a pool has beyond its need.
func (p *poolPlan) surplus() float64 { return float64(p.have) - p.keep }

// release takes a host out of a pool, unless too many with persistent tasks are being emptied.
func (m *mover) release(p *poolPlan, to string) string {
	for n, id := range p.leaving {
		if m.unfit[MoveOrder{Host: id, Pool: to}] {
			continue
		}
		if m.persistentOn(m.hosts[id]) {
			if p.emptying >= m.cfg.Moves.PersistentAtOnce || m.now.Before(p.heldUntil) {
				continue
			}
			p.emptying++
		}
		p.leaving = slices.Delete(p.leaving, n, n+1)
		p.have--
		return id
	}
	p.leaving = nil
	return ""
}

// intendMove begins to empty a host, or goes on doing so, for a pool.
func (m *mover) intendMove(id, pool string) *intent {
	i := m.newIntent(id)
	i.pool = pool
	return i
}
