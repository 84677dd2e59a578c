package poolowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against tasks that lapse although their worker answered again before its lease ended: after a takeover a worker that first
// answers 1.5 s after it was listed is sealed.
func TestWorkerThatAnswersLateInATakeoverKeepsItsRuns(t *testing.T) {
	const gap = 2 * time.Second
	for dark := 3600 * time.Millisecond; dark < 4900*time.Millisecond; dark += 100 * time.Millisecond {
		t.Run(dark.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New().Client("host")
				acceptJob(t, kv, 1)
				workers := resetWorkers{newLeaseWorkers()}
				_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
				time.Sleep(12 * time.Second)
				run := runOnFirst(workers)
				stop()
				workers.mu.Lock()
				left := time.Duration(workers.workers["w1"].until-time.Now().UnixMilli()) * time.Millisecond
				workers.mu.Unlock()
				began := time.Now()
				time.Sleep(gap)
				o := newOptions(t, kv, workers)
				workers.setUnreachable(o.Config.Fence, "w1")
				_, stop = startOwner(t, o, "w1", "w2", "w3")
				time.Sleep(dark - gap)
				workers.setUnreachable(o.Config.Fence)
				time.Sleep(12*time.Second - time.Since(began))
				kept := runOnFirst(workers) == run
				stop()
				assert.Assert(t, kept, "the run has lapsed, although the worker could be reached %s before its lease ended", left-dark)
			})
		})
	}
}

// Guards against tasks that lapse on a sound worker: the store is slow, and the sealed worker answers 2 s before its lease ends.
func TestSealedWorkerBesideASlowStore(t *testing.T) {
	for _, delay := range []time.Duration{0, 1000, 1500, 1800, 2100, 2500} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := memtxn.New()
				host := shared.Client("host")
				acceptJob(t, host, 1)
				workers := newLeaseWorkers()
				_, stop := startOwner(t, newOptions(t, host, workers), "w1")
				time.Sleep(settleTime)
				stop()
				o := newOptions(t, delayedStore{shared.Client("owner"), delay}, workers)
				_, stop = startOwner(t, o, "w1", "w2", "w3")
				time.Sleep(22 * time.Second)
				run := runOnFirst(workers)
				assert.Assert(t, run > 0)
				workers.setUnreachable(o.Config.Fence, "w1")
				darkAt := time.Now()
				time.Sleep(3 * time.Second)
				workers.setUnreachable(o.Config.Fence)
				time.Sleep(12*time.Second - time.Since(darkAt))
				kept := runOnFirst(workers) == run
				stop()
				assert.Assert(t, kept, "the run has lapsed")
			})
		})
	}
}

// Guards against tasks that lapse on a sound worker: the store refuses the pool owner's writes after the worker was sealed, but its
// ownership stays confirmed, so that all other leases are extended.
func TestLeaseOfAnAnsweringWorkerWhileWritesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		acceptJob(t, host, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, host, workers), "w1")
		time.Sleep(settleTime)
		stop()
		o := newOptions(t, shared.Client("owner"), workers)
		_, stop = startOwner(t, o, "w1", "w2", "w3")
		time.Sleep(leaseSettleTime)
		workers.setUnreachable(o.Config.Fence, "w1")
		time.Sleep(2200 * time.Millisecond)
		assert.Assert(t, recordedSeals(t, host)["w1"].GetSealed())
		shared.SetFaults(memtxn.Faults{Plan: func(client string, call memtxn.Call) memtxn.Outcome {
			if client == "owner" && call == memtxn.CallCommit {
				return memtxn.Refuse
			}
			return memtxn.Serve
		}})
		workers.setUnreachable(o.Config.Fence)
		lapsedAfter := time.Duration(0)
		for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
			if lapsedAfter == 0 && workers.runningOn("w1") == 0 {
				lapsedAfter = time.Since(began)
			}
		}
		stop()
		assert.Assert(t, lapsedAfter == 0, "lapsed %s after the worker could be reached again", lapsedAfter)
	})
}

type resetWorkers struct{ *leaseWorkers }

func (r resetWorkers) Hold(ctx context.Context, h poolowner.HoldRequest) (scheduler.Report, error) {
	r.mu.Lock()
	cut := r.unreachable[ownerOf(h.Fence)][h.Worker]
	r.mu.Unlock()
	if cut {
		time.Sleep(20 * time.Millisecond)
		return scheduler.Report{}, errSilent
	}
	return r.leaseWorkers.Hold(ctx, h)
}

type delayedStore struct {
	store.Transactor
	delay time.Duration
}

func (d delayedStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	time.Sleep(d.delay)
	return d.Transactor.Commit(ctx, tx)
}

type runLister interface {
	runningOn(worker string) int
	runNumber(worker string) int64
}

func runOnFirst(l runLister) int64 {
	if l.runningOn("w1") == 0 {
		return 0
	}
	return l.runNumber("w1")
}

func (l *leaseWorkers) runNumber(worker string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[worker].running[0].Run
}
