package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simHosts = 12
	simSlots = 8
	simTime  = 2 * time.Minute
	meanRun  = 400 * time.Millisecond
	// failFast is the run time of a host that fails everything.
	failFast = 2 * time.Millisecond
	// simLoad is the share of the healthy hosts' slots that the demand needs.
	simLoad = 0.6
)

// running is a request that runs on a host; runningHeap orders them by end.
type running struct {
	end time.Time
	obs Observation
}

type runningHeap []running

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *runningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// scenario describes the faults in a pool.
type scenario struct {
	failing     int           // number of hosts that fail all requests
	from        time.Duration // when they begin to fail
	poisonShare float64       // share of requests that fail on any host
}

// chooser is a routing algorithm under comparison.
type chooser interface {
	Pick(now time.Time, request Request, candidates []Candidate) (string, bool)
	Observe(now time.Time, o Observation)
}

// leastConnections is the baseline router: it picks the host with the most free slots.
type leastConnections struct{ random *rand.Rand }

func (n leastConnections) Observe(time.Time, Observation) {}

func (n leastConnections) Pick(_ time.Time, _ Request, candidates []Candidate) (string, bool) {
	best := -1
	for _, i := range n.random.Perm(len(candidates)) {
		if candidates[i].Free > 0 && (best < 0 || candidates[i].Free > candidates[best].Free) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return candidates[best].Host, true
}

// counts holds numbers of requests. feasible and succeeded cover only the requests that could have succeeded.
type counts struct {
	feasible, succeeded int
	byFailing           int // requests of any kind sent to failing hosts
}

func (t counts) goodput() float64 { return float64(t.succeeded) / float64(t.feasible) }

// simulate runs a pool in virtual time. A request that finds no free slot is dropped.
func simulate(s scenario, c chooser, seed uint64) counts {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	candidates := make([]Candidate, simHosts)
	index := map[string]int{}
	for i := range candidates {
		candidates[i] = Candidate{Host: fmt.Sprint("w", i), Slots: simSlots, Free: simSlots}
		index[candidates[i].Host] = i
	}
	gap := meanRun.Seconds() / (simLoad * simSlots * float64(simHosts-s.failing))
	var active runningHeap
	var t counts
	now := start
	for now.Before(start.Add(simTime)) {
		now = now.Add(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
		for len(active) > 0 && active[0].end.Before(now) {
			ended := heap.Pop(&active).(running)
			candidates[index[ended.obs.Host]].Free++
			c.Observe(ended.end, ended.obs)
		}
		poison := random.Float64() < s.poisonShare
		digest := random.Uint64()
		if poison {
			digest = uint64(random.IntN(20)) // callers repeat poison jobs
		}
		run := time.Duration(meanRun.Seconds() * math.Exp(0.5*random.NormFloat64()-0.125) * float64(time.Second))
		if !poison {
			t.feasible++
		}
		host, ok := c.Pick(now, Request{Service: "s", ExpectedRun: meanRun, JobDigest: digest, Idempotent: true}, candidates)
		if !ok {
			continue
		}
		i := index[host]
		candidates[i].Free--
		result := Succeeded
		if failing := i < s.failing && now.Sub(start) >= s.from; failing {
			result, run = Failed, failFast
			t.byFailing++
		} else if poison {
			result = Failed
		} else {
			t.succeeded++
		}
		obs := Observation{Host: host, Service: "s", JobDigest: digest, Result: result, RunTime: run}
		heap.Push(&active, running{end: now.Add(run), obs: obs})
	}
	return t
}

// TestGoodputWithFailingHosts compares the Router with the baseline router. A failing host may only get the requests
// until it is detected, those in flight at that time, and its probes. It is detected within recentOutcomes, since at
// most simSlots of these outcomes, which is half of them, are successes of requests that began before it failed.
func TestGoodputWithFailingHosts(t *testing.T) {
	probes := 0
	for wait := DefaultProbeAfter; wait < simTime; wait = 2*wait + DefaultProbeAfter {
		probes++
	}
	allowed := recentOutcomes + simSlots + probes
	for name, s := range map[string]scenario{
		"one from the start":           {failing: 1},
		"one later":                    {failing: 1, from: 30 * time.Second},
		"three later":                  {failing: 3, from: 30 * time.Second},
		"one and poison jobs":          {failing: 1, from: 30 * time.Second, poisonShare: 0.1},
		"no failing, poison jobs":      {poisonShare: 0.1},
		"no failing, many poison jobs": {poisonShare: 0.6},
	} {
		for seed := range uint64(3) {
			baseline := simulate(s, leastConnections{rand.New(rand.NewPCG(seed, 2))}, seed)
			router := New(Options{}, rand.New(rand.NewPCG(seed, 2)))
			ours := simulate(s, router, seed)
			t.Logf("%s, seed %d: goodput %.4f, baseline %.4f; requests at failing hosts %d, baseline %d",
				name, seed, ours.goodput(), baseline.goodput(), ours.byFailing, baseline.byFailing)
			assert.Assert(t, ours.byFailing <= s.failing*allowed, "%s, seed %d: %d", name, seed, ours.byFailing)
			assert.Assert(t, s.failing == 0 || baseline.byFailing > s.failing*allowed, "%s: the baseline router passes", name)
			assert.Assert(t, ours.succeeded >= baseline.succeeded, "%s, seed %d", name, seed)
			for _, h := range router.Health() {
				assert.Equal(t, h.GetEjected(), isFailing(s, h.GetHost()), "%s, seed %d: %s", name, seed, h.GetHost())
			}
		}
	}
}

func isFailing(s scenario, host string) bool {
	for i := range s.failing {
		if host == fmt.Sprint("w", i) {
			return true
		}
	}
	return false
}
