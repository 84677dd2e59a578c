package poolowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

type deafWorkers struct {
	*leaseWorkers
	// answersLost is the fence of the owner that gets no answer of w1; 0 for none.
	answersLost atomic.Uint64
}

func (d *deafWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	if r.Worker == "w1" && d.answersLost.Load() == ownerOf(r.Fence) {
		d.mu.Lock()
		w, _ := d.acceptFence(r.Worker, r.Fence)
		if w != nil {
			d.expireLeases()
			w.extendLease(r.Until)
		}
		d.mu.Unlock()
		<-ctx.Done()
		return scheduler.Report{}, ctx.Err()
	}
	return d.leaseWorkers.Hold(ctx, r)
}

// Guards against two runs of a task: an owner asks a silent worker that is not sealed for a lease that no owner had asked for, beyond
// 8 s from the last confirmation of its ownership, which is all that the next owner waits for.
func TestHoldOfASilentWorkerAsksForNoLongerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		acceptJob(t, host, 1)
		workers := &deafWorkers{leaseWorkers: newLeaseWorkers()}
		_, stop := startOwner(t, newOptions(t, host, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		// The second owner hears w1 once, is replaced 0.3 s later and does not notice; the answers of w1 do not reach it any more, and the
		// third owner does not reach w1. It is the only worker that the second owner has, so that it is not sealed.
		o := newOptions(t, shared.Client("cut"), workers)
		replacedAt := time.Now().Add(300 * time.Millisecond)
		o.ConfirmedFrom = func() time.Time {
			if now := time.Now(); now.Before(replacedAt) {
				return now
			}
			return replacedAt
		}
		_, stop = startOwner(t, o, "w1")
		time.Sleep(100 * time.Millisecond)
		workers.answersLost.Store(o.Config.Fence)
		time.Sleep(200 * time.Millisecond)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		_, stopNext := startOwner(t, next, "w1", "w2")
		time.Sleep(15 * time.Second)
		stop()
		stopNext()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}

type bornWorkers struct {
	*leaseWorkers
	late      atomic.Pointer[scheduler.Order]
	lateFence atomic.Uint64
}

func (b *bornWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	if o.Worker == "w1" && b.late.CompareAndSwap(nil, &o) {
		b.lateFence.Store(fence)
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	return b.leaseWorkers.Start(ctx, o, fence)
}

func (b *bornWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	report, err := b.leaseWorkers.Hold(ctx, r)
	report.Born = 1000
	return report, err
}

// Guards against two runs of a task: an unanswered start is kept after the proved end of its worker, as the next incarnation may execute
// it, but the roster drops the worker, so that the next owner knows nothing of the start.
func TestUnansweredStartOfAnEndedWorkerOutlastsItsOwner(t *testing.T) {
	for name, takesOver := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New().Client("host")
				acceptJob(t, kv, 1)
				workers := &bornWorkers{leaseWorkers: newLeaseWorkers()}
				o := newOptions(t, kv, workers)
				owner, stop := startOwner(t, o, "w1")
				time.Sleep(300 * time.Millisecond)
				assert.Assert(t, workers.late.Load() != nil)
				workers.setUnreachable(o.Config.Fence, "w1")
				time.Sleep(3500 * time.Millisecond)
				_, ok := owner.Status(t.Context(), &pb.PoolStatusRequest{
					FleetFence: 1, Sequence: 1, Ended: []*pb.WorkerIncarnation{{Id: "w1", Born: 1000}},
				})
				assert.Assert(t, ok)
				owner.SetWorkers(testWorkers([]string{"w2", "w3"}))
				time.Sleep(1500 * time.Millisecond)
				if takesOver {
					stop()
					o = newOptions(t, kv, workers)
					workers.setUnreachable(o.Config.Fence, "w1")
					_, stop = startOwner(t, o, "w2", "w3")
				}
				if r, _, err := o.Jobs.Roster(t.Context(), pool); err == nil {
					t.Log(r)
				}
				time.Sleep(5 * time.Second)
				assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 0, "started while the start may arrive at the next incarnation of w1")
				stop()
			})
		})
	}
}

// Guards against two runs of a task: an owner cannot read the roster and waits for the longest lease, but replaces the record at once by
// what is listed, so that the owner after it waits for nothing.
func TestUnreadableRosterOutlastsItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Roster(pool), Data: []byte{0xff}}}})
		assert.NilError(t, err)
		_, stop = startOwner(t, newOptions(t, kv, workers), "w2")
		time.Sleep(time.Second)
		assert.Equal(t, workers.runningOn("w2"), 0)
		stop()
		_, stop = startOwner(t, newOptions(t, kv, workers), "w2")
		time.Sleep(time.Second)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
	})
}

// Guards against owners that wait for the longest lease long after a roster could not be read: the mark that it was is removed once
// the leases have expired.
func TestTakeoverAfterAnUnreadableRosterWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		workers := newLeaseWorkers()
		_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Roster(pool), Data: []byte{0xff}}}})
		assert.NilError(t, err)
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(time.Second)
		stop()
		o := newOptions(t, kv, workers)
		record, _, err := o.Jobs.Roster(t.Context(), pool)
		assert.NilError(t, err)
		assert.Assert(t, record.GetIncomplete())
		_, stop = startOwner(t, o, "w1")
		time.Sleep(maxLease + 2*time.Second)
		stop()
		acceptJob(t, kv, 1)
		_, stop = startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
	})
}
