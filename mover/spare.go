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

// price returns the cost of a move that takes effect after the given delay, in host-seconds of shortage.
func (w weights) price(delay time.Duration) float64 {
	return w.moves*movePriceHostSeconds + w.rollOut*delay.Seconds()
}

// spareTarget returns the number of hosts out of n that the spare pool holds when no pool is short. A host too few
// costs roll-out time, since another pool's host must drain; one too many costs buffer. The optimum is the first cost's
// share of both (the critical ratio of the newsvendor problem), assuming a uniform distribution of the demand from none
// to all.
func (w weights) spareTarget(n int) int {
	if w.rollOut+w.buffer == 0 {
		return n
	}
	return int(math.Round(float64(n) * w.rollOut / (w.rollOut + w.buffer)))
}

// calmBeforeReturn returns how long a pool must be calm before it returns a host.
func (w weights) calmBeforeReturn() time.Duration {
	return time.Duration((1 + w.moves) / 2 * float64(baseCalmBeforeReturn))
}

// rebalanceSpare moves one host at a time towards the spare pool's target, so that the pools stay stable meanwhile.
func (s *planner) rebalanceSpare() {
	if s.hasInboundMoves() || s.sparePool == "" {
		return
	}
	have := s.budgets.InService(s.sparePool)
	target := s.weights.spareTarget(s.configured[s.sparePool])
	switch {
	case have < target:
		s.returnToSpare(have, target)
	case have > target:
		s.lendExcess(have, target)
	}
}

// returnToSpare returns a host to the spare pool from the pool that has been calm the longest.
func (s *planner) returnToSpare(have, target int) {
	for _, pool := range s.poolsByCalm() {
		load := s.in.Demand[pool]
		if load.CalmFor < s.weights.calmBeforeReturn() || load.shareWithout(1) > maxCalmShare || s.surplus(pool) <= 0 {
			continue
		}
		if s.move(pool, s.sparePool, fmt.Sprintf("calm for %s; the spare pool has %d of %d hosts", load.CalmFor.Round(time.Second), have, target)) {
			return
		}
	}
}

// lendExcess moves a host that the spare pool holds beyond its target to a pool that has been short before, where it
// serves instead of idling.
func (s *planner) lendExcess(have, target int) {
	pool := ""
	for name, load := range s.in.Demand {
		if name == s.sparePool || load.BurstLength == 0 {
			continue
		}
		if pool == "" || s.isBetterBorrower(name, load, pool) {
			pool = name
		}
	}
	if pool != "" {
		s.move(s.sparePool, pool, fmt.Sprintf("the spare pool has %d hosts and its target is %d", have, target))
	}
}

// isBetterBorrower compares pools first by their surplus of hosts, the lowest first, to spread loans evenly, then
// by the share of slots needed, the highest first.
func (s *planner) isBetterBorrower(name string, load PoolLoad, than string) bool {
	if a, b := s.surplus(name), s.surplus(than); a != b {
		return a < b
	}
	if a, b := load.shareWithout(0), s.in.Demand[than].shareWithout(0); a != b {
		return a > b
	}
	return name < than
}

// poolsByCalm returns the pools with demand except the spare pool, the one that has been calm the longest first.
func (s *planner) poolsByCalm() []string {
	out := make([]string, 0, len(s.in.Demand))
	for pool := range s.in.Demand {
		if pool != s.sparePool {
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

// surplus returns the number of movable hosts that a pool has beyond its configured ones; negative if it has fewer.
func (s *planner) surplus(pool string) int {
	return len(s.hosts[pool]) - s.configured[pool]
}

func (s *planner) hasInboundMoves() bool {
	for _, n := range s.inbound {
		if n > 0 {
			return true
		}
	}
	return false
}
