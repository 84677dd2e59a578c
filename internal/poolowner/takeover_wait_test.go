package poolowner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

type replacedWorkers struct {
	*leaseWorkers
	gone atomic.Bool
}

func (m *replacedWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	if o.Address == "w1" && m.gone.Load() {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeGone}
	}
	return m.leaseWorkers.Start(ctx, o, fence)
}

func (m *replacedWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	if r.Address == "w1" && m.gone.Load() {
		sent := time.Now()
		time.Sleep(5 * time.Millisecond)
		return scheduler.Report{Worker: r.Worker, Sent: sent, Received: time.Now(), Gone: true}, nil
	}
	return m.leaseWorkers.Hold(ctx, r)
}

// Guards against a pool that starts nothing after a change of its owner, as a worker whose end was proved to the earlier owner is
// still listed: the evidence is lost, and the next owner waits for the lease of a worker that has a successor.
func TestTakeoverDoesNotWaitForAWorkerThatHasEnded(t *testing.T) {
	for _, owners := range []int{1, 3} {
		t.Run(fmt.Sprint(owners, " owners"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New().Client("host")
				workers := &replacedWorkers{leaseWorkers: newLeaseWorkers()}
				_, stop := startOwner(t, newOptions(t, kv, workers), "w1", "w2", "w3")
				time.Sleep(leaseSettleTime)
				workers.gone.Store(true)
				time.Sleep(3 * time.Second)
				stop()
				acceptJob(t, kv, 1)
				began := time.Now()
				startedAfter := time.Duration(0)
				for i := range owners {
					_, stop = startOwner(t, newOptions(t, kv, workers), "w1", "w2", "w3")
					for term := time.Now(); time.Since(term) < 3*time.Second || i == owners-1 && time.Since(term) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
						if startedAfter == 0 && workers.runningOn("w2")+workers.runningOn("w3") > 0 {
							startedAfter = time.Since(began)
						}
					}
					stop()
				}
				assert.Assert(t, startedAfter > 0 && startedAfter < 1500*time.Millisecond, "the pool's first start came after %s", startedAfter)
			})
		})
	}
}

// Guards against a task that waits for the longest lease that workers grant, although no owner asks for more than Lease: its worker
// falls silent for good soon after a change of the owner.
func TestWorkerThatFallsSilentSoonAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(20 * time.Second)
		stop()
		o := newOptions(t, kv, workers)
		_, stop = startOwner(t, o, "w1", "w2", "w3")
		time.Sleep(settleTime)
		workers.setUnreachable(o.Config.Fence, "w1")
		silent := time.Now()
		startedAfter := time.Duration(0)
		for time.Since(silent) < 15*time.Second {
			time.Sleep(20 * time.Millisecond)
			if startedAfter == 0 && workers.runningOn("w2")+workers.runningOn("w3") > 0 {
				startedAfter = time.Since(silent)
			}
		}
		stop()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Assert(t, startedAfter > 0 && startedAfter < 8*time.Second, "started again after %s", startedAfter)
	})
}
