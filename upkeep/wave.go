package upkeep

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

func (p *Planner) wave(number int64) *waveState {
	w := p.waves[number]
	if w == nil {
		w = &waveState{progress: map[string]Progress{}, excluded: map[string]bool{}, unfitSince: map[string]time.Time{}}
		p.waves[number] = w
	}
	return w
}

func (w *waveState) markIntended(id string) {
	w.progress[id] = max(w.progress[id], Intended)
}

func (p *Planner) markBegun(wave int64, id string) { p.wave(wave).progress[id] = Begun }

// withdraw removes an intended order that was certainly not carried out from the progress.
func (p *Planner) withdraw(wave int64, id string) {
	w := p.wave(wave)
	if w.progress[id] == Intended {
		delete(w.progress, id)
	}
}

func (p *Planner) exclude(wave int64, id string) {
	w := p.wave(wave)
	w.excluded[id] = true
	delete(w.progress, id)
}

// confirmUnfit reports whether the host service has answered for GoneAfter, and nothing else, that a host does not belong to the wave.
// It may learn of a wave or of a host later than the planner, so a single answer is not final.
func (p *Planner) confirmUnfit(now time.Time, o Order) bool {
	w := p.wave(o.Wave)
	since, known := w.unfitSince[o.Host]
	if !known {
		w.unfitSince[o.Host] = now
		return false
	}
	return now.Sub(since) >= p.cfg.GoneAfter
}

// pruneWaves drops the state of waves that are no longer requested, except for orders in progress.
func (p *Planner) pruneWaves(waves []Wave) {
	requested := make(map[int64]bool, len(waves))
	for _, w := range waves {
		requested[w.Number] = true
	}
	for id, i := range p.intents {
		if !i.isMove() && !requested[i.wave] && !i.countsAsDown() {
			delete(p.intents, id)
		}
	}
	for number := range p.waves {
		if !requested[number] {
			delete(p.waves, number)
		}
	}
}

// planWaves counts the hosts that are down, finds completed waves and starts further evacuations.
func (s *step) planWaves() {
	s.upkeepBudget = make(map[int64]int, len(s.in.Waves))
	s.members = make(map[int64]map[string]bool, len(s.in.Waves))
	waves := slices.Clone(s.in.Waves)
	slices.SortFunc(waves, func(a, b Wave) int {
		return cmp.Or(a.Seen.Add(a.Within).Compare(b.Seen.Add(b.Within)), cmp.Compare(a.Number, b.Number))
	})
	for _, w := range waves {
		s.initBudget(w)
	}
	for _, w := range waves {
		left, skipped := s.outstanding(w)
		if len(left) == 0 {
			s.out.Completed = append(s.out.Completed, CompletedWave{Number: w.Number, Skipped: skipped})
			continue
		}
		s.evacuate(w, left)
		for _, id := range left {
			if m := s.hosts[id]; m.Worker != "" && m.State == Up && s.isKnownPool(m.Pool) {
				s.out.Due[m.Pool] = append(s.out.Due[m.Pool], m.Worker)
			}
		}
	}
}

// initBudget sets the budget of a wave: its cap less its hosts that are or may be down for their upkeep.
func (s *step) initBudget(w Wave) {
	members := make(map[string]bool, len(w.Hosts))
	down := 0
	for _, id := range w.Hosts {
		if members[id] {
			continue
		}
		members[id] = true
		i := s.intents[id]
		if s.hosts[id].State == Upkeep || (i != nil && i.countsAsDown()) {
			down++
		}
	}
	s.members[w.Number] = members
	s.upkeepBudget[w.Number] = w.Cap - down
}

// outstanding lists the hosts of a wave that have not begun their upkeep, without duplicates. skipped are those of them that have
// left or are excluded, for which the wave does not wait.
func (s *step) outstanding(w Wave) (left, skipped []string) {
	state := s.wave(w.Number)
	for _, id := range slices.Compact(slices.Sorted(slices.Values(w.Hosts))) {
		switch {
		case state.progress[id] == Begun:
		case state.excluded[id] || s.isGone(id):
			skipped = append(skipped, id)
		default:
			left = append(left, id)
		}
	}
	return left, skipped
}

