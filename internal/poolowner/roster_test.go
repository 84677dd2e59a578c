package poolowner_test

import (
	"context"
	"errors"
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
	pool       = "pool"
	jobID      = "00000000000000af"
	settleTime = 200 * time.Millisecond
)

var errSilent = errors.New("no answer")

// fakeWorkers run each task until it is stopped.
type fakeWorkers struct {
	mu      sync.Mutex
	running map[string][]scheduler.RunningTask
	// duplicated is set once a task runs on two workers.
	duplicated bool
	// silent is a worker that does not answer.
	silent string
}

// setSilent makes one worker silent, or none if it is empty.
func (f *fakeWorkers) setSilent(worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = worker
}

func (f *fakeWorkers) Start(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, runs := range f.running {
		f.duplicated = f.duplicated || slices.ContainsFunc(runs, func(r scheduler.RunningTask) bool { return r.Task == o.Task })
	}
	f.running[o.Worker] = append(f.running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run})
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (f *fakeWorkers) Stop(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (f *fakeWorkers) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (f *fakeWorkers) Forget(string) {}

func (f *fakeWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	select {
	case <-ctx.Done():
		return scheduler.Report{}, ctx.Err()
	case <-time.After(max(r.Wait, 20*time.Millisecond)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent == r.Worker {
		return scheduler.Report{}, errSilent
	}
	return scheduler.Report{
		Worker: r.Worker, Clock: time.Now().UnixMilli(), Sent: sent, Received: time.Now(), LastSeen: r.LastSeen, Until: r.Until,
		Running: slices.Clone(f.running[r.Worker]),
	}, nil
}

func (f *fakeWorkers) runningOn(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running[worker])
}

func (f *fakeWorkers) sawDuplicate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicated
}

// newOptions acquires the pool under a new fence and returns the options of its owner.
func newOptions(t *testing.T, kv store.Transactor, workers poolowner.Workers) poolowner.Options {
	t.Helper()
	fence, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Owner(pool), Data: []byte("owner")}}})
	assert.NilError(t, err)
	quiet := slog.New(slog.DiscardHandler)
	return poolowner.Options{
		Pool: pool, Workers: workers, Jobs: jobstore.New(kv, time.Now, quiet, jobstore.Options{}),
		Config:    testConfig(fence),
		Intents:   func(context.Context) (poolowner.Intents, error) { return poolowner.Intents{}, nil },
		Confirmed: func() bool { return true }, ConfirmedFrom: time.Now, Confirm: func(context.Context) bool { return true }, Replaced: func() {},
		Clock: time.Now, Log: quiet,
	}
}

// testConfig returns the configuration of an owner with a fence.
func testConfig(fence uint64) scheduler.Config {
	return scheduler.Config{
		Fence: fence, Lease: 6 * time.Second, UnconfirmedLease: 2 * time.Second, MaxLease: 10 * time.Second, StopTime: time.Second, GangTime: time.Second,
		Retention: time.Minute, CrossRackFactor: 2, SaveInterval: time.Second, RestoreTime: time.Second, Notice: time.Second,
		PaceDelay: time.Second, HarmTime: time.Second, DrainTime: time.Second,
	}
}

// startOwner runs an owner of the pool; stop ends its term and waits for it.
func startOwner(t *testing.T, o poolowner.Options, listed ...string) (owner *poolowner.Owner, stop func()) {
	t.Helper()
	owner = poolowner.New(o)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- owner.Run(ctx) }()
	owner.SetQueues(ctx, &queue.Table{Queues: []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}}})
	owner.SetWorkers(testWorkers(listed))
	return owner, func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

// newJob returns a job whose tasks need a worker each.
func newJob(id string, tasks int64) *pb.JobRecord {
	return &pb.JobRecord{
		Id: id, Pool: pool, Queue: "q", AcceptedMs: time.Now().UnixMilli(),
		Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: tasks, CpuMilli: 3000, EstimateMs: 60_000}}},
	}
}

// acceptJob stores a job whose tasks need a worker each.
func acceptJob(t *testing.T, kv store.Transactor, tasks int64) *pb.JobRecord {
	t.Helper()
	return accept(t, kv, newJob(jobID, tasks))
}

