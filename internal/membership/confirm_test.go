package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// deafStore is a store whose watches and stale reads deliver no changes.
var deafStore = memtxn.Faults{Delay: 4 * time.Millisecond, StallWatches: true, StaleBy: time.Hour}

// checkConfirmedBefore checks that the old owner, which renews its lease, confirms nothing after the key changed hands.
func checkConfirmedBefore(t *testing.T, kv *memtxn.Store, old *host, fence uint64) {
	t.Helper()
	for range 300 {
		if kv.Items(jobkeys.Owner("a"))[0].Version != fence {
			acquired := time.Now()
			for range 100 {
				time.Sleep(50 * time.Millisecond)
				late := old.ConfirmedFrom("a", fence).Sub(acquired)
				assert.Assert(t, late <= 0, "confirmed %s after another host acquired the pool", late)
			}
			_, held := old.holds()["a"]
			assert.Assert(t, !held, "the old owner still holds the pool")
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no other host acquired the pool")
}

// Guards against an owner that confirms a pool by its lease although a peer, which its address refused, has acquired it: it
// would extend leases of workers beyond the takeover.
func TestOwnerTakenToBeGoneDoesNotConfirmItsPool(t *testing.T) {
	fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
		old := ownerOf(t, hosts, "a")
		fence := old.holds()["a"]
		kv.SetFaults(deafStore)
		time.Sleep(settleTime) // a stale read takes its state before the change
		for _, h := range without(hosts, old) {
			h.OwnerGone("a", fence)
		}
		checkConfirmedBefore(t, kv, old, fence)
		var basis string
		next := ownerOf(t, hosts, "a")
		assert.NilError(t, next.do(t.Context(), func(e *elector) { basis = e.basis["a"] }, nil))
		assert.Equal(t, basis, ownerRefused)
	})
}

// Guards against an owner that confirms a pool after it asked a peer to take it and the peer's answer was lost.
func TestOwnerWhoseHandOverWasNotAnsweredDoesNotConfirmItsPool(t *testing.T) {
	for _, outcome := range []memtxn.Outcome{memtxn.Serve, memtxn.LoseAnswer, memtxn.ApplyLate} {
		fleetTest(t, func(t *testing.T, kv *memtxn.Store, hosts []*host) {
			old := ownerOf(t, hosts, "a")
			fence := old.holds()["a"]
			peer := without(hosts, old)[0]
			faults := deafStore
			faults.LateBy = 1200 * time.Millisecond
			faults.Plan = func(client string, call memtxn.Call) memtxn.Outcome {
				if client == peer.name && call == memtxn.CallCommit {
					return outcome
				}
				return memtxn.Serve
			}
			kv.SetFaults(faults)
			time.Sleep(settleTime)                        // a stale read takes its state before the change
			err := peer.TakeFrom(t.Context(), "a", fence) // the old owner never learns the result
			assert.Assert(t, err == nil || store.Unknown.Has(err), "%v", err)
			checkConfirmedBefore(t, kv, old, fence)
		})
	}
}

// Guards against an owner that confirms its ownership from a time after the next owner acquired the pool.
func TestNoPoolIsConfirmedAfterItsNextAcquisition(t *testing.T) {
	for seed := range uint64(faultRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConfirmations(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func runConfirmations(t *testing.T, random *rand.Rand) {
	kv := memtxn.New()
	hosts, _ := startFleet(t, kv, 5)
	defer stopAll(hosts)
	time.Sleep(settleTime)
	latest := make(map[string]store.Item) // by pool
	type replacement struct {
		pool   string
		fence  uint64
		holder *host
		seen   time.Time
	}
	var replaced []replacement
	for step := range 1200 {
		if step%100 == 0 {
			kv.SetFaults(randomFaults(random))
		}
		if pool := pools[random.IntN(len(pools))]; random.IntN(20) == 0 {
			_, fence, _ := hosts[0].Owner(pool)
			for _, h := range hosts[:1+random.IntN(len(hosts))] {
				h.OwnerGone(pool, fence)
			}
		}
		for _, h := range hosts {
			pool := pools[random.IntN(len(pools))]
			if fence, held := h.holds()[pool]; held {
				go h.Confirm(t.Context(), pool, fence)
			}
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		for _, p := range pools {
			items := kv.Items(jobkeys.Owner(p))
			if len(items) == 0 || items[0].Version == latest[p].Version {
				continue
			}
			if old, ok := latest[p]; ok {
				replaced = append(replaced, replacement{p, old.Version, holderOf(t, hosts, old), time.Now()})
			}
			latest[p] = items[0]
		}
		for _, r := range replaced {
			late := r.holder.ConfirmedFrom(r.pool, r.fence).Sub(r.seen)
			assert.Assert(t, late <= 0, "%s confirmed %s %s after its replacement", r.holder.name, r.pool, late)
		}
	}
	assert.Assert(t, len(replaced) > len(pools), "%d acquisitions", len(replaced))
}

// holderOf returns the host that the owner key names.
func holderOf(t *testing.T, hosts []*host, key store.Item) *host {
	t.Helper()
	rec := &pb.OwnerRecord{}
	assert.NilError(t, proto.Unmarshal(key.Data, rec))
	i := slices.IndexFunc(hosts, func(h *host) bool { return h.name == rec.GetMember() })
	return hosts[i]
}
