package upkeep

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// poolPlan is what one pool has and needs, in machines.
type poolPlan struct {
	name string
	*demand
	// unit is the usable CPU of one machine.
	unit float64
	// have counts machines that stay or come; want is needed when a move ordered now is over, keep until then.
	have int
	// serving counts those of them that are there now.
	serving int
	want    float64
	keep    float64
	// stay is how long the want lasts.
	stay time.Duration
	// leaving are machines that a move may take, cheapest first.
	leaving []string
	// hosts counts machines with persistent tasks, and upkeeps those that a wave empties or has sent away.
	hosts   int
	upkeeps int
	// emptying counts machines with persistent tasks that are being emptied.
	emptying int
	// claim means that the want lies ahead: machines are held back for it, and emptied, but not moved before orderAt.
	claim   bool
	orderAt time.Time
}

// mover plans the moves of one step.
type mover struct {
	*step
	plans map[string]*poolPlan
	names []string
	spare string
	// capacity is the CPU of all machines.
	capacity float64
	// idle are the machines in spare pools that may go.
	idle     []string
	calendar *calendar
	// unknown claims machines for a pool that is not known yet.
	unknown *poolPlan
}

// planMoves sets the intents of moves anew; those already ordered stay.
func (s *step) planMoves() {
	if !s.cfg.Moves.Enabled {
		return
	}
	m := &mover{step: s, plans: map[string]*poolPlan{}, calendar: s.newCalendar()}
	for _, name := range sortedKeys(s.in.Pools) {
		m.addPool(name)
	}
	m.countMachines()
	m.guessPeaks()
	for _, name := range m.names {
		m.need(m.plans[name])
	}
	m.claims()
	m.fill()
	m.rest()
}

// reopen takes back the moves that were not ordered yet; those in vain are not tried again for a while.
func (s *step) reopen() {
	s.old = map[string]*intent{}
	for id, i := range s.ledger {
		if !i.move() || i.phase != evacuating || i.counted {
			continue
		}
		delete(s.ledger, id)
		if s.now.Sub(i.began) >= s.cfg.Moves.GiveUp {
			s.giveUp(id, i)
			continue
		}
		s.old[id] = i
	}
	for id, at := range s.notBefore {
		if !s.now.Before(at) {
			delete(s.notBefore, id)
		}
	}
}

// giveUp leaves a machine alone for a while; if persistent tasks hold it, all such machines of its pool.
func (s *step) giveUp(id string, i *intent) {
	until := s.now.Add(s.cfg.Moves.Pause)
	s.notBefore[id] = until
	if d := s.demands[i.from]; d != nil && s.persistentOn(s.machines[id]) {
		d.heldUntil = until
	}
}

// observeDemand learns from the newest statuses.
func (s *step) observeDemand() {
	capacity := map[string]float64{}
	for _, m := range s.machines {
		capacity[m.Pool] += float64(m.CPUMilli)
	}
	for name, load := range s.in.Pools {
		if load.Spare {
			continue
		}
		d := s.demands[name]
		if d == nil {
			d = &demand{}
			s.demands[name] = d
		}
		d.observe(s.now.Add(-load.Age), load.Status, capacity[name])
	}
	if len(s.in.Pools) == 0 {
		// The configuration is not known yet.
		return
	}
	for name := range s.demands {
		if load, ok := s.in.Pools[name]; !ok || load.Spare {
			delete(s.demands, name)
		}
	}
}

// newCalendar foresees the turns of the pools.
func (s *step) newCalendar() *calendar {
	pools := map[string]*turns{}
	if s.cfg.Moves.Foresee {
		for name, d := range s.demands {
			if d.status != nil || len(d.turns.rises) > 0 {
				pools[name] = &d.turns
			}
		}
	}
	return newCalendar(pools)
}

func (m *mover) addPool(name string) {
	load := m.in.Pools[name]
	if load.Spare {
		m.spare = cmp.Or(m.spare, name)
		return
	}
	m.names = append(m.names, name)
	m.plans[name] = &poolPlan{name: name, demand: m.demands[name]}
}

