package upkeep

import (
	"cmp"
	"math"
	"time"
)

// poolPlan is what one pool has and needs, in hosts.
type poolPlan struct {
	name string
	*demand
	// unit is the usable CPU of one host.
	unit float64
	// have counts hosts that stay or come; want is needed when a move ordered now is over, keep until then.
	have int
	// serving counts those of them that are there now.
	serving int
	want    float64
	keep    float64
	// stay is how long the want lasts.
	stay time.Duration
	// leaving are hosts that a move may take, cheapest first.
	leaving []string
	// withPersistent counts hosts with persistent tasks, and upkeeps those that a wave empties or has sent away.
	withPersistent int
	upkeeps        int
	// emptying counts hosts with persistent tasks that are being emptied.
	emptying int
	// claim means that the want lies ahead: hosts are held back for it, and emptied, but not moved before orderAt.
	claim   bool
	orderAt time.Time
}

// mover plans the moves of one step.
type mover struct {
	*step
	plans map[string]*poolPlan
	names []string
	spare string
	// capacity is the CPU of all hosts.
	capacity float64
	// idle are the hosts in spare pools that may go.
	idle     []string
	calendar *calendar
	// unknown claims hosts for a pool that is not known yet.
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
	m.countHosts()
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

// giveUp leaves a host alone for a while; if persistent tasks hold it, all such hosts of its pool.
func (s *step) giveUp(id string, i *intent) {
	until := s.now.Add(s.cfg.Moves.Pause)
	s.notBefore[id] = until
	if d := s.demands[i.from]; d != nil && s.persistentOn(s.hosts[id]) {
		d.heldUntil = until
	}
}

// observeDemand learns from the newest statuses.
func (s *step) observeDemand() {
	capacity := map[string]float64{}
	for _, m := range s.hosts {
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

// floor is the number of hosts that a pool must have whatever its demand: while a wave empties one, its persistent
// tasks need another place; and tasks that nothing but a further host helps must not wait for ever.
func (p *poolPlan) floor() float64 {
	floor := 0.0
	if p.upkeeps > 0 {
		floor = float64(p.withPersistent)
	}
	if stuck := float64(p.status.GetStuckCpuMilli()); stuck > 0 {
		floor = max(floor, math.Ceil((p.persistent+stuck)/p.unit)+1)
	}
	return floor
}

// most is the number of hosts beyond which the pool's owner could not use any, 0 if that is not what binds.
func (p *poolPlan) most() float64 {
	const margin = 1.5
	carried := float64(p.status.GetCarriedCpuMilli())
	if carried == 0 {
		return 0
	}
	return max(p.floor(), (p.persistent+margin*carried)/p.unit)
}

// lead is how long a host takes from its order until it is used.
func (m *mover) lead() time.Duration { return m.cfg.MoveTime + m.cfg.Moves.Join }

// need sets what a pool needs, in hosts.
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
