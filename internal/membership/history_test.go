package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// faultRuns is the number of random sequences of faults, one per seed.
const faultRuns = 30

// TestPoolsAreOwnedAfterRandomFaults injects random faults. While they last, no two hosts may hold a pool with the same
// fencing token; afterwards each pool must have one confirmed owner.
func TestPoolsAreOwnedAfterRandomFaults(t *testing.T) {
	for seed := range uint64(faultRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	kv := memtxn.New()
	hosts, peers := startFleet(t, kv, 5)
	defer func() { stopAll(hosts) }()
	time.Sleep(settleTime)
	for range 6 {
		kv.SetFaults(randomFaults(random))
		switch random.IntN(6) {
		case 0:
			i := random.IntN(len(hosts))
			hosts[i].stop()
			hosts[i] = startHost(t, kv.Client(hosts[i].name), hosts[i].name, Options{AskPeer: askDirectly(peers)})
			peers.Store(hosts[i].name, hosts[i])
		case 1:
			kv.RevokeAll()
		case 2:
			kv.Compact()
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			checkUniqueFences(t, hosts)
		}
	}
	kv.SetFaults(memtxn.Faults{})
	time.Sleep(8 * time.Second)
	checkAllOwned(t, kv, hosts)
}

// checkUniqueFences checks that no two hosts hold a pool with the same fencing token.
func checkUniqueFences(t *testing.T, hosts []*host) {
	t.Helper()
	holders := make(map[string]string)
	for _, h := range hosts {
		for pool, fence := range h.holds() {
			key := fmt.Sprint(pool, fence)
			assert.Assert(t, holders[key] == "", "%s and %s hold %s with fence %d", holders[key], h.name, pool, fence)
			holders[key] = h.name
		}
	}
}

func randomFaults(random *rand.Rand) memtxn.Faults {
	f := memtxn.Faults{Delay: time.Duration(random.IntN(20)) * time.Millisecond, StaleBy: 2 * time.Second, OmitAbsent: random.IntN(2) == 0}
	switch random.IntN(6) {
	case 0:
		f.Down, f.PauseLeases = true, random.IntN(2) == 0
	case 1:
		f.Cut = map[string]bool{"h0": true, "h1": random.IntN(2) == 0}
	case 2:
		f.StallWatches = true
	case 3:
		f.Delay = time.Duration(random.IntN(3000)) * time.Millisecond
	case 4:
		f.LateBy = time.Duration(random.IntN(4000)) * time.Millisecond
		outcomes := []memtxn.Outcome{
			memtxn.Serve, memtxn.Serve, memtxn.Refuse, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang,
		}
		random := rand.New(rand.NewPCG(random.Uint64(), 2)) // used under the store's lock
		f.Plan = func(string, memtxn.Call) memtxn.Outcome { return outcomes[random.IntN(len(outcomes))] }
	}
	return f
}
