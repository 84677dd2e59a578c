package poolowner_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	pool      = "pool"
	jobID     = "00000000000000af"
	pastTerms = 200 * time.Millisecond
)

// endless run each task until it is stopped.
type endless struct {
	mu      sync.Mutex
	running map[string][]scheduler.RunningTask
	// twice is set once a task runs on two workers.
	twice bool
}

func (e *endless) Start(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.running {
		e.twice = e.twice || slices.ContainsFunc(runs, func(r scheduler.RunningTask) bool { return r.Task == o.Task })
	}
	e.running[o.Worker] = append(e.running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run})
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (e *endless) Stop(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (e *endless) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (e *endless) Forget(string) {}

func (e *endless) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	select {
	case <-ctx.Done():
		return scheduler.Report{}, ctx.Err()
	case <-time.After(max(r.Wait, 20*time.Millisecond)):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return scheduler.Report{
		Worker: r.Worker, Clock: time.Now().UnixMilli(), Sent: sent, Received: time.Now(), LastSeen: r.LastSeen, Until: r.Until,
		Running: slices.Clone(e.running[r.Worker]),
	}, nil
}

func (e *endless) on(worker string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running[worker])
}

func (e *endless) ranTwice() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.twice
}

// options are those of an owner that takes the pool now.
func options(t *testing.T, kv store.Transactor, workers poolowner.Workers) poolowner.Options {
	t.Helper()
	fence, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Owner(pool), Data: []byte("owner")}}})
	assert.NilError(t, err)
	quiet := slog.New(slog.DiscardHandler)
	return poolowner.Options{
		Pool: pool, Workers: workers, Jobs: jobstore.New(kv, time.Now, quiet, jobstore.Options{}),
		Config: scheduler.Config{
			Fence: fence, Lease: 6 * time.Second, MaxLease: 10 * time.Second, StopTime: time.Second, GangTime: time.Second,
			Retention: time.Minute, CrossRackFactor: 2, SaveInterval: time.Second, RestoreTime: time.Second, Notice: time.Second,
			PaceDelay: time.Second, HarmTime: time.Second, DrainTime: time.Second,
		},
		Intents:   func(context.Context) (poolowner.Intents, error) { return poolowner.Intents{}, nil },
		Confirmed: func() bool { return true }, Replaced: func() {}, Clock: time.Now, Log: quiet,
	}
}

// term runs an owner of the pool; end ends it and waits for it.
func term(t *testing.T, o poolowner.Options, listed ...string) (own *poolowner.Owner, end func()) {
	t.Helper()
	own = poolowner.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- own.Run(ctx) }()
	own.SetQueues(ctx, &queue.Table{Queues: []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}}})
	own.SetWorkers(workersOf(listed))
	return own, func() {
		cancel()
		assert.NilError(t, <-ended)
	}
}

// accept stores a job whose tasks take a worker each.
func accept(t *testing.T, kv store.Transactor, tasks int64) *pb.JobRecord {
	t.Helper()
	incoming := jobstore.New(kv, time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
	accepting, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, incoming.Run(accepting)) })
	job := &pb.JobRecord{
		Id: jobID, Pool: pool, Queue: "q", AcceptedMs: time.Now().UnixMilli(),
		Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: tasks, CpuMilli: 3000, EstimateMs: 60_000}}},
	}
	assert.NilError(t, incoming.Accept(t.Context(), job))
	stop()
	group.Wait()
	return job
}

func workersOf(ids []string) []scheduler.Worker {
	all := make([]scheduler.Worker, 0, len(ids))
	for _, id := range ids {
		all = append(all, scheduler.Worker{ID: id, Address: id, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
	}
	return all
}

// An owner whose list lacks a worker that runs a task, since its entry has expired, does not start the task again.
func TestTakeoverKnowsUnlistedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		accept(t, kv, 1)
		workers := &endless{running: make(map[string][]scheduler.RunningTask)}
		_, end := term(t, options(t, kv, workers), "w1")
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		end()
		_, end = term(t, options(t, kv, workers), "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.ranTwice())
		assert.Equal(t, workers.on("w2"), 0)
		end()
	})
}

// rosters keeps which workers were recorded.
type rosters struct {
	poolowner.Jobs
	written [][]string
}

func (r *rosters) SetRoster(
	ctx context.Context, pool string, fence uint64, roster *pb.Roster, version uint64,
) (uint64, error) {
	r.written = append(r.written, lo.Map(roster.GetWorkers(), func(w *pb.RosterWorker, _ int) string { return w.GetId() }))
	return r.Jobs.SetRoster(ctx, pool, fence, roster, version)
}

// An owner that ends before it learns which workers are occupied records no roster that lacks them.
func TestEndingOwnerRecordsNoIncompleteRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		accept(t, kv, 1)
		workers := &endless{running: make(map[string][]scheduler.RunningTask)}
		o := options(t, kv, workers)
		jobs := &rosters{Jobs: o.Jobs}
		o.Jobs = jobs
		var stuck atomic.Bool
		released := make(chan struct{})
		o.Clock = func() time.Time {
			if stuck.Load() {
				<-released
			}
			return time.Now()
		}
		own, end := term(t, o, "w1")
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		stuck.Store(true)
		time.Sleep(2 * time.Second)
		own.SetWorkers(workersOf([]string{"w2"}))
		time.AfterFunc(pastTerms, func() {
			synctest.Wait()
			close(released)
		})
		end()
		assert.DeepEqual(t, jobs.written, [][]string{{"w1"}})
	})
}

// A worker that was taken from the roster by a write without an answer is recorded again before it is used.
func TestRosterIsRecordedAgainAfterALostAnswer(t *testing.T) {
	tests := map[string]memtxn.Outcome{"no answers": memtxn.LoseAnswer, "then refusals": memtxn.Refuse}
	for name, later := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLostAnswer(t, later) })
		})
	}
}

// playLostAnswer loses the answer to the first write that takes w1 from the roster; later becomes of the others.
func playLostAnswer(t *testing.T, later memtxn.Outcome) {
	shared := memtxn.New()
	workers := &endless{running: make(map[string][]scheduler.RunningTask)}
	own, end := term(t, options(t, shared.Client("owner"), workers), "w1", "w2")
	time.Sleep(pastTerms)
	outcome := memtxn.LoseAnswer
	shared.SetFaults(memtxn.Faults{Plan: func(client string, call memtxn.Call) memtxn.Outcome {
		if client != "owner" || call != memtxn.CallCommit {
			return memtxn.Serve
		}
		defer func() { outcome = later }()
		return outcome
	}})
	own.SetWorkers(workersOf([]string{"w2"}))
	time.Sleep(pastTerms)
	shared.SetFaults(memtxn.Faults{})
	own.SetWorkers(workersOf([]string{"w1", "w2"}))
	time.Sleep(pastTerms)
	accept(t, shared.Client("host"), 2)
	time.Sleep(time.Second)
	assert.Equal(t, workers.on("w1"), 1)
	assert.Equal(t, workers.on("w2"), 1)
	end()
	_, end = term(t, options(t, shared.Client("owner"), workers), "w2", "w3")
	time.Sleep(time.Minute)
	assert.Assert(t, !workers.ranTwice())
	end()
}
