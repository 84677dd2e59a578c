// Package ownership decides which entry host takes a pool without an owner, and whether an owner may still act.
//
// Every host computes the same result from the same View: a free pool goes to its last owner if that process is still
// running and not leaving, else to the host that would own the fewest pools relative to its processor, with rendezvous hashing as the tie-breaker.
// Hosts lower in a pool's ranking wait longer before they take it, so that the pool doesn't stay free if a higher one
// is alive but cannot act. Safety doesn't depend on the ranking: the store lets only one host take the key, and the
// revision of that write is the fencing token.
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
	// Leaving members take no pools.
	Leaving bool
	// CPUMilli is the processor time available to the member, in thousandths of a core; 0 means unknown.
	CPUMilli int64
}

// Pool is a pool that must have an owner.
type Pool struct {
	Name string
	// Owner is the name of the member that owns the pool, or "" if it is free.
	Owner string
	// LastOwner and LastIncarnation identify the owner before the pool became free, if known.
	LastOwner, LastIncarnation string
	// FreeSince is when the pool was first seen to be free.
	FreeSince time.Time
}

// View is the state of members and pools as known to one host.
type View struct {
	Members []Member
	Pools   []Pool
	// Settled is when the deciding member has waited long enough for others to register. Before that it only takes
	// pools that it owned last.
	Settled time.Time
}

// Takeover is the planned takeover of a free pool by a host. It is void if another host takes the pool first.
type Takeover struct {
	Pool string
	// Rank is the position of the host in the pool's ranking; the host with rank 0 takes the pool without a delay.
	Rank int
	At   time.Time
}

// Takeovers returns the planned takeovers of the member named self for the free pools, sorted by pool. A member that is
// leaving or not in the view has none. Each rank delays the takeover by one more step.
func Takeovers(v View, self string, step time.Duration) []Takeover {
	eligible := lo.Filter(v.Members, func(m Member, _ int) bool { return !m.Leaving })
	if !lo.ContainsBy(eligible, func(m Member) bool { return m.Name == self }) {
		return nil
	}
	owned := lo.CountValuesBy(v.Pools, func(p Pool) string { return p.Owner })
	pools := slices.Clone(v.Pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	var takeovers []Takeover
	for _, p := range pools {
		if p.Owner != "" {
			continue
		}
		ranking := Ranking(p, eligible, owned)
		owned[ranking[0]]++
		rank := slices.Index(ranking, self)
		from := p.FreeSince
		wasOwner := lo.ContainsBy(eligible, func(m Member) bool { return m.Name == self && p.lastOwnedBy(m) })
		if v.Settled.After(from) && !wasOwner {
			from = v.Settled
		}
		takeovers = append(takeovers, Takeover{Pool: p.Name, Rank: rank, At: from.Add(time.Duration(rank) * step)})
	}
	return takeovers
}

// defaultCPUMilli is assumed for members with unknown CPUMilli.
const defaultCPUMilli = 1000

// Ranking returns the names of members in order of preference for the pool: its last owner first, then the members that
// would own the fewest pools relative to their processor.
func Ranking(p Pool, members []Member, owned map[string]int) []string {
	type candidate struct {
		name     string
		wasOwner bool
		// load is the number of pools per thousandth of a core that the member would own.
		load   float64
		weight uint64
	}
	poolHash := rendezvous.Hash(p.Name)
	candidates := lo.Map(members, func(m Member, _ int) candidate {
		return candidate{
			name:     m.Name,
			wasOwner: p.lastOwnedBy(m),
			load:     float64(owned[m.Name]+1) / float64(lo.Ternary(m.CPUMilli > 0, m.CPUMilli, defaultCPUMilli)),
			weight:   rendezvous.Weight(poolHash, m.Name),
		}
	})
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.wasOwner != b.wasOwner {
			return lo.Ternary(a.wasOwner, -1, 1)
		}
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	return lo.Map(candidates, func(c candidate, _ int) string { return c.name })
}

func (p Pool) lastOwnedBy(m Member) bool {
	return m.Name == p.LastOwner && m.Incarnation == p.LastIncarnation
}
