package upkeep

import (
	"cmp"
	"math"
	"time"
)

// poolPlan is what one pool has and needs; counts are in hosts.
type poolPlan struct {
	name string
	*demand
	// cpuPerHost is the usable CPU of one host, persistentLoad that of the hosts which persistent tasks fill.
	cpuPerHost     float64
	persistentLoad float64
	// hostCount counts hosts that stay or arrive; targetHosts is the need once a move ordered now is complete,
	// neededHosts the larger of this and the need until then.
	hostCount int
	// serving counts those of hostCount that are up in the pool now.
	serving     int
	targetHosts float64
	neededHosts float64
	// needDuration is how long targetHosts are needed.
	needDuration time.Duration
	// releasable are the hosts that a move may take, cheapest first.
	releasable []string
	// withPersistent counts hosts with persistent tasks, and inUpkeep all hosts that a wave is evacuating or has ordered
	// to their upkeep.
	withPersistent int
	inUpkeep       int
	// persistentEvacuating counts hosts with persistent tasks that are being evacuated.
	persistentEvacuating int
	// reserved is set if the need lies ahead: hosts are reserved for it and evacuated, but not moved before orderAt.
	reserved bool
	orderAt  time.Time
}

// movePlanner plans the moves of one step.
type movePlanner struct {
	*step
	plans map[string]*poolPlan
	names []string
	// spare is the spare pool that idle hosts move to; empty if there is none.
	spare string
	// capacity is the CPU of all hosts.
	capacity float64
	// idle are the hosts in spare pools that may move.
	idle     []string
	forecast *forecast
	// unknownPool reserves hosts for a burst whose pool is not known yet.
	unknownPool *poolPlan
}

// planMoves replans the moves that have not been ordered; moves already ordered stay.
func (s *step) planMoves() {
	if !s.cfg.Moves.Enabled {
		return
	}
	m := &movePlanner{step: s, plans: map[string]*poolPlan{}, forecast: s.newForecast()}
	for _, name := range sortedKeys(s.in.Pools) {
		m.addPool(name)
	}
	m.countHosts()
	m.estimatePeaks()
	for _, name := range m.names {
		m.computeNeed(m.plans[name])
	}
	m.reserveHosts()
	m.assignHosts()
	m.releaseIdle()
}

// resetMoves sets the moves that have not been ordered yet aside in unorderedMoves, for planMoves to take up again. It
// abandons those that have exceeded GiveUp.
func (s *step) resetMoves() {
	s.unorderedMoves = map[string]*intent{}
	for id, i := range s.intents {
		if !i.isMove() || i.phase != evacuating || i.maybeExecuted {
			continue
		}
		delete(s.intents, id)
		if s.now.Sub(i.createdAt) >= s.cfg.Moves.GiveUp {
			s.abandonMove(id, i)
			continue
		}
		s.unorderedMoves[id] = i
	}
	for id, at := range s.notBefore {
		if !s.now.Before(at) {
			delete(s.notBefore, id)
		}
	}
}

// abandonMove puts a host on cooldown; if it has persistent tasks, also all other hosts of its pool that have some.
func (s *step) abandonMove(id string, i *intent) {
	until := s.now.Add(s.cfg.Moves.Pause)
	s.notBefore[id] = until
	if d := s.demands[i.fromPool]; d != nil && s.hasPersistent(s.hosts[id]) {
		d.persistentHeldUntil = until
	}
}

// observeDemand updates the demands with the newest statuses.
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
		wasHigh := d.bursts.high
		d.observe(s.now.Add(-load.Age), load.Status, capacity[name])
		if wasHigh != d.bursts.high {
			s.out.Bursts = append(s.out.Bursts, d.burstChange(name))
		}
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

// newForecast predicts the bursts of the pools.
func (s *step) newForecast() *forecast {
	pools := map[string]*burstHistory{}
	if s.cfg.Moves.Foresee {
		for name, d := range s.demands {
			if d.status != nil || len(d.bursts.starts) > 0 {
				pools[name] = &d.bursts
			}
		}
	}
	return newForecast(pools)
}

func (m *movePlanner) addPool(name string) {
	load := m.in.Pools[name]
	if load.Spare {
		m.spare = cmp.Or(m.spare, name)
		return
	}
	m.names = append(m.names, name)
	m.plans[name] = &poolPlan{name: name, demand: m.demands[name]}
}

