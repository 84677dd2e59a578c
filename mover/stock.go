package mover

import (
	"fmt"
	"math"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// weights are scaled so that their mean is 1: only their ratios matter.
type weights struct {
	moves   float64
	rollOut float64
	buffer  float64
}

func newWeights(w *pb.Weights) weights {
	sum := w.GetMoves() + w.GetRollOut() + w.GetBuffer()
	if sum <= 0 {
		return weights{moves: 1, rollOut: 1, buffer: 1}
	}
	scale := 3 / sum
	return weights{moves: w.GetMoves() * scale, rollOut: w.GetRollOut() * scale, buffer: w.GetBuffer() * scale}
}

// price is what a move that takes effect after a while costs, in host-seconds of shortage.
func (w weights) price(effect time.Duration) float64 {
	return w.moves*moveHostSeconds + w.rollOut*effect.Seconds()
}

// stock is the number of hosts out of n that the spare pool holds when all is calm. A host too few costs roll-out time,
// since another pool's host must drain; one too many costs buffer. The best stock is the share of the first cost in both
// (the critical ratio of the newsvendor problem), with every demand from none to all taken as equally likely.
func (w weights) stock(n int) int {
	if w.rollOut+w.buffer == 0 {
		return n
	}
	return int(math.Round(float64(n) * w.rollOut / (w.rollOut + w.buffer)))
}

// returnAfter is how long a pool must be calm before it gives a host back.
func (w weights) returnAfter() time.Duration {
	return time.Duration((1 + w.moves) / 2 * float64(calmBeforeReturn))
}

// restock moves one host towards the spare pool's target stock, which keeps the pools steady while it is at work.
func (s *stepper) restock() {
	if s.inFlight() || s.spare == "" {
		return
	}
	have := s.budgets.InService(s.spare)
	target := s.weights.stock(s.configured[s.spare])
	switch {
	case have < target:
		s.giveBack(have, target)
	case have > target:
		s.lendAhead(have, target)
	}
}

// giveBack returns a host to the spare pool from the pool that has been calm for longest.
func (s *stepper) giveBack(have, target int) {
	for _, pool := range s.calmest() {
		load := s.in.Demand[pool]
		if load.CalmFor < s.weights.returnAfter() || load.share(1) > calmShare || s.surplus(pool) <= 0 {
			continue
		}
		if s.move(pool, s.spare, fmt.Sprintf("calm for %s; the spare pool has %d of %d hosts", load.CalmFor.Round(time.Second), have, target)) {
			return
		}
	}
}

// lendAhead moves a host that the spare pool holds beyond its target to a pool that has been short before, where it serves
// instead of idling.
func (s *stepper) lendAhead(have, target int) {
	pool := ""
	for name, load := range s.in.Demand {
		if name == s.spare || load.BurstLength == 0 {
			continue
		}
		if pool == "" || s.fuller(name, load, pool) {
			pool = name
		}
	}
	if pool != "" {
		s.move(s.spare, pool, fmt.Sprintf("the spare pool has %d hosts and holds %d back", have, target))
	}
}

// fuller compares by the hosts that a pool has beyond its own, so that loans spread, then by the share of slots in use.
func (s *stepper) fuller(name string, load PoolLoad, than string) bool {
	if a, b := s.surplus(name), s.surplus(than); a != b {
		return a < b
	}
	if a, b := load.share(0), s.in.Demand[than].share(0); a != b {
		return a > b
	}
	return name < than
}

func (s *stepper) calmest() []string {
	out := make([]string, 0, len(s.in.Demand))
	for pool := range s.in.Demand {
		if pool != s.spare {
			out = append(out, pool)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := s.in.Demand[out[i]].CalmFor, s.in.Demand[out[j]].CalmFor
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// surplus is the number of working hosts that a pool has beyond its configured ones; below 0 if it has fewer.
func (s *stepper) surplus(pool string) int {
	return len(s.hosts[pool]) - s.configured[pool]
}

func (s *stepper) inFlight() bool {
	for _, n := range s.inbound {
		if n > 0 {
			return true
		}
	}
	return false
}