// takeBudget charges an upkeep to all waves that contain the host, if each has budget left. A host that already counts
// as down is not charged again.
func (s *step) takeBudget(id string, i *intent) bool {
	if i.maybeExecuted {
		return true
	}
	for number, members := range s.members {
		if members[id] && s.upkeepBudget[number] <= 0 {
			return false
		}
	}
	for number, members := range s.members {
		if members[id] {
			s.upkeepBudget[number]--
		}
	}
	return true
}

// evacuation holds the evacuation counts of a wave.
type evacuation struct {
	Wave
	urgent bool
	// evacuating counts the hosts that are being evacuated, limit bounds them.
	evacuating int
	limit      int
	// inPool counts by pool the wave's outstanding hosts that are being evacuated or have been ordered, and
	// withPersistent those with persistent tasks that are being evacuated. persistentLimit bounds the latter.
	inPool          map[string]int
	withPersistent  map[string]int
	persistentLimit map[string]int
}

// evacuate starts to evacuate hosts of a wave: those that may be ordered now and a few ahead, the cheapest first. Hosts
// with persistent tasks take longest, so a few of them, at most one per pool, are always being evacuated.
func (s *step) evacuate(w Wave, left []string) {
	e := &evacuation{Wave: w, inPool: map[string]int{}, withPersistent: map[string]int{}}
	e.persistentLimit = s.persistentLimits(w, left)
	var free []string
	for _, id := range left {
		m := s.hosts[id]
		if s.intents[id] == nil && m.State == Up && s.isKnownPool(m.Pool) {
			free = append(free, id)
		}
		s.countInProgress(e, id)
	}
	s.sortByCost(free)
	e.urgent = s.urgent(w, len(left))
	e.limit = s.evacuationLimit(w, len(left), e.urgent)
	persistent := lo.Sum(lo.Values(e.withPersistent))
	ahead := max(s.cfg.Ahead, lo.Sum(lo.Values(e.persistentLimit))-len(e.persistentLimit))
	for _, id := range free {
		m := s.hosts[id]
		if persistent < ahead && s.persistentCount(m) > 0 && s.tryEvacuate(e, id) {
			persistent++
		}
	}
	for _, id := range free {
		if s.intents[id] == nil {
			s.tryEvacuate(e, id)
		}
	}
}

// persistentLimits returns by pool how many hosts with persistent tasks a wave may evacuate at once: one, or as many as
// the time that is left requires. The pool's owner keeps the disruption budgets of the tasks in any case.
func (s *step) persistentLimits(w Wave, left []string) map[string]int {
	count := map[string]int{}
	for _, id := range left {
		m := s.hosts[id]
		count[m.Pool] += s.persistentCount(m)
	}
	timeLeft := max(s.timeLeft(w), s.cfg.PersistentTime).Seconds()
	return lo.MapValues(count, func(n int, pool string) int {
		rounds := float64(n) * s.cfg.PersistentTime.Seconds() / timeLeft
		return min(max(1, int(math.Ceil(rounds))), s.maxPerPool(pool, w))
	})
}

// countInProgress counts a host that a wave has already claimed.
func (s *step) countInProgress(e *evacuation, id string) {
	i := s.intents[id]
	m := s.hosts[id]
	if i == nil || i.isMove() {
		return
	}
	e.inPool[m.Pool]++
	if i.phase == evacuating && !i.maybeExecuted {
		e.evacuating++
		e.withPersistent[m.Pool] += s.persistentCount(m)
	}
}

// tryEvacuate starts to evacuate a host for a wave if the bounds allow it. While there is time to spare, pools with high
// demand are left alone; for hosts with persistent tasks there is none once several of a pool must go at once.
func (s *step) tryEvacuate(e *evacuation, id string) bool {
	m := s.hosts[id]
	persistent := s.persistentCount(m)
	switch {
	case e.evacuating >= e.limit || e.inPool[m.Pool] >= s.maxPerPool(m.Pool, e.Wave):
		return false
	case !e.urgent && s.inBurst(m.Pool) && (persistent == 0 || e.persistentLimit[m.Pool] < 2):
		return false
	case persistent > 0 && e.withPersistent[m.Pool] >= e.persistentLimit[m.Pool]:
		return false
	}
	e.evacuating++
	e.inPool[m.Pool]++
	e.withPersistent[m.Pool] += persistent
	s.newIntent(id).wave = e.Number
	return true
}

