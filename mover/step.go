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
	// moveHostSeconds is the shortage that one move is worth at equal weights, in host-seconds.
	moveHostSeconds = 100
	// unusuallyLong is the multiple of the usual length from which a burst follows another rule.
	unusuallyLong = 1.25
	// calmBeforeReturn is how long a pool must be calm at equal weights before it gives a host back.
	calmBeforeReturn = 2 * time.Minute
	// calmBeforeLend is how long a pool must be calm before it lends a host of its own.
	calmBeforeLend = 30 * time.Second
)

// Move is an order to move a host.
type Move struct {
	Host   string
	From   string
	To     string
	Reason string
}

// Input is what Step decides on. It is not changed.
type Input struct {
	Fleet  *pb.Fleet
	Config *pb.Configuration
	// Demand is the load of each pool; a pool that is absent neither gets nor gives hosts, the spare pool excepted.
	Demand map[string]PoolLoad
	// Failed are hosts known not to work.
	Failed map[string]bool
	// Requests is what runs on hosts; an absent host counts as idle.
	Requests map[string]int64
	// DrainTime estimates for each pool how long a host takes to drain.
	DrainTime map[string]time.Duration
	// RollOut estimates how long a change takes to be in force everywhere, drains aside.
	RollOut time.Duration
}

// Step decides which hosts move now. A host that an operator moved lately stays where it is. The same input gives the same moves. First come pools that are short: a host comes
// once the waiting has cost as much as the move, unless the burst is expected to be over before the host is there. Then
// the stock of the spare pool is brought to its target, out of and into pools that are calm.
func Step(now time.Time, in Input) []Move {
	s := newStepper(now, in)
	for _, pool := range s.short() {
		s.relieve(pool)
	}
	if len(s.moves) == 0 && len(s.short()) == 0 {
		s.restock()
	}
	return s.moves
}

type stepper struct {
	in      Input
	weights weights
	spare   string
	home    map[string]string
	// configured counts the hosts by the pool that they are configured in.
	configured map[string]int
	budgets    *fleet.Budgets
	// hosts are the movable hosts by pool, in the order in which they go.
	hosts   map[string][]string
	inbound map[string]int
	moves   []Move
}

func newStepper(now time.Time, in Input) *stepper {
	s := &stepper{
		in:         in,
		weights:    newWeights(in.Config.GetWeights()),
		spare:      in.Config.GetDeployment().GetSparePool(),
		home:       make(map[string]string, len(in.Config.GetHosts())),
		configured: map[string]int{},
		budgets:    fleet.NewBudgets(in.Fleet, in.Config, in.Failed),
		hosts:      map[string][]string{},
		inbound:    map[string]int{},
	}
	for _, h := range in.Config.GetHosts() {
		s.home[h.Name] = h.Pool
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
		s.order(pool)
	}
	return s
}

// order sorts the hosts of a pool: idle ones first, which need no drain, then those whose home is the spare pool, then
// those with the fewest requests.
func (s *stepper) order(pool string) {
	hosts := s.hosts[pool]
	sort.Slice(hosts, func(i, j int) bool {
		a, b := hosts[i], hosts[j]
		if idleA, idleB := s.in.Requests[a] == 0, s.in.Requests[b] == 0; idleA != idleB {
			return idleA
		}
		if lentA, lentB := s.home[a] == s.spare, s.home[b] == s.spare; lentA != lentB {
			return lentA
		}
		if s.in.Requests[a] != s.in.Requests[b] {
			return s.in.Requests[a] < s.in.Requests[b]
		}
		return a < b
	})
}

// short lists the pools that lack hosts, those that have waited most first.
func (s *stepper) short() []string {
	var out []string
	for pool, load := range s.in.Demand {
		if pool != s.spare && load.OverloadedFor > 0 && load.Shortage() > 0 {
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

// relieve moves hosts to a pool that is short. Each further host must have been waited for on its own account.
func (s *stepper) relieve(pool string) {
	load := s.in.Demand[pool]
	lacking := int(math.Ceil(load.Shortage()))
	for s.inbound[pool] < lacking {
		from, effect, ok := s.donor(pool)
		if !ok {
			return
		}
		price := s.weights.price(effect) * float64(s.inbound[pool]+1)
		if load.Waited < price || load.remaining() <= effect {
			return
		}
		reason := fmt.Sprintf("waiting has cost %.0f host-seconds and the move costs %.0f; the burst is expected to last %s more",
			load.Waited, price, load.remaining().Round(time.Second))
		if !s.move(from, pool, reason) {
			return
		}
	}
}

// remaining is how much longer the burst is expected to last: the rest of the usual length, or as long again as it has
// lasted if it is clearly longer than usual. A burst of about the usual length is about to end: 0 or less.
func (l PoolLoad) remaining() time.Duration {
	if l.OverloadedFor.Seconds() < unusuallyLong*l.BurstLength.Seconds() {
		return l.BurstLength - l.OverloadedFor
	}
	return l.OverloadedFor
}

// donor picks the pool that gives a host: the spare pool, or else the calm pool that uses the least of its slots.
func (s *stepper) donor(to string) (pool string, effect time.Duration, ok bool) {
	if s.movable(s.spare) != "" {
		return s.spare, s.effect(s.spare), true
	}
	best := math.Inf(1)
	for name, load := range s.in.Demand {
		if name == to || name == s.spare || load.CalmFor < calmBeforeLend || s.inbound[name] > 0 {
			continue
		}
		share := load.share(1 + s.given(name))
		if share > calmShare || s.movable(name) == "" {
			continue
		}
		if share < best || (share == best && name < pool) {
			pool = name
			best = share
		}
	}
	return pool, s.effect(pool), pool != ""
}

// effect is how long a host of a pool takes until it works for another.
func (s *stepper) effect(pool string) time.Duration {
	return s.in.DrainTime[pool] + s.in.RollOut
}

// movable returns the first host of a pool that may move, or "".
func (s *stepper) movable(pool string) string {
	for _, host := range s.hosts[pool] {
		if s.budgets.MayMove(host) == nil {
			return host
		}
	}
	return ""
}

// given counts the hosts that a pool has given in this step.
func (s *stepper) given(pool string) int64 {
	var n int64
	for _, m := range s.moves {
		if m.From == pool {
			n++
		}
	}
	return n
}

func (s *stepper) move(from, to, reason string) bool {
	host := s.movable(from)
	if host == "" {
		return false
	}
	s.budgets.Take(host)
	rest := make([]string, 0, len(s.hosts[from]))
	for _, h := range s.hosts[from] {
		if h != host {
			rest = append(rest, h)
		}
	}
	s.hosts[from] = rest
	s.inbound[to]++
	s.moves = append(s.moves, Move{Host: host, From: from, To: to, Reason: reason})
	return true
}
