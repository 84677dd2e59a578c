package membership

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store/memtxn"
)

// settleTime is long enough for a fleet to start and acquire its pools.
const settleTime = 2 * time.Second

// fleetTest runs f on a settled fleet of nine hosts in virtual time.
func fleetTest(t *testing.T, f func(t *testing.T, kv *memtxn.Store, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		kv.SetFaults(memtxn.Faults{Delay: 4 * time.Millisecond})
		hosts, _ := startFleet(t, kv, 9)
		defer stopAll(hosts)
		time.Sleep(settleTime)
		checkAllOwned(t, kv, hosts)
		f(t, kv, hosts)
	})
}

// checkAllOwned checks that each pool has one holder whose ownership is confirmed and whose fencing token is that of the
// store's key.
func checkAllOwned(t *testing.T, kv *memtxn.Store, hosts []*host) {
	t.Helper()
	synctest.Wait()
	for _, p := range pools {
		owner := ownerOf(t, hosts, p)
		assert.Assert(t, owner != nil, "%s is free", p)
		fence, ok := owner.Confirmed(p)
		assert.Assert(t, ok, "%s not confirmed", p)
		items := kv.Items(jobkeys.Owner(p))
		assert.Equal(t, len(items), 1)
		assert.Equal(t, items[0].Version, fence)
	}
}

// waitFor waits until the condition holds and returns the elapsed time. It fails the test after limit.
func waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	const step = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += step {
		synctest.Wait()
		if holds() {
			return elapsed
		}
		time.Sleep(step)
	}
	t.Fatalf("%s: not within %s", what, limit)
	return 0
}

func higherFence(hosts []*host, pool string, old uint64) func() bool {
	return func() bool {
		return slices.ContainsFunc(hosts, func(h *host) bool { return h.holds()[pool] > old })
	}
}

func without(hosts []*host, gone *host) []*host {
	var rest []*host
	for _, h := range hosts {
		if h != gone {
			rest = append(rest, h)
		}
	}
	return rest
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		gone.stop()
		elapsed := waitFor(t, 2700*time.Millisecond, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("taken over after %s", elapsed)
		checkAllOwned(t, kv, rest)
	})
}

func TestOwnerProvedGoneIsReplacedAtOnce(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		gone.stop()
		_, fence, _ := rest[0].Owner("a")
		for _, h := range rest {
			h.OwnerGone("a", fence-1)
		}
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, ownerOf(t, rest, "a") == nil, "an older fencing token has no effect")
		rest[0].OwnerGone("a", fence)
		elapsed := waitFor(t, 1200*time.Millisecond, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("taken over after %s when one host knew that the owner was gone", elapsed)
		time.Sleep(3 * time.Second)
		checkAllOwned(t, kv, rest)
	})
}

func TestRestartedOwnerIsReplacedAtOnce(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		gone.stop()
		restarted := startHost(t, kv.Client(gone.name), gone.name, Options{})
		defer restarted.stop()
		rest = append(rest, restarted)
		elapsed := waitFor(t, 600*time.Millisecond, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("taken over after %s", elapsed)
		time.Sleep(3 * time.Second)
		checkAllOwned(t, kv, rest)
	})
}

func TestLeavingOwnerIsReplacedAtOnce(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		handedOver := ""
		assert.NilError(t, gone.Leave(t.Context(), func(pool string) {
			_, held := gone.holds()[pool]
			assert.Assert(t, held, "the owner holds the pool until it is handed over")
			handedOver += pool
		}))
		assert.Equal(t, handedOver, "a")
		assert.Equal(t, len(gone.holds()), 0)
		elapsed := waitFor(t, 50*time.Millisecond, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("taken over %s after Leave", elapsed)
		time.Sleep(50 * time.Millisecond)
		checkAllOwned(t, kv, rest)
		assert.Equal(t, len(rest[0].Members()), len(rest))
	})
}

func TestLeaveWhileTheStoreRejectsThisHost(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		kv.SetFaults(memtxn.Faults{Cut: map[string]bool{gone.name: true}})
		_ = gone.Leave(t.Context(), func(string) {}) // its lease cannot be revoked
		waitFor(t, 50*time.Millisecond, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		checkAllOwned(t, kv, rest)
	})
}

func TestOwnersRegainTheirPoolsAfterLeasesWereRevoked(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		before := make(map[string]*host)
		for _, p := range pools {
			before[p] = ownerOf(t, hosts, p)
		}
		kv.RevokeAll()
		time.Sleep(1500 * time.Millisecond)
		checkAllOwned(t, kv, hosts)
		for _, p := range pools {
			assert.Equal(t, ownerOf(t, hosts, p).name, before[p].name, "pool %s", p)
		}
	})
}

func TestOwnerRecoversFromRemovedKeys(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		owner := ownerOf(t, hosts, "a")
		old, _ := owner.Confirmed("a")
		kv.Remove(jobkeys.Member(owner.name))
		kv.Remove(jobkeys.Owner("a"))
		waitFor(t, time.Second, "new fence", higherFence(hosts, "a", old))
		time.Sleep(time.Second)
		checkAllOwned(t, kv, hosts)
		assert.Equal(t, len(hosts[0].Members()), len(hosts))
	})
}

func TestRejectedFenceIsReplacedByAHigherOne(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		owner := ownerOf(t, hosts, "a")
		old, _ := owner.Confirmed("a")
		owner.Replaced("a", old)
		synctest.Wait()
		_, ok := owner.Confirmed("a")
		assert.Assert(t, !ok)
		waitFor(t, time.Second, "new fence", higherFence(hosts, "a", old))
		checkAllOwned(t, kv, hosts)
	})
}

