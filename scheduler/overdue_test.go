package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// maxStepTime is the time within which urgent work has to start. While a step lasts, no lease is renewed and nothing starts.
const maxStepTime = time.Second

// processorTime returns the processor time that the process has used. Unlike the time of day, it does not advance while other
// processes have the processor.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var used syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// checkStepTime calls a function and fails if it takes maxStepTime or more.
func checkStepTime(t *testing.T, what string, do func()) {
	t.Helper()
	began := processorTime(t)
	do()
	took := processorTime(t) - began
	assert.Assert(t, took < maxStepTime, "%s: %v", what, took)
}

// overdueJob is a job whose occurrences were all due long ago.
func overdueJob(id string, occurrences int64) *pb.JobRecord {
	return &pb.JobRecord{Id: id, Queue: "q", AcceptedMs: simEpoch, Spec: &pb.JobSpec{
		RepeatCount: occurrences, StartAtMs: 1, IntervalMs: 1,
		Steps: []*pb.JobStep{{Count: 1, CpuMilli: 100, MemoryMb: 1, EstimateMs: 100}},
	}}
}

// finishStarted answers the starts of one step, ends all of them and returns their tasks.
func (b *testPool) finishStarted(t *testing.T) (tasks []scheduler.TaskID, records []scheduler.Record) {
	t.Helper()
	actions := b.pool.Step(b.now)
	ends := map[string][]scheduler.EndedRun{}
	for _, o := range actions.Orders {
		assert.Equal(t, o.Kind, scheduler.OrderStart)
		b.lastEnd++
		ends[o.Worker] = append(ends[o.Worker], scheduler.EndedRun{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded})
		tasks = append(tasks, o.Task)
	}
	b.advance(100 * time.Millisecond)
	for worker, ended := range ends {
		b.report(worker, nil, ended)
	}
	for _, r := range actions.Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	return tasks, actions.Records
}

// Guards against an owner that does nothing else, while the leases of its workers lapse, as one job has very many overdue times.
func TestManyOverdueOccurrencesDelayNothing(t *testing.T) {
	b := newTestPool("w1", "w2")
	checkStepTime(t, "add", func() {
		for i := range 20 {
			b.pool.Add(b.now, overdueJob("overdue"+strconv.Itoa(i), 525_600))
		}
	})
	b.add("other", &pb.JobStep{Count: 1, CpuMilli: 1000})
	assert.Assert(t, b.pool.Status(b.now).GetWaitingTasks() < 25_000)
	for range 100 {
		var tasks []scheduler.TaskID
		var records []scheduler.Record
		checkStepTime(t, "step", func() { tasks, records = b.finishStarted(t) })
		for _, r := range records {
			assert.Assert(t, proto.Size(r.Progress) < 64<<10, "%d bytes", proto.Size(r.Progress))
		}
		if slices.ContainsFunc(tasks, func(id scheduler.TaskID) bool { return id.Job == "other" }) {
			return
		}
	}
	t.Fatal("the other job has not started")
}

// Guards against overdue occurrences that are left out, started twice, or forgotten by the next owner, because only some are open
// at once. Every second term begins from a record that lists completed occurrences as earlier versions did.
func TestOverdueOccurrencesRunOnce(t *testing.T) {
	const occurrences = 6000
	rec := overdueJob("overdue", occurrences)
	var progress *pb.JobProgress
	run := map[int]bool{}
	for term := 0; len(run) < occurrences; term++ {
		assert.Assert(t, term < 100)
		b := newTestPool("w1", "w2", "w3")
		b.pool = scheduler.New(scheduler.Config{Fence: uint64(term + 8), Lease: time.Minute, MaxLease: time.Minute, Retention: time.Hour})
		b.pool.Load(b.now, []*pb.JobRecord{rec}, slices.DeleteFunc([]*pb.JobProgress{progress}, func(p *pb.JobProgress) bool { return p == nil }), nil)
		b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Capacity: scheduler.Resources{CPUMilli: 8000, MemoryMB: 4000}}})
		b.report("w1", nil, nil)
		for range 20 {
			tasks, records := b.finishStarted(t)
			for _, id := range tasks {
				assert.Assert(t, !run[id.Occurrence], "term %d: occurrence %d ran twice", term, id.Occurrence)
				run[id.Occurrence] = true
			}
			for _, r := range records {
				progress = r.Progress
			}
		}
		b.advance(time.Second)
		for _, r := range b.pool.Step(b.now).Records {
			progress = r.Progress
		}
		if term%2 == 1 {
			progress = asEarlierVersion(progress)
		}
		if len(run) == occurrences {
			assert.Equal(t, progress.GetState(), pb.JobState_JOB_STATE_COMPLETED)
			assert.Equal(t, progress.GetCounts().GetSucceeded(), int64(occurrences))
		}
	}
}

// asEarlierVersion lists each completed occurrence, without steps.
func asEarlierVersion(p *pb.JobProgress) *pb.JobProgress {
	p = proto.CloneOf(p)
	for _, r := range p.GetCompleted() {
		for n := r.GetFirst(); n < r.GetFirst()+r.GetCount(); n++ {
			p.Occurrences = append(p.Occurrences, &pb.OccurrenceProgress{Occurrence: n})
		}
	}
	p.Completed = nil
	return p
}

// Guards against steps whose time grows with the square of the tasks of a job: when it is added, when its tasks wait, when it is
// cancelled, and when the next owner loads it half done.
func TestJobsOfManyTasksDelayNothing(t *testing.T) {
	const tasks = 100_000
	b := newTestPool("w1", "w2")
	checkStepTime(t, "add", func() { b.add("large", &pb.JobStep{Count: tasks, CpuMilli: 100}); b.pool.Step(b.now) })
	for range 10 {
		checkStepTime(t, "step", func() { b.finishStarted(t) })
	}
	checkStepTime(t, "cancel", func() { b.pool.Cancel(b.now, "large"); b.pool.Step(b.now) })
	half := make([]byte, tasks/8)
	for i := range half {
		half[i] = 0x55
	}
	loaded := scheduler.New(scheduler.Config{Fence: 9, Lease: time.Minute, MaxLease: time.Minute})
	checkStepTime(t, "load", func() {
		loaded.Load(b.now, []*pb.JobRecord{{Id: "large", Queue: "q", Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: tasks, CpuMilli: 100}}}}},
			[]*pb.JobProgress{{Id: "large", Occurrences: []*pb.OccurrenceProgress{{Steps: []*pb.StepProgress{{Succeeded: half}}}}}}, nil)
		loaded.Step(b.now)
	})
	assert.Equal(t, loaded.Status(b.now).GetWaitingTasks(), int64(tasks/2))
}

// BenchmarkStepOverdue measures a step of a pool with a job that has the given number of overdue occurrences, or tasks.
func BenchmarkStepOverdue(b *testing.B) {
	for _, n := range []int64{1, 1000, 500_000} {
		b.Run(fmt.Sprintf("%d occurrences", n), func(b *testing.B) { benchAddAndStep(b, overdueJob("j", n)) })
	}
	b.Run("100000 tasks", func(b *testing.B) {
		benchAddAndStep(b, &pb.JobRecord{Id: "j", Queue: "q", AcceptedMs: simEpoch, Spec: &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 100_000, CpuMilli: 100, EstimateMs: 100}},
		}})
	})
}

func benchAddAndStep(b *testing.B, rec *pb.JobRecord) {
	for b.Loop() {
		b.StopTimer()
		p := newTestPool("w1", "w2", "w3")
		b.StartTimer()
		p.pool.Add(p.now, rec)
		p.pool.Step(p.now)
	}
}