// countMachines sorts machines by what may be done with them.
func (m *mover) countMachines() {
	var cpu float64
	count := 0.0
	for _, id := range sortedKeys(m.machines) {
		machine := m.machines[id]
		cpu += float64(machine.CPUMilli)
		count++
		i := m.ledger[id]
		if m.in.Pools[machine.Pool].Spare && machine.State == Up && i == nil {
			m.idle = append(m.idle, id)
		}
		if p := m.plans[machine.Pool]; p != nil {
			m.countHost(p, machine, i)
		}
		if p := m.plans[m.poolOf(machine, i)]; p != nil && machine.State != Down && (i == nil || i.move()) {
			p.have++
			if machine.State == Up && machine.Pool == p.name {
				p.serving++
			}
			if machine.State == Up && i == nil && m.notBefore[id].IsZero() {
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

// countHost counts machines that hold persistent tasks, and those that are in the hands of a wave.
func (m *mover) countHost(p *poolPlan, machine Machine, i *intent) {
	if i != nil && !i.move() {
		p.upkeeps++
	}
	if !m.persistentOn(machine) {
		return
	}
	p.hosts++
	if i != nil && !i.down() {
		p.emptying++
	}
}

// floor is the number of machines that a pool must have whatever its demand: while a wave empties one, its persistent
// tasks need another place; and tasks that nothing but a further machine helps must not wait for ever.
func (p *poolPlan) floor() float64 {
	floor := 0.0
	if p.upkeeps > 0 {
		floor = float64(p.hosts)
	}
	if stuck := float64(p.status.GetStuckCpuMilli()); stuck > 0 {
		floor = max(floor, math.Ceil((p.persistent+stuck)/p.unit)+1)
	}
	return floor
}

// most is the number of machines beyond which the pool's owner could not use any, 0 if that is not what binds.
func (p *poolPlan) most() float64 {
	const margin = 1.5
	carried := float64(p.status.GetCarriedCpuMilli())
	if carried == 0 {
		return 0
	}
	return max(p.floor(), (p.persistent+margin*carried)/p.unit)
}

// poolOf is the pool that a machine counts for: where it goes, or where it is unless it is about to be away.
func (m *mover) poolOf(machine Machine, i *intent) string {
	if i != nil && i.move() {
		return i.pool
	}
	return machine.Pool
}

func (m *mover) setUnit(p *poolPlan, mean float64) {
	p.unit = mean
	if len(p.leaving) > 0 {
		p.unit = p.usable(m.machines[p.leaving[0]])
	}
	p.unit = max(p.unit*m.cfg.Moves.Use, 1)
}

func (s *step) persistentOn(machine Machine) bool {
	return s.load(machine).GetPersistentTasks() > 0
}

// rank puts machines that are being emptied for a move ahead.
func (m *mover) rank(id string) int {
	if m.old[id] != nil {
		return 0
	}
	return 1
}

// sortIdle puts machines ahead that no wave waits for.
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

// lead is how long a machine takes from its order until it is used.
func (m *mover) lead() time.Duration { return m.cfg.MoveTime + m.cfg.Moves.Join }

// need sets what a pool needs, in machines.
func (m *mover) need(p *poolPlan) {
	const ahead = time.Second
	arrive := m.now.Add(m.lead())
	drain := float64(m.cfg.Moves.Drain.Milliseconds())
	backlog := p.backlog()
	until := p.expected(m.calendar, p.name, m.now, m.now, arrive)
	then := p.expected(m.calendar, p.name, m.now, arrive, arrive.Add(ahead))
	keep := p.persistent + until + backlog/drain + p.following()
	if p.arrived == 0 {
		// Its owner does not count arrivals.
		keep = max(keep, p.used+backlog/drain)
	}
	// What still waits when a move is over, at the capacity of now.
	capacity := max(0, float64(p.serving)*p.unit-p.persistent)
	left := max(0, backlog+(until-capacity)*float64(m.lead().Milliseconds()))
	want := p.persistent + then + min(left/drain, max(p.peak, p.rate, then)/2)
	p.keep = max(keep/p.unit, want/p.unit, p.floor())
	p.want = max(want/p.unit, p.floor())
	if p.status == nil {
		// What it does is not known to this owner yet.
		p.keep = max(p.keep, float64(p.have))
	}
	p.stay = m.stay(p, arrive, left)
	if len(p.turns.rises) == 0 && !m.calendar.high(p.name, m.now, arrive) {
		// Its first turn may begin at any time.
		p.keep = max(p.keep, float64(p.have)/2)
	}
	if most := p.most(); most > 0 {
		p.keep, p.want = min(p.keep, most), min(p.want, most)
	}
}

// stay is how long the want of a pool lasts from a moment: until its turn ends and what waits is done.
func (m *mover) stay(p *poolPlan, from time.Time, left float64) time.Duration {
	const step = 250 * time.Millisecond
	stay := time.Duration(left/(float64(max(1, p.have))*p.unit)) * time.Millisecond
	for n := range 40 {
		if !m.calendar.high(p.name, m.now, from.Add(time.Duration(n)*step)) {
			break
		}
		stay += step
	}
	if !m.cfg.Moves.Foresee && p.turns.high {
		stay += time.Second
	}
	return stay
}

// fill moves machines to pools that will lack some, the most lacking first.
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
		if !p.claim || (p.name != "" && !m.in.Pools[m.machines[id].Pool].Spare) {
			m.intendMove(id, p.name).notTill = p.orderAt
		}
		p.have++
	}
}

// neediest is the pool that lacks most, if a further machine there earns more than its move.
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

// lack is how many machines a pool wants beyond those it has.
func (p *poolPlan) lack() float64 { return p.want - float64(p.have) }

// pays says whether a machine that is used in part earns more in a pool than it costs.
func (m *mover) pays(p *poolPlan, use float64) bool {
	cfg := m.cfg.Moves
	if float64(p.have) < p.floor() {
		return true
	}
	stay := p.stay.Seconds()
	return use*p.unit/1000*stay*cfg.WorkWorth > cfg.MovePrice+stay*cfg.SecondPrice
}

// take picks a machine for a pool: one that is off, or else one that another pool will not need.
func (m *mover) take(to *poolPlan) string {
	for n, id := range m.idle {
		if !m.unfit[MoveOrder{Machine: id, Pool: to.name}] {
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

// surplus is how many machines a pool has beyond its need.
func (p *poolPlan) surplus() float64 { return float64(p.have) - p.keep }

// release takes a machine out of a pool, unless too many with persistent tasks are being emptied.
func (m *mover) release(p *poolPlan, to string) string {
	for n, id := range p.leaving {
		if m.unfit[MoveOrder{Machine: id, Pool: to}] {
			continue
		}
		if m.persistentOn(m.machines[id]) {
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

// intendMove begins to empty a machine, or goes on doing so, for a pool.
func (m *mover) intendMove(id, pool string) *intent {
	i := m.newIntent(id)
	i.pool = pool
	return i
}
