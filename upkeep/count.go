package upkeep

import "slices"

// countHosts classifies hosts by what may be done with them and sets each plan's counts.
func (m *movePlanner) countHosts() {
	var cpu float64
	count := 0.0
	for _, id := range sortedKeys(m.hosts) {
		host := m.hosts[id]
		cpu += float64(host.CPUMilli)
		count++
		i := m.intents[id]
		if m.in.Pools[host.Pool].Spare && host.State == Up && i == nil {
			m.idle = append(m.idle, id)
		}
		if p := m.plans[host.Pool]; p != nil {
			m.countPersistent(p, host, i)
		}
		if p := m.plans[m.effectivePool(host, i)]; p != nil && host.State != Down && (i == nil || i.isMove()) {
			p.hostCount++
			if host.State == Up && host.Pool == p.name {
				p.serving++
			}
			if host.State == Up && i == nil && m.notBefore[id].IsZero() {
				p.releasable = append(p.releasable, id)
			}
		}
	}
	m.capacity = cpu
	for _, p := range m.plans {
		m.setCPUPerHost(p, cpu/max(1, count))
		m.sortByCost(p.releasable)
		slices.SortStableFunc(p.releasable, func(a, b string) int { return m.evacuationRank(a) - m.evacuationRank(b) })
	}
	m.sortIdle()
}

// countPersistent counts the pool's hosts that a wave has claimed, its hosts with persistent tasks, and those of the
// latter that are being evacuated.
func (m *movePlanner) countPersistent(p *poolPlan, host Host, i *intent) {
	if i != nil && !i.isMove() {
		p.inUpkeep++
	}
	if !m.hasPersistent(host) {
		return
	}
	p.withPersistent++
	if i != nil && !i.countsAsDown() {
		p.persistentEvacuating++
	}
}

// effectivePool returns the pool that a host counts for: the target of its move, or else its present pool.
func (m *movePlanner) effectivePool(host Host, i *intent) string {
	if i != nil && i.isMove() {
		return i.targetPool
	}
	return host.Pool
}

func (m *movePlanner) setCPUPerHost(p *poolPlan, mean float64) {
	p.cpuPerHost = mean
	filled := (p.persistentCPU + p.waitingPersistentCPU) / max(1, mean)
	if len(p.releasable) > 0 {
		host := m.hosts[p.releasable[0]]
		p.cpuPerHost = p.usableCPU(host)
		filled = p.persistentHosts(host)
	}
	p.cpuPerHost = max(p.cpuPerHost*m.cfg.Moves.Use, 1)
	p.persistentLoad = filled * p.cpuPerHost
}

func (s *step) hasPersistent(host Host) bool {
	return s.load(host).GetPersistentTasks() > 0
}

// evacuationRank ranks hosts that are already being evacuated for a move before the others.
func (m *movePlanner) evacuationRank(id string) int {
	if m.unorderedMoves[id] != nil {
		return 0
	}
	return 1
}

// sortIdle sorts the idle hosts: those that no wave is waiting for come first.
func (m *movePlanner) sortIdle() {
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
