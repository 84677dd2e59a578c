package poolowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// freshClockWorkers answer starts with a clock that begins anew with each restart.
type freshClockWorkers struct {
	*returningWorkers
	restartedAt time.Time
}

func (f *freshClockWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	result := f.returningWorkers.Start(ctx, o, fence)
	if result.Clock > 0 && !f.restartedAt.IsZero() {
		result.Clock = max(1, time.Since(f.restartedAt).Milliseconds())
	}
	return result
}

// startOnUnheardWorker has a task started on w1, which has just restarted and has carried out a late hold of its earlier incarnation.
// Neither the registry nor the worker has told the owner so far.
func startOnUnheardWorker(t *testing.T, workers *freshClockWorkers, accept func()) {
	time.Sleep(settleTime)
	workers.restart()
	workers.restartedAt = time.Now()
	accept()
	for range 50 {
		time.Sleep(2 * time.Millisecond)
		if workers.runningOn("w1") == 1 {
			return
		}
	}
	t.Fatal("the task has not started on w1")
}

// Guards against two runs of a task: a start reaches the next incarnation under the id before the owner knows of it, and the worker is
// cut off before it has told. A late hold, whose expiry is a time on the earlier clock, gives it the longest lease.
func TestLeaseOfAnIncarnationThatWasNeverHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := memtxn.New().Client("host")
		workers := &freshClockWorkers{returningWorkers: &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}}
		o := newOptions(t, host, workers)
		owner, stop := startOwner(t, o)
		owner.SetWorkers(workers.listedWorkers("w1"))
		startOnUnheardWorker(t, workers, func() { acceptJob(t, host, 1) })
		workers.setUnreachable(o.Config.Fence, "w1")
		owner.SetWorkers(workers.listedWorkers("w1", "w2"))
		time.Sleep(20 * time.Second)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}

// Guards against two runs of a task: as before, but the next owner does not reach the worker, and its list of workers lags.
func TestLeaseOfAnIncarnationThatWasNeverHeardOutlastsItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		workers := &freshClockWorkers{returningWorkers: &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}}
		owner, stop := startOwner(t, newOptions(t, host, workers))
		before := workers.listedWorkers("w1", "w2")
		owner.SetWorkers(before[:1])
		startOnUnheardWorker(t, workers, func() { acceptJob(t, host, 1) })
		stop()
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		owner, stop = startOwner(t, next)
		owner.SetWorkers(before)
		time.Sleep(20 * time.Second)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}
