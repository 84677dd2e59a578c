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
		w = &waveState{progress: map[string]Progress{}, excluded: map[string]bool{}}
		p.waves[number] = w
	}
	return w
}

func (w *waveState) intend(id string) {
	w.progress[id] = max(w.progress[id], Intended)
}

func (p *Planner) begun(wave int64, id string) { p.wave(wave).progress[id] = Begun }

// withdraw takes an intended order back that was surely not carried out.
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

// forgetWaves drops what is known of waves that are not asked for any more, unless an order is under way.
func (p *Planner) forgetWaves(waves []Wave) {
	asked := make(map[int64]bool, len(waves))
	for _, w := range waves {
		asked[w.Number] = true
	}
	for id, i := range p.ledger {
		if !i.move() && !asked[i.wave] && !i.down() {
			delete(p.ledger, id)
		}
	}
	for number := range p.waves {
		if !asked[number] {
			delete(p.waves, number)
		}
	}
}

// planWaves counts who is down, finds waves that are completed and begins to empty further hosts.
func (s *step) planWaves() {
	s.room = make(map[int64]int, len(s.in.Waves))
	s.members = make(map[int64]map[string]bool, len(s.in.Waves))
	waves := slices.Clone(s.in.Waves)
	slices.SortFunc(waves, func(a, b Wave) int {
		return cmp.Or(a.Seen.Add(a.Within).Compare(b.Seen.Add(b.Within)), cmp.Compare(a.Number, b.Number))
	})
	for _, w := range waves {
		s.count(w)
	}
	for _, w := range waves {
		left := s.outstanding(w)
		if len(left) == 0 {
			s.out.Completed = append(s.out.Completed, w.Number)
			continue
		}
		s.evacuate(w, left)
	}
}

// count sets the room of a wave: its cap less the hosts of it that are or may be down for their upkeep.
func (s *step) count(w Wave) {
	members := make(map[string]bool, len(w.Hosts))
	down := 0
	for _, id := range w.Hosts {
		if members[id] {
			continue
		}
		members[id] = true
		i := s.ledger[id]
		if s.hosts[id].State == Upkeep || (i != nil && i.down()) {
			down++
		}
	}
	s.members[w.Number] = members
	s.room[w.Number] = w.Cap - down
}

// outstanding lists the hosts of a wave that have not begun their upkeep and stay, without repeats.
func (s *step) outstanding(w Wave) []string {
	state := s.wave(w.Number)
	var out []string
	for _, id := range slices.Compact(slices.Sorted(slices.Values(w.Hosts))) {
		if state.progress[id] == Begun || state.excluded[id] || s.gone(id) {
			continue
		}
		out = append(out, id)
	}
	return out
}

// takeRoom counts an upkeep against all waves that hold the host, if each has room. One that counts already is free.
func (s *step) takeRoom(id string, i *intent) bool {
	if i.counted {
		return true
	}
	for number, members := range s.members {
		if members[id] && s.room[number] <= 0 {
			return false
		}
	}
	for number, members := range s.members {
		if members[id] {
			s.room[number]--
		}
	}
	return true
}

// emptying is what a wave has in its hands.
type emptying struct {
	Wave
	urgent bool
	// count is how many hosts are being emptied, and most how many may be.
	count int
	most  int
	// inPool counts the wave's hosts by pool that are away or being emptied, and withPersistent those with persistent tasks.
	inPool         map[string]int
	withPersistent map[string]int
}

// evacuate begins to empty hosts of a wave: those that may go now and a few ahead, the cheapest first. Hosts with
// persistent tasks take longest, so a few of them are always being emptied, one a pool.
func (s *step) evacuate(w Wave, left []string) {
	e := &emptying{Wave: w, inPool: map[string]int{}, withPersistent: map[string]int{}}
	var free []string
	for _, id := range left {
		m := s.hosts[id]
		if s.ledger[id] == nil && m.State == Up && s.known(m.Pool) {
			free = append(free, id)
		}
		s.tally(e, id)
	}
	s.sortByCost(free)
	e.urgent = s.urgent(w, len(left))
	e.most = s.pace(w, len(left), e.urgent)
	persistent := lo.Sum(lo.Values(e.withPersistent))
	for _, id := range free {
		m := s.hosts[id]
		if persistent < s.cfg.Ahead && s.persistentCount(m) > 0 && !s.inTurn(m.Pool) && s.begin(e, id) {
			persistent++
		}
	}
	for _, id := range free {
		if s.ledger[id] == nil {
			s.begin(e, id)
		}
	}
}

