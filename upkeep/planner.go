package upkeep

import (
	"maps"
	"slices"
	"time"
)

const (
	// wakeBusy is the longest time between steps while something is in progress, wakeIdle otherwise.
	wakeBusy = 250 * time.Millisecond
	wakeIdle = time.Second
)

// Planner holds what the owner of the fleet knows and intends. Not safe for concurrent use.
type Planner struct {
	cfg      Config
	started  time.Time
	listedAt time.Time
	hosts    map[string]Host
	// pools are those of the last list's time.
	pools map[string]PoolLoad
	// lastSeen is when a host was last in the list; those with an intent are kept while they are missing.
	lastSeen map[string]time.Time
	ledger   map[string]*intent
	waves    map[int64]*waveState
	unfit    map[MoveOrder]bool
	demands  map[string]*demand
	loads    map[string]*loadIndex
	// surplusSince is since when a pool has had hosts beyond its need.
	surplusSince map[string]time.Time
	// notBefore is until when hosts that could not be emptied for a move are left alone.
	notBefore map[string]time.Time
}

// waveState is what has become of the hosts of one wave.
type waveState struct {
	progress map[string]Progress
	// excluded hosts are not of the wave, says the service.
	excluded map[string]bool
}

// New returns a planner that knows nothing. Restore it before the first Step.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{
		cfg:      cfg,
		started:  now,
		hosts:    map[string]Host{},
		lastSeen: map[string]time.Time{},
		ledger:   map[string]*intent{},
		waves:    map[int64]*waveState{},
		unfit:    map[MoveOrder]bool{},
		demands:  map[string]*demand{},
		loads:    map[string]*loadIndex{},

		surplusSince: map[string]time.Time{},
		notBefore:    map[string]time.Time{},
	}
}

// Restore takes in the durable progress of a wave that an earlier owner wrote. Hosts that were intended count as
// down until the list or a repeated order tells.
func (p *Planner) Restore(now time.Time, wave int64, progress map[string]Progress) {
	w := p.wave(wave)
	for _, id := range sortedKeys(progress) {
		w.progress[id] = max(w.progress[id], progress[id])
		if w.progress[id] == Intended && p.ledger[id] == nil {
			p.ledger[id] = &intent{phase: unsure, since: now, began: now, wave: wave, counted: true}
		}
	}
}

// Progress returns the state of each host of a wave to be made durable. After Step it includes the orders of its
// Actions: write it before they are sent.
func (p *Planner) Progress(wave int64) map[string]Progress {
	w := p.waves[wave]
	if w == nil {
		return nil
	}
	return maps.Clone(w.progress)
}

// RestoreMoves takes in the moves that an earlier owner may have ordered. They are finished before anything else.
func (p *Planner) RestoreMoves(now time.Time, moves []MoveOrder) {
	for _, o := range moves {
		if p.ledger[o.Host] == nil {
			p.ledger[o.Host] = &intent{phase: unsure, since: now, began: now, pool: o.Pool, counted: true}
		}
	}
}

// OpenMoves returns the moves that may still be carried out, sorted by host. After Step it includes those of its
// Actions: write it before they are sent.
func (p *Planner) OpenMoves() []MoveOrder {
	var out []MoveOrder
	for _, id := range sortedKeys(p.ledger) {
		if i := p.ledger[id]; i.move() && (i.counted || i.phase == ordered) && i.phase != away {
			out = append(out, MoveOrder{Host: id, Pool: i.pool})
		}
	}
	return out
}

// Step decides what to do now.
func (p *Planner) Step(now time.Time, in Input) Actions {
	p.observe(now, in)
	p.forgetWaves(in.Waves)
	s := &step{Planner: p, now: now, in: in}
	if !p.listedAt.IsZero() {
		s.dropLoads()
		s.countSizes()
		s.observeDemand()
		s.reopen()
		s.planWaves()
		s.planMoves()
		s.order()
	}
	s.finish()
	return s.out
}

// step is one call of Step.
type step struct {
	*Planner
	now time.Time
	in  Input
	out Actions
	// old are the move intents that had not been ordered when the step began.
	old map[string]*intent
	// sizes counts the hosts of each pool.
	sizes map[string]int
	// room is how many hosts of each wave may still be ordered.
	room map[int64]int
	// members are the hosts of each wave.
	members map[int64]map[string]bool
}

// finish lists the workers to be emptied and sets the time of the next step.
func (s *step) finish() {
	s.out.Evacuate = map[string][]string{}
	for _, id := range sortedKeys(s.ledger) {
		i := s.ledger[id]
		if i.worker == "" {
			// A restored order is not compared with the list yet.
			i.from, i.worker = s.hosts[id].Pool, s.hosts[id].Worker
		}
		if i.from == "" || i.worker == "" {
			continue
		}
		s.out.Evacuate[i.from] = append(s.out.Evacuate[i.from], i.worker)
	}
	for _, workers := range s.out.Evacuate {
		slices.Sort(workers)
	}
	s.out.Busy = len(s.ledger) > 0 || len(s.in.Waves) > len(s.out.Completed)
	s.out.Wake = s.now.Add(wakeIdle)
	if s.out.Busy {
		s.out.Wake = s.now.Add(wakeBusy)
	}
}

// order sends the hosts off that are empty, those that were begun first ahead.
func (s *step) order() {
	ids := sortedKeys(s.ledger)
	slices.SortStableFunc(ids, func(a, b string) int {
		return s.ledger[a].began.Compare(s.ledger[b].began)
	})
	for _, id := range ids {
		i := s.ledger[id]
		if i.phase != evacuating || s.now.Before(i.notTill) || !s.ready(id, i) {
			continue
		}
		if i.move() {
			s.out.Moves = append(s.out.Moves, MoveOrder{Host: id, Pool: i.pool})
			i.to(ordered, s.now)
			continue
		}
		if !s.takeRoom(id, i) {
			continue
		}
		s.out.Upkeeps = append(s.out.Upkeeps, Order{Host: id, Wave: i.wave})
		i.to(ordered, s.now)
		s.wave(i.wave).intend(id)
	}
}

// ready says whether a host may be ordered away: nothing runs on it, or nothing that would be missed. Persistent tasks
// always leave first: only their pool knows when the next one may be away.
func (s *step) ready(id string, i *intent) bool {
	m, ok := s.hosts[id]
	if !ok || m.State != Up {
		return false
	}
	i.worker = m.Worker
	i.from = m.Pool
	load, known := s.in.Pools[m.Pool]
	if !known {
		return false
	}
	waiting := s.now.Sub(i.began) < s.cfg.Patience
	if load.Spare {
		return true
	}
	if m.Worker == "" {
		return !waiting
	}
	// A status from before the worker was asked to be emptied may tell of an earlier time.
	asked := s.now.Add(-load.Age).After(i.since)
	if !load.Status.GetOwner() || load.Age > s.cfg.StatusFresh || !asked {
		return false
	}
	w := s.load(m)
	if w.GetEvacuated() {
		return true
	}
	if !w.GetStoppable() || w.GetPersistentTasks() > 0 || waiting || s.forcedIn(m.Pool) {
		return false
	}
	i.forced = true
	return true
}

// forcedIn says whether a host of the pool was ordered away while it was only stoppable: a second one could end
// another task of the same step.
func (s *step) forcedIn(pool string) bool {
	for _, i := range s.ledger {
		if i.forced && i.from == pool && i.phase != evacuating {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K interface{ ~string | ~int64 }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