func TestOwnersKeepPoolsWhileTheStoreIsDown(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		owner := ownerOf(t, hosts, "a")
		callsBefore := kv.Calls()
		kv.SetFaults(memtxn.Faults{Down: true})
		time.Sleep(9 * time.Second)
		_, ok := owner.Confirmed("a")
		assert.Assert(t, ok)
		time.Sleep(11 * time.Second)
		_, ok = owner.Confirmed("a")
		assert.Assert(t, !ok)
		outageCalls := 0
		for i, n := range kv.Calls() {
			outageCalls += n - callsBefore[i]
		}
		t.Logf("%d calls in 20 s of outage from %d hosts", outageCalls, len(hosts))
		assert.Assert(t, outageCalls < len(hosts)*20*6, "%d calls", outageCalls)
		kv.SetFaults(memtxn.Faults{})
		elapsed := waitFor(t, 4*time.Second, "recovery", func() bool {
			for _, p := range pools {
				h := ownerOf(t, hosts, p)
				if h == nil {
					return false
				}
				if _, ok := h.Confirmed(p); !ok {
					return false
				}
			}
			return true
		})
		t.Logf("all pools owned %s after the store recovered", elapsed)
		assert.Equal(t, ownerOf(t, hosts, "a").name, owner.name)
	})
}

func TestCompactedHistoryAndStalledWatches(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		kv.Compact()
		time.Sleep(time.Second)
		kv.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: time.Second})
		gone := ownerOf(t, hosts, "a")
		rest := without(hosts, gone)
		gone.stop()
		elapsed := waitFor(t, 7*time.Second, "takeover", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("taken over after %s with stalled watches", elapsed)
		kv.SetFaults(memtxn.Faults{})
		time.Sleep(12 * time.Second)
		checkAllOwned(t, kv, rest)
	})
}

func TestOwnerRejectedByTheStoreHandsOver(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		partitioned := ownerOf(t, hosts, "a")
		rest := without(hosts, partitioned)
		kv.SetFaults(memtxn.Faults{Cut: map[string]bool{partitioned.name: true}})
		elapsed := waitFor(t, 2400*time.Millisecond, "hand-over", func() bool { return ownerOf(t, rest, "a") != nil })
		t.Logf("handed over after %s", elapsed)
		assert.Equal(t, len(partitioned.holds()), 0)
		rec, _, _ := partitioned.Owner("a")
		assert.Equal(t, rec.GetMember(), ownerOf(t, rest, "a").name, "the partitioned host knows the new owner")
		kv.SetFaults(memtxn.Faults{})
		time.Sleep(5 * time.Second)
		checkAllOwned(t, kv, hosts)
	})
}

func TestOwnerConfirmsItsLeaseAfterASuspension(t *testing.T) {
	for _, refused := range []memtxn.Call{memtxn.CallKeepAlive, memtxn.CallGet} {
		testConfirmationAfterASuspension(t, refused)
	}
}

// testConfirmationAfterASuspension refuses the calls of one kind, each of which a confirmation needs.
func testConfirmationAfterASuspension(t *testing.T, refused memtxn.Call) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		var clockOffset atomic.Int64 // nanoseconds; a jump simulates a suspension
		h := startHostAt(t, kv.Client("h"), "h", Options{}, func() time.Time {
			return time.Now().Add(time.Duration(clockOffset.Load()))
		})
		defer h.stop()
		time.Sleep(settleTime)
		synctest.Wait()
		_, ok := h.Confirmed("a")
		assert.Assert(t, ok)
		kv.SetFaults(memtxn.Faults{Plan: func(_ string, call memtxn.Call) memtxn.Outcome {
			if call == refused {
				return memtxn.Refuse
			}
			return memtxn.Serve
		}})
		clockOffset.Store(int64(2 * time.Second))
		_, ok = h.Confirmed("a")
		assert.Assert(t, !ok, "not confirmed before the suspension is noticed")
		time.Sleep(500 * time.Millisecond)
		_, ok = h.Confirmed("a")
		assert.Assert(t, !ok, "not confirmed while the calls are refused")
		kv.SetFaults(memtxn.Faults{})
		waitFor(t, time.Second, "confirmation", func() bool {
			_, ok := h.Confirmed("a")
			return ok
		})
	})
}

func TestUnconfiguredPoolsAreReleased(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		owner := ownerOf(t, hosts, "a")
		for _, h := range hosts {
			h.SetPools(pools[1:])
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(owner.holds()), 0)
		assert.Equal(t, len(kv.Items(jobkeys.Owner("a"))), 0)
	})
}

func TestRejectedFenceOfARemovedKey(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		owner := ownerOf(t, hosts, "a")
		old, _ := owner.Confirmed("a")
		kv.SetFaults(memtxn.Faults{OmitAbsent: true, StallWatches: true})
		kv.Remove(jobkeys.Owner("a"))
		calls := kv.Calls()[memtxn.CallCommit]
		assert.Assert(t, CannotTake.Has(hosts[0].TakeFrom(t.Context(), "a", old)))
		owner.Replaced("a", old)
		waitFor(t, time.Second, "new fence", higherFence(hosts, "a", old))
		assert.Assert(t, kv.Calls()[memtxn.CallCommit]-calls <= 4)
	})
}

func TestOwnersKeepPoolsWhileTheStoreIsSlow(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		before := make(map[string]uint64)
		for _, p := range pools {
			before[p] = ownerOf(t, hosts, p).holds()[p]
		}
		kv.SetFaults(memtxn.Faults{Delay: 1700 * time.Millisecond})
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			for _, p := range pools {
				owner := ownerOf(t, hosts, p)
				assert.Assert(t, owner != nil, "%s is free", p)
				assert.Equal(t, owner.holds()[p], before[p], "pool %s", p)
				_, ok := owner.Confirmed(p)
				assert.Assert(t, ok)
			}
		}
	})
}