// minHosts returns the number of hosts that the pool needs whatever its demand: while a wave evacuates a host, its
// persistent tasks need room elsewhere, and tasks for which no running task frees enough CPU must not wait forever, nor
// persistent tasks.
func (p *poolPlan) minHosts() float64 {
	// packingLoss is how many more hosts persistent tasks need because they do not fill hosts completely.
	const packingLoss = 1.25
	count := 0.0
	if p.waitingPersistentCPU > 0 {
		count = math.Ceil(packingLoss * p.persistentLoad / p.cpuPerHost)
	}
	if p.inUpkeep > 0 {
		count = max(count, float64(p.withPersistent))
	}
	if stuck := float64(p.status.GetStuckCpuMilli()); stuck > 0 {
		count = max(count, math.Ceil((p.persistentLoad+stuck)/p.cpuPerHost)+1)
	}
	return count
}

// maxHosts returns the number of hosts that the pool's owner can keep busy, with a margin; 0 if its throughput is not
// the bottleneck.
func (p *poolPlan) maxHosts() float64 {
	const margin = 1.5
	busyCPULimit := float64(p.status.GetCarriedCpuMilli())
	if busyCPULimit == 0 {
		return 0
	}
	return max(p.minHosts(), (p.persistentLoad+margin*busyCPULimit)/p.cpuPerHost)
}

// leadTime returns the time from the order of a move until the host is used.
func (m *movePlanner) leadTime() time.Duration { return m.cfg.MoveTime + m.cfg.Moves.Join }

// computeNeed sets how many hosts a pool needs and for how long.
func (m *movePlanner) computeNeed(p *poolPlan) {
	const horizon = time.Second
	arrive := m.now.Add(m.leadTime())
	drain := float64(m.cfg.Moves.Drain.Milliseconds())
	backlog := p.backlog()
	rateUntilArrival := p.meanExpectedRate(m.forecast, p.name, m.now, m.now, arrive)
	rateAfterArrival := p.meanExpectedRate(m.forecast, p.name, m.now, arrive, arrive.Add(horizon))
	neededCPU := p.persistentLoad + rateUntilArrival + backlog/drain + p.nextStepDemand()
	if p.arrived == 0 {
		// The pool's owner does not count arrivals.
		neededCPU = max(neededCPU, p.usedCPU+backlog/drain)
	}
	// The work that still waits when a move completes, at the present capacity.
	capacity := max(0, float64(p.serving)*p.cpuPerHost-p.persistentLoad)
	remaining := max(0, backlog+(rateUntilArrival-capacity)*float64(m.leadTime().Milliseconds()))
	targetCPU := p.persistentLoad + rateAfterArrival + min(remaining/drain, max(p.peak, p.rate, rateAfterArrival)/2)
	p.neededHosts = max(neededCPU/p.cpuPerHost, targetCPU/p.cpuPerHost, p.minHosts())
	p.targetHosts = max(targetCPU/p.cpuPerHost, p.minHosts())
	if p.status == nil {
		// The fleet's owner has no status of the pool yet, so the pool keeps its hosts.
		p.neededHosts = max(p.neededHosts, float64(p.hostCount))
	}
	p.needDuration = m.needDuration(p, arrive, remaining)
	if len(p.bursts.starts) == 0 && !m.forecast.high(p.name, m.now, arrive) {
		// The pool keeps half of its hosts, since its first burst may start at any time.
		p.neededHosts = max(p.neededHosts, float64(p.hostCount)/2)
	}
	if limit := p.maxHosts(); limit > 0 {
		p.neededHosts, p.targetHosts = min(p.neededHosts, limit), min(p.targetHosts, limit)
	}
}

// needDuration returns how long a pool needs its target from the given time: until its burst ends and waiting work is
// done.
func (m *movePlanner) needDuration(p *poolPlan, from time.Time, remaining float64) time.Duration {
	const step = 250 * time.Millisecond
	duration := time.Duration(remaining/(float64(max(1, p.hostCount))*p.cpuPerHost)) * time.Millisecond
	for n := range 40 {
		if !m.forecast.high(p.name, m.now, from.Add(time.Duration(n)*step)) {
			break
		}
		duration += step
	}
	if !m.cfg.Moves.Foresee && p.bursts.high {
		duration += time.Second
	}
	return duration
}