// tally counts a host that is in the hands of a wave.
func (s *step) tally(e *emptying, id string) {
	i := s.ledger[id]
	m := s.hosts[id]
	if i == nil || i.move() {
		return
	}
	e.inPool[m.Pool]++
	if i.phase == evacuating && !i.counted {
		e.count++
		e.withPersistent[m.Pool] += s.persistentCount(m)
	}
}

// begin empties a host for a wave if the bounds allow it.
func (s *step) begin(e *emptying, id string) bool {
	m := s.hosts[id]
	persistent := s.persistentCount(m)
	switch {
	case e.count >= e.most || e.inPool[m.Pool] >= s.perPool(m.Pool, e.Wave):
		return false
	case !e.urgent && s.inTurn(m.Pool):
		return false
	case persistent > 0 && e.withPersistent[m.Pool] > 0:
		return false
	}
	e.count++
	e.inPool[m.Pool]++
	e.withPersistent[m.Pool] += persistent
	s.newIntent(id).wave = e.Number
	return true
}

// persistentCount is 1 for a host with persistent tasks.
func (s *step) persistentCount(m Host) int {
	if s.persistentOn(m) {
		return 1
	}
	return 0
}

// newIntent makes the intent of a host, or takes over the one of a move that was not ordered yet.
func (s *step) newIntent(id string) *intent {
	i := s.old[id]
	if i == nil {
		m := s.hosts[id]
		i = &intent{phase: evacuating, since: s.now, began: s.now, from: m.Pool, worker: m.Worker}
	}
	delete(s.old, id)
	i.pool = ""
	i.wave = 0
	i.notTill = time.Time{}
	s.ledger[id] = i
	return i
}

func (s *step) known(pool string) bool {
	_, ok := s.in.Pools[pool]
	return ok
}

// inTurn says whether a pool's demand is high.
func (s *step) inTurn(pool string) bool {
	d := s.demands[pool]
	return d != nil && d.turns.high
}

// urgent says whether a wave needs all that its cap allows to be in time.
func (s *step) urgent(w Wave, left int) bool {
	const slack = 1.3
	rounds := (left + max(1, w.Cap) - 1) / max(1, w.Cap)
	needed := time.Duration(slack * float64(rounds) * float64(s.cfg.UpkeepTime+s.cfg.Retry))
	return needed >= s.timeLeft(w)
}

func (s *step) timeLeft(w Wave) time.Duration {
	return w.Seen.Add(w.Within - s.cfg.Margin).Sub(s.now)
}

// pace is how many hosts of a wave may be emptied at once.
func (s *step) pace(w Wave, left int, urgent bool) int {
	room := max(0, s.room[w.Number])
	most := room + s.cfg.Ahead
	if urgent {
		return most
	}
	each := s.cfg.UpkeepTime + s.cfg.Patience
	needed := int(math.Ceil(float64(left)*each.Seconds()/s.timeLeft(w).Seconds())) + 1
	return min(most, max(1, needed-(w.Cap-room)))
}

// perPool is how many hosts of a pool a wave may take at once. Spare pools give as many as may go at once.
func (s *step) perPool(pool string, w Wave) int {
	if s.in.Pools[pool].Spare {
		return w.Cap
	}
	return max(1, int(s.cfg.PoolShare*float64(s.sizes[pool])))
}

func (s *step) countSizes() {
	s.sizes = make(map[string]int, len(s.in.Pools))
	for _, m := range s.hosts {
		s.sizes[m.Pool]++
	}
}

// cost is what emptying a host takes, compared field by field.
type cost struct {
	off        int
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
		return cost{off: 2}
	}
	return cost{
		off:        1,
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
			cmp.Compare(x.off, y.off),
			cmp.Compare(x.persistent, y.persistent),
			cmp.Compare(x.remaining, y.remaining),
			cmp.Compare(x.used, y.used),
			cmp.Compare(a, b),
		)
	})
}
