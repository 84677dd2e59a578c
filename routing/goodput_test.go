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
	// simLoad is the share of the sound hosts' slots that the demand needs.
	simLoad = 0.6
)

// running is a request at a host, in order of its end.
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

// scenario is what goes wrong in a pool.
type scenario struct {
	failing     int           // so many hosts fail everything
	from        time.Duration // since then
	hopelessJob float64       // share of requests that fail wherever they run
}

// chooser is what is compared.
type chooser interface {
	Pick(now time.Time, request Request, candidates []Candidate) (string, bool)
	Observe(now time.Time, o Observation)
}

// leastConnections is the naive router.
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

// tally is what became of the requests that could have succeeded.
type tally struct {
	asked, good int
	byFailing   int // requests of any kind that failing hosts were given
}

func (t tally) goodput() float64 { return float64(t.good) / float64(t.asked) }

// simulate runs a pool in virtual time. A request that finds no slot is lost.
func simulate(s scenario, c chooser, seed uint64) tally {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	candidates := make([]Candidate, simHosts)
	index := map[string]int{}
	for i := range candidates {
		candidates[i] = Candidate{Host: fmt.Sprint("w", i), Slots: simSlots, Free: simSlots}
		index[candidates[i].Host] = i
	}
	gap := meanRun.Seconds() / (simLoad * simSlots * float64(simHosts-s.failing))
	var atHosts runningHeap
	var t tally
	now := start
	for now.Before(start.Add(simTime)) {
		now = now.Add(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
		for len(atHosts) > 0 && atHosts[0].end.Before(now) {
			ended := heap.Pop(&atHosts).(running)
			candidates[index[ended.obs.Host]].Free++
			c.Observe(ended.end, ended.obs)
		}
		hopeless := random.Float64() < s.hopelessJob
		digest := random.Uint64()
		if hopeless {
			digest = uint64(random.IntN(20)) // callers repeat these
		}
		run := time.Duration(meanRun.Seconds() * math.Exp(0.5*random.NormFloat64()-0.125) * float64(time.Second))
		if !hopeless {
			t.asked++
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
		} else if hopeless {
			result = Failed
		} else {
			t.good++
		}
		obs := Observation{Host: host, Service: "s", JobDigest: digest, Result: result, RunTime: run}
		heap.Push(&atHosts, running{end: now.Add(run), obs: obs})
	}
	return t
}

// TestGoodputWithFailingHosts compares with the naive router. A failing host may take what detects it, what is under
// way then, and its probes; each scenario allows nothing more. It is detected within recentOutcomes, since at most
// simSlots of them, half, are successes of requests that began before it failed.
func TestGoodputWithFailingHosts(t *testing.T) {
	probes := 0
	for wait := DefaultProbeAfter; wait < simTime; wait = 2*wait + DefaultProbeAfter {
		probes++
	}
	allowed := recentOutcomes + simSlots + probes
	for name, s := range map[string]scenario{
		"one from the start":            {failing: 1},
		"one later":                     {failing: 1, from: 30 * time.Second},
		"three later":                   {failing: 3, from: 30 * time.Second},
		"one and hopeless jobs":         {failing: 1, from: 30 * time.Second, hopelessJob: 0.1},
		"no failing, hopeless jobs":     {hopelessJob: 0.1},
		"no failing, many are hopeless": {hopelessJob: 0.6},
	} {
		for seed := range uint64(3) {
			naive := simulate(s, leastConnections{rand.New(rand.NewPCG(seed, 2))}, seed)
			router := New(Options{}, rand.New(rand.NewPCG(seed, 2)))
			ours := simulate(s, router, seed)
			t.Logf("%s, seed %d: goodput %.4f, naive %.4f; requests at failing hosts %d, naive %d",
				name, seed, ours.goodput(), naive.goodput(), ours.byFailing, naive.byFailing)
			assert.Assert(t, ours.byFailing <= s.failing*allowed, "%s, seed %d: %d", name, seed, ours.byFailing)
			assert.Assert(t, s.failing == 0 || naive.byFailing > s.failing*allowed, "%s: the naive router passes", name)
			assert.Assert(t, ours.good >= naive.good, "%s, seed %d", name, seed)
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
