package mover

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// movePriceHostSeconds is the price of one move at equal weights, in host-seconds of shortage.
	movePriceHostSeconds = 100
	// longBurstFactor is the multiple of the usual length from which a burst is expected to last as long again.
	longBurstFactor = 1.25
	// baseCalmBeforeReturn is how long a pool must be calm at equal weights before it returns a host.
	baseCalmBeforeReturn = 2 * time.Minute
	// minCalmBeforeLend is how long a pool must be calm before it lends one of its own hosts.
	minCalmBeforeLend = 30 * time.Second
)

// Move is an order to move a host.
type Move struct {
	Host   string
	From   string
	To     string
	Reason string
}

// Input is the input of Step. Step does not modify it.
type Input struct {
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Demand is the load of each pool; a pool that is absent neither gets nor gives hosts, except for the spare pool.
	Demand map[string]PoolLoad
	// Failed are hosts known to have failed.
	Failed map[string]bool
	// Requests is the number of requests running on each host; an absent host counts as idle.
	Requests map[string]int64
	// DrainTime is the estimated time that a host of each pool takes to drain.
	DrainTime map[string]time.Duration
	// RollOut is the estimated time until a change is in force everywhere, without drains.
	RollOut time.Duration
}

// Step decides which hosts move now. A host that an operator moved recently stays where it is. The same input gives the
// same moves.
//
// Pools that are short of hosts come first: a host moves once waiting has cost as much as the move, unless the burst is
// expected to end before the host arrives. Then hosts move between the spare pool and calm pools until the spare pool
// reaches its target.
func Step(now time.Time, in Input) []Move {
	s := newPlanner(now, in)
	for _, pool := range s.shortPools() {
		s.addHosts(pool)
	}
	if len(s.moves) == 0 && len(s.shortPools()) == 0 {
		s.rebalanceSpare()
	}
	return s.moves
}

type planner struct {
	in        Input
	weights   weights
	sparePool string
	// homePool is the configured pool of each host.
	homePool map[string]string
	// configured counts the hosts by the pool that they are configured in.
	configured map[string]int
	budgets    *fleet.Budgets
	// hosts are the movable hosts by pool, in the order in which they move.
	hosts map[string][]string
	// inbound counts by pool the hosts that are moving to it.
	inbound map[string]int
	moves   []Move
}

func newPlanner(now time.Time, in Input) *planner {
	s := &planner{
		in:         in,
		weights:    newWeights(in.Config.GetWeights()),
		sparePool:  in.Config.GetDeployment().GetSparePool(),
		homePool:   make(map[string]string, len(in.Config.GetHosts())),
		configured: map[string]int{},
		budgets:    fleet.NewBudgets(in.Fleet, in.Config, in.Failed),
		hosts:      map[string][]string{},
		inbound:    map[string]int{},
	}
	for _, h := range in.Config.GetHosts() {
		s.homePool[h.Name] = h.Pool
		s.configured[h.Pool]++
	}
	for _, h := range in.Fleet.GetHosts() {
		if h.Phase == pb.HostPhase_HOST_PHASE_DRAINING && h.Purpose == pb.HostPurpose_HOST_PURPOSE_MOVE {
			s.inbound[h.TargetPool]++
		}
		if h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE && !in.Failed[h.Host] && h.HeldUntilUnixMs <= now.UnixMilli() {
			s.hosts[h.Pool] = append(s.hosts[h.Pool], h.Host)
		}
	}
	for pool := range s.hosts {
		s.sortHosts(pool)
	}
	return s
}

// sortHosts sorts the hosts of a pool: idle ones first, which need no drain, then those whose home is the spare pool,
// then those with the fewest requests.
func (s *planner) sortHosts(pool string) {
	hosts := s.hosts[pool]
	sort.Slice(hosts, func(i, j int) bool {
		a, b := hosts[i], hosts[j]
		if idleA, idleB := s.in.Requests[a] == 0, s.in.Requests[b] == 0; idleA != idleB {
			return idleA
		}
		if lentA, lentB := s.homePool[a] == s.sparePool, s.homePool[b] == s.sparePool; lentA != lentB {
			return lentA
		}
		if s.in.Requests[a] != s.in.Requests[b] {
			return s.in.Requests[a] < s.in.Requests[b]
		}
		return a < b
	})
}

