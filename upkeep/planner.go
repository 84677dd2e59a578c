package upkeep

import (
	"maps"
	"slices"
	"time"
)

const (
	// busyStepInterval is the longest time between steps while evacuations, orders or waves are in progress,
	// idleStepInterval otherwise.
	busyStepInterval = 250 * time.Millisecond
	idleStepInterval = time.Second
)

// Planner holds the fleet owner's view of the hosts and its intents. It is not safe for concurrent use.
type Planner struct {
	cfg      Config
	started  time.Time
	listedAt time.Time
	hosts    map[string]Host
	// pools are those known when the last list was processed.
	pools map[string]PoolLoad
	// absences track the hosts that waves and intents name.
	absences map[string]*absence
	intents  map[string]*intent
	waves    map[int64]*waveState
	unfit    map[MoveOrder]bool
	demands  map[string]*demand
	loads    map[string]*loadIndex
	// surplusSince is the time since when a pool has had more hosts than it needs.
	surplusSince map[string]time.Time
	// notBefore is the end of the cooldown of hosts that could not be evacuated for a move.
	notBefore map[string]time.Time
}

// waveState is the progress of the hosts of one wave.
type waveState struct {
	progress map[string]Progress
	// excluded hosts do not belong to the wave according to the host service.
	excluded map[string]bool
	// unfitSince is since when the host service has answered that a host does not belong to the wave.
	unfitSince map[string]time.Time
}

// New returns a planner without state. Restore state before the first Step.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{
		cfg:      cfg,
		started:  now,
		hosts:    map[string]Host{},
		absences: map[string]*absence{},
		intents:  map[string]*intent{},
		waves:    map[int64]*waveState{},
		unfit:    map[MoveOrder]bool{},
		demands:  map[string]*demand{},
		loads:    map[string]*loadIndex{},

		surplusSince: map[string]time.Time{},
		notBefore:    map[string]time.Time{},
	}
}

// Restore restores the durable progress of a wave that an earlier owner wrote. Hosts whose order was intended count as
// down until the list or a repeated order shows their state.
func (p *Planner) Restore(now time.Time, wave int64, progress map[string]Progress) {
	w := p.wave(wave)
	for _, id := range sortedKeys(progress) {
		w.progress[id] = max(w.progress[id], progress[id])
		if w.progress[id] == Intended && p.intents[id] == nil {
			p.intents[id] = &intent{phase: unconfirmed, phaseSince: now, createdAt: now, wave: wave, maybeExecuted: true}
		}
	}
}

// Progress returns the state of each host of a wave, which must be made durable. After Step it includes the orders
// of the returned Actions: store it before they are sent.
func (p *Planner) Progress(wave int64) map[string]Progress {
	w := p.waves[wave]
	if w == nil {
		return nil
	}
	return maps.Clone(w.progress)
}

// RestoreMoves restores the moves that an earlier owner may have ordered. Their hosts are used for nothing else until
// the outcome of these moves is known.
func (p *Planner) RestoreMoves(now time.Time, moves []MoveOrder) {
	for _, o := range moves {
		if p.intents[o.Host] == nil {
			p.intents[o.Host] = &intent{phase: unconfirmed, phaseSince: now, createdAt: now, targetPool: o.Pool, maybeExecuted: true}
		}
	}
}

// OpenMoves returns the moves that may still be carried out, sorted by host. After Step it includes the moves
// of the returned Actions: store it before they are sent.
func (p *Planner) OpenMoves() []MoveOrder {
	var out []MoveOrder
	for _, id := range sortedKeys(p.intents) {
		if i := p.intents[id]; i.isMove() && (i.maybeExecuted || i.phase == ordered) && i.phase != away {
			out = append(out, MoveOrder{Host: id, Pool: i.targetPool})
		}
	}
	return out
}

// Step returns the actions to take now.
func (p *Planner) Step(now time.Time, in Input) Actions {
	p.trackAbsences(now, in.Waves)
	p.observe(now, in)
	p.pruneWaves(in.Waves)
	s := &step{Planner: p, now: now, in: in}
	s.out.Reasons = map[string]MoveReason{}
	s.out.Due = map[string][]string{}
	if !p.listedAt.IsZero() {
		s.pruneLoads()
		s.countSizes()
		s.observeDemand()
		s.resetMoves()
		s.planWaves()
		s.planMoves()
		s.issueOrders()
	}
	s.collectEvacuations()
	return s.out
}

