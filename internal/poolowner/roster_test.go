package poolowner_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

// term runs an owner of the pool; the returned function ends it.
func term(t *testing.T, kv store.Transactor, workers poolowner.Workers, listed ...string) func() {
	t.Helper()
	fence, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Owner(pool), Data: []byte("owner")}}})
	assert.NilError(t, err)
	quiet := slog.New(slog.DiscardHandler)
	own := poolowner.New(poolowner.Options{
		Pool: pool, Workers: workers, Jobs: jobstore.New(kv, time.Now, quiet, jobstore.Options{}),
		Config: scheduler.Config{
			Fence: fence, Lease: 6 * time.Second, MaxLease: 10 * time.Second, StopTime: time.Second, GangTime: time.Second,
			Retention: time.Minute, CrossRackFactor: 2, SaveInterval: time.Second, RestoreTime: time.Second, Notice: time.Second,
			PaceDelay: time.Second, HarmTime: time.Second, DrainTime: time.Second,
		},
		Intents:   func(context.Context) (poolowner.Intents, error) { return poolowner.Intents{}, nil },
		Confirmed: func() bool { return true }, Replaced: func() {}, Clock: time.Now, Log: quiet,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- own.Run(ctx) }()
	own.SetQueues(ctx, &queue.Table{Queues: []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}}})
	own.SetWorkers(workersOf(listed))
	return func() {
		cancel()
		assert.NilError(t, <-ended)
	}
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
		shared := memtxn.New()
		kv := shared.Client("host")
		incoming := jobstore.New(kv, time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		accepting, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, incoming.Run(accepting)) })
		assert.NilError(t, incoming.Accept(t.Context(), &pb.JobRecord{
			Id: jobID, Pool: pool, Queue: "q", AcceptedMs: time.Now().UnixMilli(),
			Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, EstimateMs: 60_000}}},
		}))
		workers := &endless{running: make(map[string][]scheduler.RunningTask)}
		end := term(t, kv, workers, "w1")
		time.Sleep(pastTerms)
		assert.Equal(t, workers.on("w1"), 1)
		end()
		end = term(t, kv, workers, "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.twice)
		assert.Equal(t, workers.on("w2"), 0)
		end()
		stop()
		group.Wait()
	})
}
