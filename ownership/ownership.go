// Package ownership decides which entry host takes a pool that nobody owns, and whether an owner may still act.
//
// Every host computes the same from the same View: a free pool goes to its last holder if that still runs, else to the
// host that owns fewest pools for its processor, with rendezvous hashing among equals. Hosts that come later in a pool's ranking wait
// longer, so that one which is alive but cannot act does not leave the pool free. Safety does not rest on any of this:
// the store lets one host take the key, and the revision of that write is the fence.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/rendezvous"
)

// Member is a host that may own pools.
type Member struct {
	Name        string
	Incarnation string
	// Leaving members take nothing.
	Leaving bool
	// CPUMilli is the processor it may use, in thousandths of a core; 0 if not known.
	CPUMilli int64
}

// Pool is a pool that is to be owned.
type Pool struct {
	Name string
	// Owner is the name of the member that holds it, "" when it is free.
	Owner string
	// LastOwner and LastIncarnation are who held it before it became free, if this is known.
	LastOwner, LastIncarnation string
	// FreeSince is when it was first seen to be free.
	FreeSince time.Time
}

// View is what a host knows.
type View struct {
	Members []Member
	Pools   []Pool
	// Settled is when the member that decides has waited long enough for others to register. Until then it takes
	// only what it held itself.
	Settled time.Time
}

// Turn is when a host takes a free pool, unless another one has by then.
type Turn struct {
	Pool string
	// Rank is 0 for the host that takes it at once.
	Rank int
	At   time.Time
}

// Turns returns the turns of the member named self at the free pools, by pool. There are none for a member that is
// leaving or not in the view. Each rank waits for step.
func Turns(v View, self string, step time.Duration) []Turn {
	able := lo.Filter(v.Members, func(m Member, _ int) bool { return !m.Leaving })
	if !lo.ContainsBy(able, func(m Member) bool { return m.Name == self }) {
		return nil
	}
	owned := lo.CountValuesBy(v.Pools, func(p Pool) string { return p.Owner })
	pools := slices.Clone(v.Pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	var turns []Turn
	for _, p := range pools {
		if p.Owner != "" {
			continue
		}
		ranking := Ranking(p, able, owned)
		owned[ranking[0]]++
		rank := slices.Index(ranking, self)
		from := p.FreeSince
		heldLast := lo.ContainsBy(able, func(m Member) bool { return m.Name == self && p.lastHeldBy(m) })
		if v.Settled.After(from) && !heldLast {
			from = v.Settled
		}
		turns = append(turns, Turn{Pool: p.Name, Rank: rank, At: from.Add(time.Duration(rank) * step)})
	}
	return turns
}

// usualCPU stands for a processor that is not known, in thousandths of a core.
const usualCPU = 1000

// Ranking orders the names of members by their claim on the pool: its last holder first, then those that would own fewest
// for their processor.
func Ranking(p Pool, members []Member, owned map[string]int) []string {
	type claim struct {
		name string
		held bool
		// load is the pools that it would own for each core.
		load   float64
		weight uint64
	}
	poolHash := rendezvous.Hash(p.Name)
	claims := lo.Map(members, func(m Member, _ int) claim {
		return claim{
			name:   m.Name,
			held:   p.lastHeldBy(m),
			load:   float64(owned[m.Name]+1) / float64(lo.Ternary(m.CPUMilli > 0, m.CPUMilli, usualCPU)),
			weight: rendezvous.Weight(poolHash, m.Name),
		}
	})
	slices.SortFunc(claims, func(a, b claim) int {
		if a.held != b.held {
			return lo.Ternary(a.held, -1, 1)
		}
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	return lo.Map(claims, func(c claim, _ int) string { return c.name })
}

func (p Pool) lastHeldBy(m Member) bool {
	return m.Name == p.LastOwner && m.Incarnation == p.LastIncarnation
}
