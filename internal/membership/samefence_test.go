package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against two terms with one fencing token, whose runs would have the same numbers: a pool is dropped from the configuration and
// returns to it while its owner cannot delete the key.
func TestPoolThatReturnsToTheConfigurationHasANewFence(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		const pool = "b"
		old := ownerOf(t, hosts, pool).holds()[pool]
		kv.SetFaults(memtxn.Faults{Plan: func(_ string, call memtxn.Call) memtxn.Outcome {
			if call == memtxn.CallCommit {
				return memtxn.Refuse
			}
			return memtxn.Serve
		}})
		without := slices.DeleteFunc(slices.Clone(pools), func(p string) bool { return p == pool })
		for _, configured := range [][]string{without, pools} {
			for _, h := range hosts {
				h.SetPools(configured)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, h := range hosts {
				_, held := h.holds()[pool]
				assert.Assert(t, !held, "%s holds the pool with fence %d", h.name, h.holds()[pool])
			}
		}
		kv.SetFaults(memtxn.Faults{})
		waitFor(t, 2*time.Second, "new fence", higherFence(hosts, pool, old))
		checkAllOwned(t, kv, hosts)
	})
}
