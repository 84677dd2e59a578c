package upkeep

import "slices"

// countHosts sorts hosts by what may be done with them.
func (m *mover) countHosts() {
	var cpu float64
	count := 0.0
	for _, id := range sortedKeys(m.hosts) {
		host := m.hosts[id]
		cpu += float64(host.CPUMilli)
		count++
		i := m.ledger[id]
		if m.in.Pools[host.Pool].Spare && host.State == Up && i == nil {
			m.idle = append(m.idle, id)
		}
		if p := m.plans[host.Pool]; p != nil {
			m.countHeld(p, host, i)
		}
		if p := m.plans[m.poolOf(host, i)]; p != nil && host.State != Down && (i == nil || i.move()) {
			p.have++
			if host.State == Up && host.Pool == p.name {
				p.serving++
			}
			if host.State == Up && i == nil && m.notBefore[id].IsZero() {
				p.leaving = append(p.leaving, id)
			}
		}
	}
	m.capacity = cpu
	for _, p := range m.plans {
		m.setUnit(p, cpu/max(1, count))
		m.sortByCost(p.leaving)
		slices.SortStableFunc(p.leaving, func(a, b string) int { return m.rank(a) - m.rank(b) })
	}
	m.sortIdle()
}

// countHeld counts hosts that hold persistent tasks, and those that are in the hands of a wave.
func (m *mover) countHeld(p *poolPlan, host Host, i *intent) {
	if i != nil && !i.move() {
		p.upkeeps++
	}
	if !m.persistentOn(host) {
		return
	}
	p.withPersistent++
	if i != nil && !i.down() {
		p.emptying++
	}
}

// poolOf is the pool that a host counts for: where it goes, or where it is unless it is about to be away.
func (m *mover) poolOf(host Host, i *intent) string {
	if i != nil && i.move() {
		return i.pool
	}
	return host.Pool
}

func (m *mover) setUnit(p *poolPlan, mean float64) {
	p.unit = mean
	if len(p.leaving) > 0 {
		p.unit = p.usable(m.hosts[p.leaving[0]])
	}
	p.unit = max(p.unit*m.cfg.Moves.Use, 1)
}

func (s *step) persistentOn(host Host) bool {
	return s.load(host).GetPersistentTasks() > 0
}

// rank puts hosts that are being emptied for a move ahead.
func (m *mover) rank(id string) int {
	if m.old[id] != nil {
		return 0
	}
	return 1
}

// sortIdle puts hosts ahead that no wave waits for.
func (m *mover) sortIdle() {
	due := func(id string) int {
		for number, members := range m.members {
			if members[id] && m.wave(number).progress[id] != Begun {
				return 1
			}
		}
		return 0
	}
	slices.SortStableFunc(m.idle, func(a, b string) int { return due(a) - due(b) })
}
