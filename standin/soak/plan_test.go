package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
)

// TestRateLeavesOtherDraws sets the rate of plans, which changes nothing else.
func TestRateLeavesOtherDraws(t *testing.T) {
	for _, mode := range []Mode{Jobs, Requests, Cuts, Takeovers, Refusals} {
		chosen := Draw(mode, 3, Sizes{Faults: 12 * time.Second})
		set := Draw(mode, 3, Sizes{Faults: 12 * time.Second, Rate: 28.7})
		assert.Equal(t, set.Rate, 28.7)
		set.Rate = chosen.Rate
		assert.DeepEqual(t, set, chosen)
	}
}

// TestSomeHostsAreRefusedAtOnce checks that a series refuses different hosts at once, but never all.
func TestSomeHostsAreRefusedAtOnce(t *testing.T) {
	most := 0
	for seed := range uint64(40) {
		d := &planner{Plan: &Plan{Mode: Refusals, Hosts: 4, Pools: []int{3}}, random: rand.New(rand.NewPCG(seed, 7))} //nolint:gosec // repeatable
		d.refuseHosts()
		refusals := lo.Filter(d.Steps, func(s Step, _ int) bool { return s.Detail == refusal })
		assert.Assert(t, len(refusals) > 0)
		for _, s := range refusals {
			together := lo.Filter(refusals, func(o Step, _ int) bool { return s.At < o.At+o.For && o.At < s.At+s.For })
			hosts := lo.Uniq(lo.Map(together, func(o Step, _ int) int { return o.Host }))
			assert.Assert(t, len(hosts) == len(together) && len(hosts) < d.Hosts, "%v", together)
			most = max(most, len(hosts))
		}
	}
	assert.Equal(t, most, 2)
}
