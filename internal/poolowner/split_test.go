package poolowner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against two runs of a task in a split: the earlier owner is cut off together with w2 from the store, the next owner and w1. The
// next owner keeps the task on w1 alive; the earlier one takes its lease for expired, and starts the
// task on w2 by its last confirmation, which still allows leases.
func TestSplitBetweenTwoOwners(t *testing.T) {
	const storeLease = 2500 * time.Millisecond
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := memtxn.New()
				host := shared.Client("host")
				acceptJob(t, host, 1)
				workers := newLeaseWorkers()
				_, stop := startOwner(t, newOptions(t, host, workers), "w1")
				time.Sleep(settleTime)
				assert.Equal(t, workers.runningOn("w1"), 1)
				stop()
				o := newOptions(t, shared.Client("cut"), workers)
				var cutAt atomic.Pointer[time.Time]
				o.ConfirmedFrom = func() time.Time {
					if at := cutAt.Load(); at != nil {
						return *at
					}
					return time.Now()
				}
				_, stop = startOwner(t, o, "w1", "w2")
				time.Sleep(12*time.Second + phase)
				now := time.Now()
				cutAt.Store(&now)
				shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
				workers.setUnreachable(o.Config.Fence, "w1")
				time.Sleep(storeLease)
				next := newOptions(t, host, workers)
				workers.setUnreachable(next.Config.Fence, "w2")
				_, stopNext := startOwner(t, next, "w1", "w2")
				time.Sleep(15 * time.Second)
				duplicate := workers.sawDuplicate()
				stop()
				stopNext()
				assert.Assert(t, !duplicate, "the task ran on both sides")
			})
		})
	}
}

// Guards against two runs of a task in a split that begins at the worker: the earlier owner, cut off from w1 some time before the store, takes
// a lease for expired that the next owner has extended.
func TestSplitThatBeginsAtTheWorker(t *testing.T) {
	for before := time.Second; before <= 4*time.Second; before += time.Second {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := memtxn.New()
				host := shared.Client("host")
				acceptJob(t, host, 1)
				workers := newLeaseWorkers()
				_, stop := startOwner(t, newOptions(t, host, workers), "w1")
				time.Sleep(settleTime)
				stop()
				o := newOptions(t, shared.Client("cut"), workers)
				var cutAt atomic.Pointer[time.Time]
				o.ConfirmedFrom = func() time.Time {
					if at := cutAt.Load(); at != nil {
						return *at
					}
					return time.Now()
				}
				_, stop = startOwner(t, o, "w1", "w2")
				time.Sleep(12 * time.Second)
				workers.setUnreachable(o.Config.Fence, "w1")
				time.Sleep(before)
				now := time.Now()
				cutAt.Store(&now)
				shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
				time.Sleep(2500 * time.Millisecond)
				next := newOptions(t, host, workers)
				workers.setUnreachable(next.Config.Fence, "w2")
				_, stopNext := startOwner(t, next, "w1", "w2")
				time.Sleep(15 * time.Second)
				duplicate := workers.sawDuplicate()
				stop()
				stopNext()
				assert.Assert(t, !duplicate, "the task ran on both sides")
			})
		})
	}
}

// Guards against two runs of a task: an owner that is replaced soon after it began goes by the end of a lease which its successor has extended.
func TestRecordedLeaseThatASuccessorExtends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		acceptJob(t, host, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, host, workers), "w1")
		time.Sleep(settleTime)
		stop()
		o := newOptions(t, host, workers)
		_, stop = startOwner(t, o, "w1", "w2", "w3")
		time.Sleep(12 * time.Second)
		workers.setUnreachable(o.Config.Fence, "w1")
		time.Sleep(2500 * time.Millisecond)
		stop()
		cut := newOptions(t, shared.Client("cut"), workers)
		cutAt := time.Now().Add(300 * time.Millisecond)
		cut.ConfirmedFrom = func() time.Time {
			if now := time.Now(); now.Before(cutAt) {
				return now
			}
			return cutAt
		}
		workers.setUnreachable(cut.Config.Fence, "w1")
		_, stop = startOwner(t, cut, "w1", "w2", "w3")
		time.Sleep(300 * time.Millisecond)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w2", "w3")
		_, stopNext := startOwner(t, next, "w1", "w2", "w3")
		time.Sleep(15 * time.Second)
		duplicate := workers.sawDuplicate()
		stop()
		stopNext()
		assert.Assert(t, !duplicate, "the task ran on both sides")
	})
}

// Guards against two runs of a task, as above, with a worker that no owner has heard since a takeover, so that its runs are unknown.
func TestTakeoverByARecordedLeaseThatASuccessorExtends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		acceptJob(t, host, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, host, workers), "w1")
		time.Sleep(12 * time.Second)
		stop()
		o := newOptions(t, host, workers)
		workers.setUnreachable(o.Config.Fence, "w1")
		_, stop = startOwner(t, o, "w1", "w2", "w3")
		time.Sleep(3 * time.Second)
		stop()
		cut := newOptions(t, shared.Client("cut"), workers)
		cutAt := time.Now().Add(300 * time.Millisecond)
		cut.ConfirmedFrom = func() time.Time {
			if now := time.Now(); now.Before(cutAt) {
				return now
			}
			return cutAt
		}
		workers.setUnreachable(cut.Config.Fence, "w1")
		_, stop = startOwner(t, cut, "w1", "w2", "w3")
		time.Sleep(300 * time.Millisecond)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w2", "w3")
		_, stopNext := startOwner(t, next, "w1", "w2", "w3")
		time.Sleep(15 * time.Second)
		duplicate := workers.sawDuplicate()
		stop()
		stopNext()
		assert.Assert(t, !duplicate, "the task ran on both sides")
	})
}