// persistentCount returns 1 for a host with persistent tasks, 0 otherwise.
func (s *step) persistentCount(m Host) int {
	if s.hasPersistent(m) {
		return 1
	}
	return 0
}

// newIntent creates the intent of a host, or reuses that of a move that has not been ordered.
func (s *step) newIntent(id string) *intent {
	i := s.unorderedMoves[id]
	if i == nil {
		m := s.hosts[id]
		i = &intent{phase: evacuating, phaseSince: s.now, createdAt: s.now, fromPool: m.Pool, worker: m.Worker}
	}
	delete(s.unorderedMoves, id)
	i.targetPool = ""
	i.wave = 0
	i.notBefore = time.Time{}
	s.intents[id] = i
	return i
}

func (s *step) isKnownPool(pool string) bool {
	_, ok := s.in.Pools[pool]
	return ok
}

// inBurst reports whether a pool's demand is high.
func (s *step) inBurst(pool string) bool {
	d := s.demands[pool]
	return d != nil && d.bursts.high
}

// urgent reports whether a wave needs its full cap to meet its deadline.
func (s *step) urgent(w Wave, left int) bool {
	const slack = 1.3
	rounds := (left + max(1, w.Cap) - 1) / max(1, w.Cap)
	needed := time.Duration(rounds)*(s.cfg.UpkeepTime+s.cfg.Retry) + s.cfg.ForceAfter
	return slack*float64(needed) >= float64(s.timeLeft(w))
}

func (s *step) timeLeft(w Wave) time.Duration {
	return w.Seen.Add(w.Within - s.cfg.Margin).Sub(s.now)
}

// evacuationLimit returns how many hosts of a wave may be evacuated at once.
func (s *step) evacuationLimit(w Wave, left int, urgent bool) int {
	budget := max(0, s.upkeepBudget[w.Number])
	limit := budget + s.cfg.Ahead
	if urgent {
		return limit
	}
	each := s.cfg.UpkeepTime + s.cfg.ForceAfter
	needed := int(math.Ceil(float64(left)*each.Seconds()/s.timeLeft(w).Seconds())) + 1
	return min(limit, max(1, needed-(w.Cap-budget)))
}

// maxPerPool returns how many hosts of a pool a wave may take at once. For spare pools only the cap applies.
func (s *step) maxPerPool(pool string, w Wave) int {
	if s.in.Pools[pool].Spare {
		return w.Cap
	}
	return max(1, int(s.cfg.PoolShare*float64(s.poolSizes[pool])))
}

func (s *step) countSizes() {
	s.poolSizes = make(map[string]int, len(s.in.Pools))
	for _, m := range s.hosts {
		s.poolSizes[m.Pool]++
	}
}

// cost is the cost of evacuating a host, compared field by field.
type cost struct {
	// tier is 0 for a host of a spare pool, 1 for one whose load is known, and 2 for any other.
	tier       int
	persistent int64
	remaining  time.Duration
	used       int64
}

func (s *step) cost(id string) cost {
	m := s.hosts[id]
	load := s.in.Pools[m.Pool]
	if load.Spare {
		return cost{}
	}
	w := s.load(m)
	if w == nil {
		return cost{tier: 2}
	}
	return cost{
		tier:       1,
		persistent: w.GetPersistentTasks(),
		remaining:  time.Duration(w.GetRemainingMs()) * time.Millisecond,
		used:       w.GetUsedCpuMilli(),
	}
}

func (s *step) sortByCost(ids []string) {
	costs := make(map[string]cost, len(ids))
	for _, id := range ids {
		costs[id] = s.cost(id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := costs[a], costs[b]
		return cmp.Or(
			cmp.Compare(x.tier, y.tier),
			cmp.Compare(x.persistent, y.persistent),
			cmp.Compare(x.remaining, y.remaining),
			cmp.Compare(x.used, y.used),
			cmp.Compare(a, b),
		)
	})
}
