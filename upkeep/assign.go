package upkeep

import "slices"

// assignHosts assigns hosts to pools that will be short of hosts, the largest deficit first. A reserved host gets an
// intent only if its pool is known and it must be evacuated first; otherwise it is only kept from other pools.
func (m *movePlanner) assignHosts() {
	for {
		p := m.largestDeficit()
		if p == nil {
			return
		}
		id := m.pickHost(p)
		if id == "" {
			p.targetHosts = 0
			continue
		}
		if !p.reserved || (p.name != "" && !m.in.Pools[m.hosts[id].Pool].Spare) {
			i := m.intendMove(id, p.name)
			i.notBefore = p.orderAt
			i.reason = m.reason(p)
		}
		p.hostCount++
	}
}

// largestDeficit returns the pool that gets the next host: one below its minimum, or else the one with the largest
// deficit for which hosts are reserved or for which another host earns more than its move costs; nil if there is none.
func (m *movePlanner) largestDeficit() *poolPlan {
	var best *poolPlan
	for _, name := range m.names {
		p := m.plans[name]
		if float64(p.hostCount) < p.minHosts() && p.targetHosts > 0 {
			return p
		}
		if deficit := p.deficit(); deficit > 0 && (p.reserved || m.isWorthwhile(p, min(1, deficit))) && (best == nil || deficit > best.deficit()) {
			best = p
		}
	}
	if m.unknownPool != nil && best != nil && m.unknownPool.deficit() > best.deficit() {
		return m.unknownPool
	}
	return best
}

// deficit returns how many hosts the pool is short of its target.
func (p *poolPlan) deficit() float64 { return p.targetHosts - float64(p.hostCount) }

// isWorthwhile reports whether one more host, of which the pool uses the given share, earns more than it costs. In a
// pool below its minimum it always does.
func (m *movePlanner) isWorthwhile(p *poolPlan, use float64) bool {
	cfg := m.cfg.Moves
	if float64(p.hostCount) < p.minHosts() {
		return true
	}
	stay := p.needDuration.Seconds()
	return use*p.cpuPerHost/1000*stay*cfg.WorkWorth > cfg.MovePrice+stay*cfg.SecondPrice
}

// pickHost picks a host for a pool: an idle one of a spare pool, or else one of the pool with the largest surplus.
func (m *movePlanner) pickHost(to *poolPlan) string {
	for n, id := range m.idle {
		if !m.unfit[MoveOrder{Host: id, Pool: to.name}] {
			m.idle = slices.Delete(m.idle, n, n+1)
			return id
		}
	}
	var best *poolPlan
	for _, name := range m.names {
		p := m.plans[name]
		if p == to || len(p.releasable) == 0 || p.surplus() < 1 {
			continue
		}
		if best == nil || p.surplus() > best.surplus() {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return m.releaseHost(best, to.name)
}

// surplus returns how many hosts the pool has beyond its need.
func (p *poolPlan) surplus() float64 { return float64(p.hostCount) - p.neededHosts }

// releaseHost removes the cheapest releasable host that fits the target pool from a pool's plan and returns its ID, or
// "" if there is none. It skips hosts with persistent tasks while too many of them are being evacuated or while they
// are on cooldown.
func (m *movePlanner) releaseHost(p *poolPlan, to string) string {
	for n, id := range p.releasable {
		if m.unfit[MoveOrder{Host: id, Pool: to}] {
			continue
		}
		if m.hasPersistent(m.hosts[id]) {
			if p.persistentEvacuating >= m.cfg.Moves.PersistentAtOnce || m.now.Before(p.persistentHeldUntil) {
				continue
			}
			p.persistentEvacuating++
		}
		p.releasable = slices.Delete(p.releasable, n, n+1)
		p.hostCount--
		return id
	}
	p.releasable = nil
	return ""
}

// reason returns why a pool gets another host.
func (m *movePlanner) reason(p *poolPlan) MoveReason {
	cause := "demand"
	if p.reserved {
		cause = "forecast"
	}
	return MoveReason{
		Cause: cause, Rate: p.rate, Expected: p.expectedRate(true), Has: p.hostCount, Needs: p.targetHosts,
		Age: m.in.Pools[p.name].Age,
	}
}

// intendMove starts or continues the evacuation of a host for a move to a pool.
func (m *movePlanner) intendMove(id, pool string) *intent {
	i := m.newIntent(id)
	i.targetPool = pool
	return i
}
