package upkeep

import (
	"cmp"
	"math"
	"slices"
	"time"
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

// planWaves counts who is down, finds waves that are completed and begins to empty further machines.
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

// count sets the room of a wave: its cap less the machines of it that are or may be down for their upkeep.
func (s *step) count(w Wave) {
	members := make(map[string]bool, len(w.Machines))
	down := 0
	for _, id := range w.Machines {
		if members[id] {
			continue
		}
		members[id] = true
		i := s.ledger[id]
		if s.machines[id].State == Upkeep || (i != nil && i.down()) {
			down++
		}
	}
	s.members[w.Number] = members
	s.room[w.Number] = w.Cap - down
}

// outstanding lists the machines of a wave that have not begun their upkeep and stay, without repeats.
func (s *step) outstanding(w Wave) []string {
	state := s.wave(w.Number)
	var out []string
	for _, id := range slices.Compact(slices.Sorted(slices.Values(w.Machines))) {
		if state.progress[id] == Begun || state.excluded[id] || s.gone(id) {
			continue
		}
		out = append(out, id)
	}
	return out
}

// takeRoom counts an upkeep against all waves that hold the machine, if each has room. One that counts already is free.
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

// evacuate begins to empty machines of a wave: those that may go now and a few ahead, the cheapest first.
func (s *step) evacuate(w Wave, left []string) {
	inProgress := 0
	inPool := map[string]int{}
	var free []string
	for _, id := range left {
		i := s.ledger[id]
		m := s.machines[id]
		switch {
		case i != nil && !i.move() && i.phase == evacuating && !i.counted:
			inProgress++
			inPool[m.Pool]++
		case i != nil && !i.move():
			inPool[m.Pool]++
		case i == nil && m.State == Up && s.known(m.Pool):
			free = append(free, id)
		}
	}
	s.sortByCost(free)
	want := s.concurrency(w)
	for _, id := range free {
		m := s.machines[id]
		if inProgress >= want {
			return
		}
		if inPool[m.Pool] >= s.perPool(m.Pool) {
			continue
		}
		inProgress++
		inPool[m.Pool]++
		s.ledger[id] = &intent{phase: evacuating, since: s.now, began: s.now, wave: w.Number, from: m.Pool, worker: m.Worker}
	}
}

func (s *step) known(pool string) bool {
	_, ok := s.in.Pools[pool]
	return ok
}

// concurrency is how many machines may be emptied at once.
func (s *step) concurrency(w Wave) int {
	return max(0, s.room[w.Number]) + s.cfg.Ahead
}

// perPool is how many machines of a pool a wave may take at once. Spare pools give all.
func (s *step) perPool(pool string) int {
	if s.in.Pools[pool].Spare {
		return math.MaxInt
	}
	size := 0
	for _, m := range s.machines {
		if m.Pool == pool {
			size++
		}
	}
	return max(1, int(s.cfg.PoolShare*float64(size)))
}

// cost is what emptying a machine takes, compared field by field.
type cost struct {
	off        int
	persistent int64
	remaining  time.Duration
	used       int64
}

func (s *step) cost(id string) cost {
	m := s.machines[id]
	load := s.in.Pools[m.Pool]
	if load.Spare {
		return cost{}
	}
	w := workerLoad(load.Status, m.Worker)
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