// step holds the state of one call of Step.
type step struct {
	*Planner
	now time.Time
	in  Input
	out Actions
	// unorderedMoves are the move intents that had not been ordered when the step began.
	unorderedMoves map[string]*intent
	// poolSizes counts the hosts of each pool.
	poolSizes map[string]int
	// upkeepBudget is how many hosts of each wave may still be ordered.
	upkeepBudget map[int64]int
	// members are the hosts of each wave.
	members map[int64]map[string]bool
}

// collectEvacuations lists the workers to evacuate and sets the time of the next step.
func (s *step) collectEvacuations() {
	s.out.Evacuate = map[string][]string{}
	for _, id := range sortedKeys(s.intents) {
		i := s.intents[id]
		if i.worker == "" {
			// A restored order has not been compared with the list yet.
			i.fromPool, i.worker = s.hosts[id].Pool, s.hosts[id].Worker
		}
		if i.fromPool == "" || i.worker == "" {
			continue
		}
		s.out.Evacuate[i.fromPool] = append(s.out.Evacuate[i.fromPool], i.worker)
	}
	for _, workers := range s.out.Evacuate {
		slices.Sort(workers)
	}
	s.out.Busy = len(s.intents) > 0 || len(s.in.Waves) > len(s.out.Completed)
	s.out.Wake = s.now.Add(idleStepInterval)
	if s.out.Busy {
		s.out.Wake = s.now.Add(busyStepInterval)
	}
}

// issueOrders orders the upkeeps and moves of evacuated hosts, the oldest intents first.
func (s *step) issueOrders() {
	ids := sortedKeys(s.intents)
	slices.SortStableFunc(ids, func(a, b string) int {
		return s.intents[a].createdAt.Compare(s.intents[b].createdAt)
	})
	for _, id := range ids {
		i := s.intents[id]
		if i.phase != evacuating || s.now.Before(i.notBefore) || !s.isReady(id, i) {
			continue
		}
		if i.isMove() {
			s.out.Moves = append(s.out.Moves, MoveOrder{Host: id, Pool: i.targetPool})
			s.out.Reasons[id] = i.reason
			i.setPhase(ordered, s.now)
			continue
		}
		if !s.takeBudget(id, i) {
			continue
		}
		s.out.Upkeeps = append(s.out.Upkeeps, Order{Host: id, Wave: i.wave})
		i.setPhase(ordered, s.now)
		s.wave(i.wave).markIntended(id)
	}
}

// isReady reports whether the order of a host may be issued: nothing runs on it, or only tasks that may be stopped.
// Persistent tasks always leave first: only the pool's owner knows when the next one may be down. isReady also updates
// the intent's worker and pool, and sets forced if tasks are still running.
func (s *step) isReady(id string, i *intent) bool {
	m, ok := s.hosts[id]
	if !ok || m.State != Up {
		return false
	}
	i.worker = m.Worker
	i.fromPool = m.Pool
	load, known := s.in.Pools[m.Pool]
	if !known {
		return false
	}
	tooEarly := s.now.Sub(i.createdAt) < s.cfg.ForceAfter
	if load.Spare {
		return true
	}
	if m.Worker == "" {
		return !tooEarly
	}
	// A status from before the evacuation was requested may be outdated.
	afterRequest := s.now.Add(-load.Age).After(i.phaseSince)
	if !load.Status.GetOwner() || load.Age > s.cfg.MaxStatusAge || !afterRequest {
		return false
	}
	w := s.load(m)
	if w.GetEvacuated() {
		return true
	}
	if !w.GetStoppable() || w.GetPersistentTasks() > 0 || tooEarly || s.hasForced(m.Pool) {
		return false
	}
	i.forced = true
	return true
}

// hasForced reports whether an order of a host of the pool was issued while tasks that may be stopped still ran on it:
// a second such order could end another task of the same step.
func (s *step) hasForced(pool string) bool {
	for _, i := range s.intents {
		if i.forced && i.fromPool == pool && i.phase != evacuating {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K interface{ ~string | ~int64 }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