// shortPools lists the pools that are short of hosts, the highest cost of waiting first.
func (s *planner) shortPools() []string {
	var out []string
	for pool, load := range s.in.Demand {
		if pool != s.sparePool && load.OverloadedFor > 0 && load.Shortage() > 0 {
			out = append(out, pool)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := s.in.Demand[out[i]], s.in.Demand[out[j]]
		if a.Waited != b.Waited {
			return a.Waited > b.Waited
		}
		return out[i] < out[j]
	})
	return out
}

// addHosts moves hosts to a pool that is short. The cost of waiting must cover the price of all inbound hosts and of
// the next one.
func (s *planner) addHosts(pool string) {
	load := s.in.Demand[pool]
	needed := int(math.Ceil(load.Shortage()))
	for s.inbound[pool] < needed {
		donor, delay, ok := s.findDonor(pool)
		if !ok {
			return
		}
		price := s.weights.price(delay) * float64(s.inbound[pool]+1)
		if load.Waited < price || load.remainingBurst() <= delay {
			return
		}
		reason := fmt.Sprintf("waiting has cost %.0f host-seconds and the move costs %.0f; the burst is expected to last %s more",
			load.Waited, price, load.remainingBurst().Round(time.Second))
		if !s.move(donor, pool, reason) {
			return
		}
	}
}

// remainingBurst returns how much longer the burst is expected to last: the rest of the usual length, or as long again
// as it has lasted if it is clearly longer than usual. A burst of about the usual length is about to end: 0 or less.
func (l PoolLoad) remainingBurst() time.Duration {
	if l.OverloadedFor.Seconds() < longBurstFactor*l.BurstLength.Seconds() {
		return l.BurstLength - l.OverloadedFor
	}
	return l.OverloadedFor
}

// findDonor picks the pool that gives a host: the spare pool, or else the calm pool that would need the smallest share
// of its slots without the host. delay is the time until the host serves the pool that is short.
func (s *planner) findDonor(to string) (pool string, delay time.Duration, ok bool) {
	if s.firstMovable(s.sparePool) != "" {
		return s.sparePool, s.timeToEffect(s.sparePool), true
	}
	best := math.Inf(1)
	for name, load := range s.in.Demand {
		if name == to || name == s.sparePool || load.CalmFor < minCalmBeforeLend || s.inbound[name] > 0 {
			continue
		}
		share := load.shareWithout(1 + s.donated(name))
		if share > maxCalmShare || s.firstMovable(name) == "" {
			continue
		}
		if share < best || (share == best && name < pool) {
			pool = name
			best = share
		}
	}
	return pool, s.timeToEffect(pool), pool != ""
}

// timeToEffect returns how long a host of a pool takes until it serves another pool.
func (s *planner) timeToEffect(pool string) time.Duration {
	return s.in.DrainTime[pool] + s.in.RollOut
}

// firstMovable returns the first host of a pool that may move, or "".
func (s *planner) firstMovable(pool string) string {
	for _, host := range s.hosts[pool] {
		if s.budgets.MayMove(host) == nil {
			return host
		}
	}
	return ""
}

// donated counts the hosts that a pool has given in this step.
func (s *planner) donated(pool string) int64 {
	var n int64
	for _, m := range s.moves {
		if m.From == pool {
			n++
		}
	}
	return n
}

func (s *planner) move(from, to, reason string) bool {
	host := s.firstMovable(from)
	if host == "" {
		return false
	}
	s.budgets.Take(host)
	remaining := make([]string, 0, len(s.hosts[from]))
	for _, h := range s.hosts[from] {
		if h != host {
			remaining = append(remaining, h)
		}
	}
	s.hosts[from] = remaining
	s.inbound[to]++
	s.moves = append(s.moves, Move{Host: host, From: from, To: to, Reason: reason})
	return true
}
