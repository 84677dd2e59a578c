package poolowner_test

import (
	"context"
	"slices"
	"sync"
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

// leaseWorkers are workers that check fences and kill their running tasks when their lease expires.
type leaseWorkers struct {
	mu      sync.Mutex
	workers map[string]*leaseWorker
	// unreachable holds, by fence, the workers that the owner with this fence cannot reach.
	unreachable map[uint64]map[string]bool
	// duplicated is set once a task runs on two workers.
	duplicated bool
}

type leaseWorker struct {
	fence   uint64
	until   int64
	running []scheduler.RunningTask
}

const maxLease = 10 * time.Second

func newLeaseWorkers() *leaseWorkers {
	return &leaseWorkers{workers: make(map[string]*leaseWorker), unreachable: make(map[uint64]map[string]bool)}
}

func (l *leaseWorkers) setUnreachable(fence uint64, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable[fence] = make(map[string]bool)
	for _, id := range ids {
		l.unreachable[fence][id] = true
	}
}

// ownerOf returns the fence of the owner that made a call with the given fence, whose low bits count incarnations.
func ownerOf(fence uint64) uint64 { return fence >> 20 }

// acceptFence records the fence and returns the worker, or nil if the worker has seen a higher fence. It reports false if
// the worker does not answer.
func (l *leaseWorkers) acceptFence(id string, fence uint64) (*leaseWorker, bool) {
	if l.unreachable[ownerOf(fence)][id] {
		return nil, false
	}
	w := l.workers[id]
	if w == nil {
		w = &leaseWorker{}
		l.workers[id] = w
	}
	if fence < w.fence {
		return nil, true
	}
	w.fence = fence
	return w, true
}

func (l *leaseWorkers) expireLeases() {
	for _, w := range l.workers {
		if time.Now().UnixMilli() > w.until {
			w.running = nil
		}
	}
}

func (w *leaseWorker) extendLease(until int64) {
	w.until = max(w.until, min(until, time.Now().Add(maxLease).UnixMilli()))
}

func (l *leaseWorkers) Start(_ context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, answers := l.acceptFence(o.Worker, fence)
	if !answers {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	if w == nil {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeFenced}
	}
	if o.Until < time.Now().UnixMilli() {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeLate, Clock: time.Now().UnixMilli()}
	}
	l.expireLeases()
	for _, other := range l.workers {
		l.duplicated = l.duplicated || slices.ContainsFunc(other.running, func(r scheduler.RunningTask) bool { return r.Task == o.Task })
	}
	w.extendLease(o.Until)
	w.running = append(w.running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: time.Now().UnixMilli()}
}

func (l *leaseWorkers) Stop(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (l *leaseWorkers) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (l *leaseWorkers) Forget(string) {}

func (l *leaseWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	l.mu.Lock()
	w, answers := l.acceptFence(r.Worker, r.Fence)
	if w != nil {
		l.expireLeases()
		w.extendLease(r.Until)
	}
	l.mu.Unlock()
	if !answers {
		<-ctx.Done()
		return scheduler.Report{}, ctx.Err()
	}
	if w == nil {
		return scheduler.Report{Worker: r.Worker, Fenced: true}, nil
	}
	select {
	case <-ctx.Done():
		return scheduler.Report{}, ctx.Err()
	case <-time.After(max(r.Wait, 20*time.Millisecond)):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLeases()
	return scheduler.Report{
		Worker: r.Worker, Clock: time.Now().UnixMilli(), Sent: sent, Received: time.Now(), LastSeen: r.LastSeen, Until: r.Until,
		Running: slices.Clone(w.running),
	}, nil
}

func (l *leaseWorkers) runningOn(worker string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLeases()
	if w := l.workers[worker]; w != nil {
		return len(w.running)
	}
	return 0
}

func (l *leaseWorkers) sawDuplicate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duplicated
}

// A job accepted after a takeover is offered to the replaced owner, which starts it. The new owner, which has not reached the
// worker yet, must not start it again.
func TestTakeoverWaitsForJobsOfAReplacedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		workers := newLeaseWorkers()
		replaced, stopReplaced := startOwner(t, newOptions(t, shared.Client("replaced"), workers), "w1", "w2")
		time.Sleep(settleTime)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"replaced": true}})
		o := newOptions(t, shared.Client("owner"), workers)
		workers.setUnreachable(o.Config.Fence, "w1")
		_, stop := startOwner(t, o, "w1", "w2")
		time.Sleep(settleTime)
		replaced.Offer([]*pb.JobRecord{acceptJob(t, shared.Client("host"), 1)}, nil)
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		workers.setUnreachable(o.Config.Fence)
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w1")+workers.runningOn("w2"), 1)
		stopReplaced()
		stop()
	})
}

// A task on a worker that is partitioned together with its owner ends before the next owner considers the worker lost.
func TestCutOffOwnerKeepsNoTaskAliveBeyondTheTakeover(t *testing.T) {
	const (
		storeLease     = 2500 * time.Millisecond
		maxUnconfirmed = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		acceptJob(t, shared.Client("host"), 1)
		workers := newLeaseWorkers()
		o := newOptions(t, shared.Client("cut"), workers)
		var unconfirmed atomic.Bool
		o.Confirmed = func() bool { return !unconfirmed.Load() }
		var cutAt atomic.Pointer[time.Time]
		o.ConfirmedFrom = func() time.Time {
			if at := cutAt.Load(); at != nil {
				return *at
			}
			return time.Now()
		}
		cutOffFence := o.Config.Fence
		owner, stopCutOff := startOwner(t, o, "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		owner.SetWorkers(testWorkers([]string{"w1", "w2"}))
		time.Sleep(settleTime)
		time.AfterFunc(maxUnconfirmed, func() { unconfirmed.Store(true) })
		lastConfirmed := time.Now()
		cutAt.Store(&lastConfirmed)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		workers.setUnreachable(cutOffFence, "w2")
		time.Sleep(storeLease)
		o = newOptions(t, shared.Client("owner"), workers)
		workers.setUnreachable(o.Config.Fence, "w1")
		_, stop := startOwner(t, o, "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w1"), 0)
		assert.Equal(t, workers.runningOn("w2"), 1)
		stopCutOff()
		stop()
	})
}

// An owner that cannot read the roster waits until the longest possible lease has expired.
func TestTakeoverWithAnUnreadableRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := newLeaseWorkers()
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Roster(pool), Data: []byte("odd")}}})
		assert.NilError(t, err)
		_, stop = startOwner(t, newOptions(t, kv, workers), "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
		stop()
	})
}
