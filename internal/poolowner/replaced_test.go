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

// leased are workers that check fences and kill what runs when their lease ends.
type leased struct {
	mu      sync.Mutex
	workers map[string]*leasedWorker
	// hidden are the workers that the owner with a fence does not reach.
	hidden map[uint64]map[string]bool
	// twice is set once a task runs on two workers.
	twice bool
}

type leasedWorker struct {
	fence   uint64
	until   int64
	running []scheduler.RunningTask
}

const maxLease = 10 * time.Second

func newLeased() *leased {
	return &leased{workers: make(map[string]*leasedWorker), hidden: make(map[uint64]map[string]bool)}
}

func (l *leased) hide(fence uint64, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hidden[fence] = make(map[string]bool)
	for _, id := range ids {
		l.hidden[fence][id] = true
	}
}

// take returns the worker as it is now, nil if the fence is out of date there, or false if no answer comes.
func (l *leased) take(id string, fence uint64) (*leasedWorker, bool) {
	if l.hidden[fence][id] {
		return nil, false
	}
	w := l.workers[id]
	if w == nil {
		w = &leasedWorker{}
		l.workers[id] = w
	}
	if fence < w.fence {
		return nil, true
	}
	w.fence = fence
	return w, true
}

func (l *leased) lapse() {
	for _, w := range l.workers {
		if time.Now().UnixMilli() > w.until {
			w.running = nil
		}
	}
}

func (w *leasedWorker) extend(until int64) {
	w.until = max(w.until, min(until, time.Now().Add(maxLease).UnixMilli()))
}

func (l *leased) Start(_ context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, answers := l.take(o.Worker, fence)
	if !answers {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	if w == nil {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeFenced}
	}
	if o.Until < time.Now().UnixMilli() {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeLate, Clock: time.Now().UnixMilli()}
	}
	l.lapse()
	for _, other := range l.workers {
		l.twice = l.twice || slices.ContainsFunc(other.running, func(r scheduler.RunningTask) bool { return r.Task == o.Task })
	}
	w.extend(o.Until)
	w.running = append(w.running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: time.Now().UnixMilli()}
}

func (l *leased) Stop(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (l *leased) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (l *leased) Forget(string) {}

func (l *leased) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	l.mu.Lock()
	w, answers := l.take(r.Worker, r.Fence)
	if w != nil {
		l.lapse()
		w.extend(r.Until)
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
	l.lapse()
	return scheduler.Report{
		Worker: r.Worker, Clock: time.Now().UnixMilli(), Sent: sent, Received: time.Now(), LastSeen: r.LastSeen, Until: r.Until,
		Running: slices.Clone(w.running),
	}, nil
}

func (l *leased) on(worker string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	if w := l.workers[worker]; w != nil {
		return len(w.running)
	}
	return 0
}

func (l *leased) ranTwice() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.twice
}

// A job accepted after a takeover, which the replaced owner was told of and has started, is not started again by the new
// owner, who has not heard the worker yet.
func TestTakeoverWaitsForJobsOfAReplacedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		workers := newLeased()
		replaced, endReplaced := term(t, options(t, shared.Client("replaced"), workers), "w1", "w2")
		time.Sleep(pastTerms)
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"replaced": true}})
		o := options(t, shared.Client("owner"), workers)
		workers.hide(o.Config.Fence, "w1")
		_, end := term(t, o, "w1", "w2")
		time.Sleep(pastTerms)
		replaced.Offer([]*pb.JobRecord{accept(t, shared.Client("host"), 1)}, nil)
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		workers.hide(o.Config.Fence)
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.ranTwice())
		assert.Equal(t, workers.on("w1")+workers.on("w2"), 1)
		endReplaced()
		end()
	})
}

// A task on a worker that is cut off together with its owner ends before the next owner gives that worker up.
func TestCutOffOwnerKeepsNoTaskAliveBeyondTheTakeover(t *testing.T) {
	const (
		storeLease     = 2500 * time.Millisecond
		maxUnconfirmed = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		accept(t, shared.Client("host"), 1)
		workers := newLeased()
		o := options(t, shared.Client("cut"), workers)
		var unconfirmed atomic.Bool
		o.Confirmed = func() bool { return !unconfirmed.Load() }
		cutOff := o.Config.Fence
		own, endCutOff := term(t, o, "w1")
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		own.SetWorkers(workersOf([]string{"w1", "w2"}))
		time.Sleep(pastTerms)
		time.AfterFunc(maxUnconfirmed, func() { unconfirmed.Store(true) })
		shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"cut": true}})
		workers.hide(cutOff, "w2")
		time.Sleep(storeLease)
		o = options(t, shared.Client("owner"), workers)
		workers.hide(o.Config.Fence, "w1")
		_, end := term(t, o, "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.ranTwice())
		assert.Equal(t, workers.on("w1"), 0)
		assert.Equal(t, workers.on("w2"), 1)
		endCutOff()
		end()
	})
}

// An owner that cannot read which workers may run something waits until the longest lease has passed.
func TestTakeoverWithAnUnreadableRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		accept(t, kv, 1)
		workers := newLeased()
		_, end := term(t, options(t, kv, workers), "w1")
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		end()
		_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Roster(pool), Data: []byte("odd")}}})
		assert.NilError(t, err)
		_, end = term(t, options(t, kv, workers), "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.ranTwice())
		assert.Equal(t, workers.on("w2"), 1)
		end()
	})
}