// acceptNamed stores a job with one task.
func acceptNamed(t *testing.T, kv store.Transactor, id string) {
	t.Helper()
	accept(t, kv, newJob(id, 1))
}

func accept(t *testing.T, kv store.Transactor, job *pb.JobRecord) *pb.JobRecord {
	t.Helper()
	jobs := jobstore.New(kv, time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
	accepting, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, jobs.Run(accepting)) })
	assert.NilError(t, jobs.Accept(t.Context(), job))
	stop()
	group.Wait()
	return job
}

func testWorkers(ids []string) []scheduler.Worker {
	all := make([]scheduler.Worker, 0, len(ids))
	for _, id := range ids {
		all = append(all, scheduler.Worker{ID: id, Address: id, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
	}
	return all
}

// A new owner does not start a task again if the worker that runs it is missing from the registry because its entry expired.
func TestTakeoverKnowsUnlistedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		_, stop = startOwner(t, newOptions(t, kv, workers), "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 0)
		stop()
	})
}

// rosterRecorder records the worker ids of each roster written.
type rosterRecorder struct {
	poolowner.Jobs
	written [][]string
}

func (r *rosterRecorder) SetRoster(
	ctx context.Context, pool string, fence uint64, roster *pb.Roster, version uint64,
) (uint64, error) {
	r.written = append(r.written, lo.Map(roster.GetWorkers(), func(w *pb.RosterWorker, _ int) string { return w.GetId() }))
	return r.Jobs.SetRoster(ctx, pool, fence, roster, version)
}

// An owner that stops before the scheduler has reported which workers are occupied does not write a roster without them.
func TestEndingOwnerRecordsNoIncompleteRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		o := newOptions(t, kv, workers)
		jobs := &rosterRecorder{Jobs: o.Jobs}
		o.Jobs = jobs
		var blocked atomic.Bool
		unblocked := make(chan struct{})
		o.Clock = func() time.Time {
			if blocked.Load() {
				<-unblocked
			}
			return time.Now()
		}
		owner, stop := startOwner(t, o, "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		blocked.Store(true)
		time.Sleep(2 * time.Second)
		owner.SetWorkers(testWorkers([]string{"w2"}))
		time.AfterFunc(settleTime, func() {
			synctest.Wait()
			close(unblocked)
		})
		stop()
		assert.DeepEqual(t, jobs.written, [][]string{{"w1"}})
	})
}

// A worker that was removed from the roster by a write whose answer was lost is recorded again before it is used.
func TestRosterIsRecordedAgainAfterALostAnswer(t *testing.T) {
	tests := map[string]memtxn.Outcome{"later answers lost": memtxn.LoseAnswer, "later writes refused": memtxn.Refuse}
	for name, later := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLostAnswer(t, later) })
		})
	}
}

// testLostAnswer loses the answer to the first write that removes w1 from the roster; later is the outcome of the other
// writes.
func testLostAnswer(t *testing.T, later memtxn.Outcome) {
	shared := memtxn.New()
	workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
	owner, stop := startOwner(t, newOptions(t, shared.Client("owner"), workers), "w1", "w2")
	time.Sleep(settleTime)
	outcome := memtxn.LoseAnswer
	shared.SetFaults(memtxn.Faults{Plan: func(client string, call memtxn.Call) memtxn.Outcome {
		if client != "owner" || call != memtxn.CallCommit {
			return memtxn.Serve
		}
		defer func() { outcome = later }()
		return outcome
	}})
	owner.SetWorkers(testWorkers([]string{"w2"}))
	time.Sleep(settleTime)
	shared.SetFaults(memtxn.Faults{})
	owner.SetWorkers(testWorkers([]string{"w1", "w2"}))
	time.Sleep(settleTime)
	acceptJob(t, shared.Client("host"), 2)
	time.Sleep(time.Second)
	assert.Equal(t, workers.runningOn("w1"), 1)
	assert.Equal(t, workers.runningOn("w2"), 1)
	stop()
	_, stop = startOwner(t, newOptions(t, shared.Client("owner"), workers), "w2", "w3")
	time.Sleep(time.Minute)
	assert.Assert(t, !workers.sawDuplicate())
	stop()
}
