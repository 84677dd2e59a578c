package scheduler_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// hidingPool is a pool after a takeover. All tasks of the batch job "done" have ended on w1, which lists endsListed ends at once.
type hidingPool struct {
	*testPool
	ends []scheduler.EndedRun
	// records are the latest versions of the jobs' records that are not durable, acked is what w1 was last asked to forget.
	records map[string]uint64
	acked   int64
	// started holds the jobs of the starts.
	started []string
}

const endsListed = 3

func newHidingPool(ends int) *hidingPool {
	h := &hidingPool{testPool: &testPool{now: time.UnixMilli(simEpoch), clock: 1000}, records: map[string]uint64{}}
	cfg := simConfig
	cfg.Fence, cfg.MaxEndsPerReport = 7, endsListed
	h.pool = scheduler.New(cfg)
	h.pool.SetQueues(h.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
	job := &pb.JobRecord{Id: "done", Queue: "q", AcceptedMs: h.now.UnixMilli(), Spec: &pb.JobSpec{
		Steps: []*pb.JobStep{{Count: int64(ends), CpuMilli: 10, EstimateMs: 500}},
	}}
	h.pool.Load(h.now, []*pb.JobRecord{job}, nil, nil)
	h.pool.SetWorkers(h.now, lo.Map([]string{"w1", "w2"}, func(id string, _ int) scheduler.Worker {
		return scheduler.Worker{ID: id, Address: id, Host: "m-" + id, Born: 5, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}
	}))
	for i := range ends {
		h.ends = append(h.ends, scheduler.EndedRun{
			Number: int64(i + 1), Task: scheduler.TaskID{Job: "done", Index: i}, Run: 100 + int64(i), End: scheduler.EndSucceeded,
		})
	}
	h.add("lasts", &pb.JobStep{Count: 1, CpuMilli: 10, Persistent: true})
	h.add("batch", &pb.JobStep{Count: 1, CpuMilli: 10, EstimateMs: 500})
	return h
}

// hold answers a hold of a worker and steps.
func (h *hidingPool) hold(worker string) {
	h.advance(50 * time.Millisecond)
	next := h.pool.Hold(worker, h.now)
	var ended []scheduler.EndedRun
	if worker == "w1" {
		h.acked = max(h.acked, next.LastSeen)
		ended = lo.Filter(h.ends, func(e scheduler.EndedRun, _ int) bool { return e.Number > h.acked })
		ended = ended[:min(len(ended), endsListed)]
	}
	h.report(worker, nil, ended)
	h.step()
}

func (h *hidingPool) step() {
	a := h.pool.Step(h.now)
	for _, r := range a.Records {
		h.records[r.Progress.GetId()] = r.Version
	}
	for _, o := range a.Orders {
		if o.Kind == scheduler.OrderStart {
			h.started = append(h.started, o.Task.Job)
		}
	}
}

// record makes all records durable.
func (h *hidingPool) record() {
	for id, version := range h.records {
		h.pool.Recorded(h.now, id, version)
		delete(h.records, id)
	}
}

// Failure: a new owner took the first 500 ends that a worker listed for all of them, and started the tasks again that had ended beyond them.
func TestEndsBeyondTheFirstListAreNotStartedAgain(t *testing.T) {
	h := newHidingPool(2*endsListed + 1)
	h.hold("w1")
	h.hold("w2")
	for range 20 { // the store does not answer
		h.hold("w1")
		h.hold("w2")
	}
	assert.DeepEqual(t, h.started, []string{"lasts"})
	assert.Assert(t, slices.ContainsFunc(h.pool.Explain("batch"), func(line string) bool {
		return strings.Contains(line, "worker w1 has not listed all ended runs")
	}), "%v", h.pool.Explain("batch"))
	for range 10 {
		h.record()
		h.hold("w1")
		h.hold("w2")
	}
	h.record()
	assert.DeepEqual(t, h.started, []string{"lasts", "batch"})
	assert.Equal(t, h.pool.State("done"), pb.JobState_JOB_STATE_COMPLETED)
	assert.Equal(t, h.acked, int64(len(h.ends)))
}

// Failure: a worker that had listed only its first ends fell silent, and tasks that had ended there were started again while its lease,
// which the new owner had extended, went on.
func TestHiddenEndsOfASilentWorkerAreAwaitedForItsLease(t *testing.T) {
	h := newHidingPool(2 * endsListed)
	h.hold("w2")
	h.advance(3 * time.Second)
	h.hold("w1")
	h.hold("w1")
	extended := h.now
	for h.now.Sub(extended) < simConfig.Lease {
		h.hold("w2")
		assert.Assert(t, !slices.Contains(h.started, "done"), "started %s after the lease was extended", h.now.Sub(extended))
	}
	for h.now.Sub(extended) < 2*simConfig.MaxLease {
		h.hold("w2")
	}
	assert.Assert(t, slices.Contains(h.started, "done"))
}

// Failure: a worker that had listed only its first ends was sealed, dropped from the roster or ordered away, although nobody else knew
// of the ends beyond them.
func TestWorkerWithHiddenEndsIsNeitherSealedNorDropped(t *testing.T) {
	h := newHidingPool(2 * endsListed)
	h.pool.Evacuate(h.now, []string{"w1"})
	h.hold("w2")
	h.hold("w1")
	h.record()
	h.step()
	w1 := func() *pb.WorkerLoad { return h.pool.Status(h.now).GetWorkers()[0] }
	assert.Assert(t, !w1().GetEvacuated() && !w1().GetStoppable())
	assert.Assert(t, h.pool.Occupied("w1"))
	silentFrom := h.now
	for h.now.Sub(silentFrom) < simConfig.Lease {
		h.hold("w2")
		assert.Equal(t, len(h.pool.Seal(h.now)), 0)
	}
	for range 4 {
		h.hold("w1")
		h.record()
	}
	assert.Assert(t, w1().GetEvacuated() && w1().GetStoppable())
	assert.Assert(t, !h.pool.Occupied("w1"))
}

// Pattern: workers list a few ends at once, and progress is recorded slowly, so that owners that succeed each other learn of ends late.
func TestHiddenEndsOverTakeovers(t *testing.T) {
	hidden := 0
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.takeovers = rapid.IntRange(2, 5).Draw(t, "owners")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "workers"), f)
		s.endsPerReport = rapid.IntRange(2, 4).Draw(t, "ends per report")
		s.recordDelay = int64(rapid.IntRange(0, 800).Draw(t, "record delay"))
		s.onDecision = func(d scheduler.Decision) {
			if d.Kind == scheduler.DecisionEndsHidden {
				hidden++
			}
		}
		addMixedJobs(s, rapid.IntRange(10, 40).Draw(t, "jobs"))
		for i := range rapid.IntRange(0, 5).Draw(t, "wide jobs") {
			s.addJob(int64(2000*i), &pb.JobSpec{Steps: []*pb.JobStep{{Count: 30, CpuMilli: 200, EstimateMs: 300}}})
		}
		for _, violation := range s.run(s.faultPeriod(), 120_000) {
			t.Error(violation)
		}
	})
	assert.Assert(t, hidden > 0)
}
