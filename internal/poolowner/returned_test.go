package poolowner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// returningWorkers tell their incarnation, and may start again under their ids.
type returningWorkers struct {
	*leaseWorkers
	born map[string]int64
}

// bornFirst is the first incarnation of each worker.
const bornFirst = 1000

// restart begins the next incarnation of w1, which carries out a late hold of the earlier one: it has seen no fence, and
// caps the expiry to the longest lease. The runs are those of starts that were late too.
func (r *returningWorkers) restart(runs ...scheduler.RunningTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born["w1"]++
	r.workers["w1"] = &leaseWorker{until: time.Now().Add(maxLease).UnixMilli(), running: runs}
}

func (r *returningWorkers) Hold(ctx context.Context, h poolowner.HoldRequest) (scheduler.Report, error) {
	born := r.bornOf(h.Worker)
	report, err := r.leaseWorkers.Hold(ctx, h)
	report.Born = born
	if r.bornOf(h.Worker) != born {
		return scheduler.Report{}, errSilent
	}
	return report, err
}

func (r *returningWorkers) bornOf(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bornFirst + r.born[id]
}

// listedWorkers returns the entries of the registry.
func (r *returningWorkers) listedWorkers(ids ...string) []scheduler.Worker {
	listed := testWorkers(ids)
	for i := range listed {
		listed[i].Born = r.bornOf(listed[i].ID)
	}
	return listed
}

// Guards against two runs of a task: a call to an earlier incarnation has extended the lease of a worker that has returned, a task
// starts there, and the next owner, which does not reach it, waits only for leases that owners ask for.
func TestLeaseOfAReturnedWorkerOutlastsItsOwner(t *testing.T) {
	for _, served := range []time.Duration{100, 300, 600, 1000, 1500, 1700, 2000, 2500, 4000} {
		t.Run(fmt.Sprintf("owner ends after %d ms", served), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := memtxn.New()
				host := shared.Client("host")
				workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
				owner, stop := startOwner(t, newOptions(t, host, workers))
				owner.SetWorkers(workers.listedWorkers("w1"))
				time.Sleep(settleTime)
				workers.restart()
				owner.SetWorkers(workers.listedWorkers("w1"))
				acceptJob(t, host, 1)
				time.Sleep(served * time.Millisecond)
				stop()
				next := newOptions(t, host, workers)
				workers.setUnreachable(next.Config.Fence, "w1")
				owner, stop = startOwner(t, next)
				owner.SetWorkers(workers.listedWorkers("w1", "w2"))
				time.Sleep(15 * time.Second)
				stop()
				assert.Assert(t, !workers.sawDuplicate())
				assert.Equal(t, workers.runningOn("w2"), 1)
			})
		})
	}
}

// Guards against two runs of a task: a late start is carried out by the next incarnation of its worker, with the longest lease, while
// the pool gets another owner, which does not reach the worker.
func TestLateStartOnAReturnedWorkerOutlastsItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
		owner, stop := startOwner(t, newOptions(t, host, workers))
		owner.SetWorkers(workers.listedWorkers("w1"))
		acceptJob(t, host, 1)
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		workers.restart(workers.workers["w1"].running...)
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		owner, stop = startOwner(t, next)
		owner.SetWorkers(workers.listedWorkers("w1", "w2"))
		time.Sleep(15 * time.Second)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}

// Guards against takeovers that wait for the longest lease long after a worker has returned, and against workers that stay unused.
func TestReturnedWorkerIsUsedAndRecordedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := memtxn.New().Client("host")
		workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
		owner, stop := startOwner(t, newOptions(t, host, workers))
		owner.SetWorkers(workers.listedWorkers("w1"))
		time.Sleep(settleTime)
		workers.restart()
		owner.SetWorkers(workers.listedWorkers("w1"))
		acceptJob(t, host, 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, workers.runningOn("w1"), 1)
		time.Sleep(2 * time.Second)
		stop()
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		owner, stop = startOwner(t, next)
		owner.SetWorkers(workers.listedWorkers("w1", "w2"))
		time.Sleep(9 * time.Second)
		stop()
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}
