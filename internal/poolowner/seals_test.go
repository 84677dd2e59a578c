package poolowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// recordedSeals returns the sealed workers of the roster.
func recordedSeals(t *testing.T, kv store.Transactor) map[string]*pb.RosterWorker {
	t.Helper()
	roster, _, err := jobstore.New(kv, time.Now, nil, jobstore.Options{}).Roster(t.Context(), pool)
	assert.NilError(t, err)
	sealed := map[string]*pb.RosterWorker{}
	for _, w := range roster.GetWorkers() {
		if w.GetSealed() {
			sealed[w.GetId()] = w
		}
	}
	return sealed
}

// Guards against an owner that starts nothing until the lease of a silent worker has expired, and against one that starts there
// what it may run already, or before the record says that nothing does.
func TestTakeoverOfASealedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		_, stop = startOwner(t, newOptions(t, kv, workers), "w1", "w2", "w3")
		time.Sleep(settleTime)
		workers.setSilent("w1")
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(recordedSeals(t, kv)["w1"].GetRuns()), 1)
		stop()

		owner, stop := startOwner(t, newOptions(t, kv, workers), "w1", "w2", "w3")
		time.Sleep(settleTime)
		owner.Offer([]*pb.JobRecord{newJob("00000000000000b0", 2)}, nil)
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 2)
		assert.Equal(t, len(recordedSeals(t, kv)), 1)

		workers.setSilent("")
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(recordedSeals(t, kv)), 0)
		assert.Equal(t, workers.runningOn("w1"), 1)
		assert.Assert(t, !workers.sawDuplicate())
		stop()
	})
}

// Guards against a worker that stays out of use after it was silent, because the record could not be written meanwhile.
func TestSealedWorkerReturnsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		owner, stop := startOwner(t, newOptions(t, shared.Client("owner"), workers), "w1", "w2", "w3")
		time.Sleep(settleTime)
		shared.SetFaults(memtxn.Faults{Plan: func(string, memtxn.Call) memtxn.Outcome { return memtxn.Refuse }})
		workers.setSilent("w1")
		time.Sleep(3 * time.Second)
		workers.setSilent("")
		time.Sleep(2 * time.Second)
		owner.Offer([]*pb.JobRecord{newJob("00000000000000b0", 3)}, nil)
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		shared.SetFaults(memtxn.Faults{})
		stop()
	})
}

// Guards against a takeover that waits for an ended worker, or knows nothing of the unanswered start that the next incarnation may
// execute, or waits for what has ended with the worker: the seal is recorded at once, with what remains.
func TestTakeoverOfAnEndedWorkerWithAnUnansweredStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		workers := &bornWorkers{leaseWorkers: newLeaseWorkers()}
		workers.late.Store(&scheduler.Order{})
		smallJob := func(id string) *pb.JobRecord {
			job := newJob(id, 1)
			job.Spec.Steps[0].CpuMilli = 1000
			return accept(t, kv, job)
		}
		smallJob("00000000000000b0")
		o := newOptions(t, kv, workers)
		owner, stop := startOwner(t, o, "w1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, workers.runningOn("w1"), 1)
		workers.late.Store(nil)
		unanswered := smallJob("00000000000000b1")
		owner.Offer([]*pb.JobRecord{unanswered}, nil)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, workers.late.Load().Task.Job, unanswered.GetId())
		workers.setUnreachable(o.Config.Fence, "w1")
		owner.SetWorkers(testWorkers([]string{"w1", "w2", "w3"}))
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(recordedSeals(t, kv)["w1"].GetRuns()), 2)

		_, ok := owner.Status(t.Context(), &pb.PoolStatusRequest{
			FleetFence: 1, Sequence: 1, Ended: []*pb.WorkerIncarnation{{Id: "w1", Born: 1000}},
		})
		assert.Assert(t, ok)
		var runs []*pb.SealedRun
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			runs = recordedSeals(t, kv)["w1"].GetRuns()
			assert.Assert(t, len(runs) > 0)
		}
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].GetJob(), unanswered.GetId())
		owner.SetWorkers(testWorkers([]string{"w2", "w3"}))
		time.Sleep(settleTime)
		stop()

		o = newOptions(t, kv, workers)
		workers.setUnreachable(o.Config.Fence, "w1")
		owner, stop = startOwner(t, o, "w2", "w3")
		time.Sleep(settleTime)
		owner.Offer([]*pb.JobRecord{smallJob("00000000000000b2")}, nil)
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 2)
		time.Sleep(5 * time.Second)
		assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 2)
		time.Sleep(10 * time.Second)
		assert.Equal(t, workers.runningOn("w2")+workers.runningOn("w3"), 3)
		stop()
	})
}
