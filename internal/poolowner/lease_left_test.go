package poolowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// leaseSettleTime is the time after which an owner's leases are shorter than what an earlier owner may have requested.
const leaseSettleTime = 12 * time.Second

// Guards against a task that never starts again while owners change faster than a lease ends: each owner waited for the whole lease of
// the silent worker again.
func TestLeaseOfASilentWorkerIsWaitedForOnce(t *testing.T) {
	const (
		term = 4 * time.Second
		// longest is how long a lease of MaxLease may last by an owner's clock. What is left of it is recorded now and then, so that
		// each change of the owner may cost lost.
		longest = 10_800 * time.Millisecond
		lost    = 1500 * time.Millisecond
		owners  = 3
	)
	for name, sealed := range map[string]time.Duration{"sealed": 3 * time.Second, "silent since its owner ended": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New().Client("host")
				acceptJob(t, kv, 1)
				workers := newLeaseWorkers()
				o := newOptions(t, kv, workers)
				_, stop := startOwner(t, o, "w1")
				time.Sleep(settleTime)
				assert.Equal(t, workers.runningOn("w1"), 1)
				stop()
				o = newOptions(t, kv, workers)
				_, stop = startOwner(t, o, "w1", "w2", "w3")
				time.Sleep(leaseSettleTime)
				workers.setUnreachable(o.Config.Fence, "w1")
				silentSince := time.Now()
				time.Sleep(sealed)
				stop()
				startedAfter := time.Duration(0)
				for range 2 * owners {
					o = newOptions(t, kv, workers)
					workers.setUnreachable(o.Config.Fence, "w1")
					_, stop = startOwner(t, o, "w1", "w2", "w3")
					for began := time.Now(); time.Since(began) < term; time.Sleep(settleTime) {
						if startedAfter == 0 && workers.runningOn("w2")+workers.runningOn("w3") > 0 {
							startedAfter = time.Since(silentSince)
						}
					}
					stop()
				}
				assert.Assert(t, startedAfter > 0 && startedAfter <= longest+owners*lost, "started again after %s", startedAfter)
				assert.Assert(t, !workers.sawDuplicate())
			})
		})
	}
}

// Guards against two runs of a task: a sealed worker answered again while the store was cut off, its lease was extended, and the next owner
// went by the record of before.
func TestSealedWorkerThatAnswersBesideACutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		acceptJob(t, host, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, host, workers), "w1")
		time.Sleep(settleTime)
		stop()
		o := newOptions(t, shared.Client("cut"), workers)
		_, stop = startOwner(t, o, "w1", "w2", "w3")
		time.Sleep(leaseSettleTime)
		workers.setUnreachable(o.Config.Fence, "w1")
		time.Sleep(3 * time.Second)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		workers.setUnreachable(o.Config.Fence)
		time.Sleep(2 * time.Second)
		workers.setUnreachable(o.Config.Fence, "w1")

		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		_, stopNext := startOwner(t, next, "w1", "w2", "w3")
		time.Sleep(15 * time.Second)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 1)
		stop()
		stopNext()
	})
}
