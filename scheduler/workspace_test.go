package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
)

func (b *testPool) addFor(workspace, id string, steps ...*pb.JobStep) {
	b.pool.Add(b.now, &pb.JobRecord{
		Id: id, Queue: "q", Workspace: workspace, AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: steps},
	})
}

// limitCPU limits the CPU of workspace a.
func (b *testPool) limitCPU(cpuMilli int64) {
	b.pool.SetWorkspaceLimits(b.now, map[string]scheduler.Resources{
		"a": {CPUMilli: cpuMilli, MemoryMB: scheduler.NoLimit, GPU: scheduler.NoLimit},
	})
}

// usage returns the usage of workspace a.
func (b *testPool) usage() scheduler.WorkspaceUsage {
	for _, u := range b.pool.WorkspaceUsage(b.now) {
		if u.Workspace == "a" {
			return u
		}
	}
	return scheduler.WorkspaceUsage{}
}

// starts returns how many starts of each job the next Step orders, and reports all runs as running.
func (b *testPool) starts(running map[string][]scheduler.RunningTask) map[string]int {
	out := map[string]int{}
	for _, o := range b.pool.Step(b.now).Orders {
		if o.Kind != scheduler.OrderStart {
			out["stopped "+o.Task.Job]++
			continue
		}
		out[o.Task.Job]++
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 100})
	}
	b.advance(10 * time.Millisecond)
	for worker, list := range running {
		b.report(worker, list, nil)
	}
	return out
}

// endFirst ends the first run of a worker.
func (b *testPool) endFirst(running map[string][]scheduler.RunningTask, worker string, end scheduler.RunEnd) {
	b.lastEnd++
	first := running[worker][0]
	running[worker] = running[worker][1:]
	b.report(worker, running[worker], []scheduler.EndedRun{{Number: b.lastEnd, Task: first.Task, Run: first.Run, End: end}})
}

// A workspace that sends eight times its usual load delays itself only. Load: 12 cores; workspace a usually sends one core of
// work, for 6 s eight, with a limit of four; b sends four cores, and the jobs of no workspace one.
func TestWorkspaceAtEightTimesItsLoadStaysWithinItsLimit(t *testing.T) {
	c := newWorkloadPool()
	c.limitCPU(4000)
	task := &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 400}
	added := map[string]time.Time{}
	longest, started := map[string]time.Duration{}, 0
	for i := range 300 {
		for n, workspace := range []string{"a", "a", "b", ""} {
			if i%5 == 0 && (workspace != "" || i%20 == 0) {
				id := fmt.Sprintf("%s-%d-%d", workspace, i, n)
				c.addFor(workspace, id, task)
				added[id] = c.now
			}
		}
		c.tick(func(string) time.Duration { return 400 * time.Millisecond })
		assert.Assert(t, c.usage().Used.CPUMilli <= 4000)
		status := c.pool.Status(c.now)
		assert.Assert(t, status.GetWaitingTasks() <= 6, "tasks that wait for the limit count as backlog: %d", status.GetWaitingTasks())
	}
	for id, at := range c.startedAt {
		name, _, _ := strings.Cut(id, "-")
		longest[name] = max(longest[name], at.Sub(added[id]))
		if name == "a" {
			started++
		}
	}
	assert.Assert(t, longest["b"] <= 100*time.Millisecond && longest[""] <= 100*time.Millisecond, "%v", longest)
	assert.Assert(t, started >= 50 && c.usage().Waiting.CPUMilli > 40_000, "%d started, %+v", started, c.usage())
	assert.Assert(t, c.usage().Next.CPUMilli == 1000)
}

// A gang starts whole within the limit or not at all, and smaller tasks of its workspace do not keep it waiting for ever.
// Load: a gang of three cores under a limit of four beside single tasks of one core, of which two always wait.
func TestGangAtTheLimit(t *testing.T) {
	b := newTestPool("w1", "w2")
	running := map[string][]scheduler.RunningTask{}
	b.limitCPU(2999)
	b.addFor("a", "gang", &pb.JobStep{Count: 3, CpuMilli: 1000, Gang: true, EstimateMs: 1000})
	assert.Equal(t, len(b.starts(running)), 0)
	assert.Equal(t, b.usage().Next.CPUMilli, int64(3000))
	b.addFor("a", "single", &pb.JobStep{Count: 200, CpuMilli: 1000, EstimateMs: 10})
	b.limitCPU(4000)
	b.pool.CancelBy(b.now, "gang", jobstate.Requester{Workspace: "a"})
	assert.Equal(t, b.starts(running)["single"], 4)
	b.addFor("a", "second", &pb.JobStep{Count: 3, CpuMilli: 1000, Gang: true, EstimateMs: 1000})
	waited := time.Duration(0)
	for ; b.starts(running)["second"] == 0 && waited < 20*time.Second; waited += 100 * time.Millisecond {
		b.advance(90 * time.Millisecond)
		for worker, list := range running {
			if len(list) > 0 {
				b.endFirst(running, worker, scheduler.EndSucceeded)
			}
		}
	}
	assert.Assert(t, waited < 7*time.Second, "%v", waited)
	assert.Equal(t, b.usage().Used.CPUMilli, int64(4000))
}

// A start without an answer and a run that is being stopped count until their end is certain. Load: two tasks of one core
// under a limit of one.
func TestUncertainRunsCountAgainstTheLimit(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.limitCPU(1000)
	b.addFor("a", "first", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	b.addFor("a", "second", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	b.pool.Result(b.now, scheduler.OrderResult{Order: orders[0], Outcome: scheduler.OutcomeUnknown})
	b.pool.CancelBy(b.now, orders[0].Task.Job, jobstate.Requester{Workspace: "a"})
	stop := b.pool.Step(b.now).Orders
	assert.Equal(t, len(stop), 1)
	assert.Equal(t, stop[0].Kind, scheduler.OrderStop)
	b.pool.Result(b.now, scheduler.OrderResult{Order: stop[0], Outcome: scheduler.OutcomeDone})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	assert.Equal(t, b.usage().Used.CPUMilli, int64(1000))
	b.advance(10 * time.Millisecond)
	b.report(orders[0].Worker, nil, nil)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
}

// A copy of an overdue task starts only within the limit, and steps that wait for the limit of another workspace do not
// prevent it. Load: one overdue task of one core; another workspace waits with one task.
func TestCopiesStayWithinTheLimit(t *testing.T) {
	for limit, copies := range map[int64]int{1000: 0, 2000: 1} {
		b := newTestPool("w1", "w2")
		running := map[string][]scheduler.RunningTask{}
		b.pool.SetWorkspaceLimits(b.now, map[string]scheduler.Resources{"a": {CPUMilli: limit, MemoryMB: 100}, "b": {}})
		b.addFor("a", "slow", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 200, Speculative: true})
		b.addFor("b", "held", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 200})
		assert.DeepEqual(t, b.starts(running), map[string]int{"slow": 1})
		started := 0
		for range 10 {
			b.advance(100 * time.Millisecond)
			started += b.starts(running)["slow"]
		}
		assert.Equal(t, started, copies)
	}
}

// A new owner counts what an earlier one started, also runs of jobs that it learns of later and that are then cancelled.
// Load: a run of one core of each of two jobs that are not known yet, and a third job, under a limit of two cores.
func TestTakeoverCountsOrphans(t *testing.T) {
	b := newTestPool("w1")
	b.limitCPU(2000)
	task := &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500}
	running := []scheduler.RunningTask{{Task: scheduler.TaskID{Job: "early"}, Run: 1}, {Task: scheduler.TaskID{Job: "cancelled"}, Run: 2}}
	b.report("w1", running, nil)
	b.pool.Step(b.now)
	assert.Assert(t, !b.pool.UsageKnown())
	b.pool.Cancel(b.now, "cancelled")
	for _, id := range []string{"early", "cancelled", "new"} {
		b.addFor("a", id, task)
	}
	assert.Assert(t, b.pool.UsageKnown())
	assert.Equal(t, b.usage().Used.CPUMilli, int64(2000))
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	assert.Equal(t, b.usage().Next.CPUMilli, int64(1000))
	b.report("w1", running[:1], []scheduler.EndedRun{{Number: 1, Task: running[1].Task, Run: 2, End: scheduler.EndStopped}})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
	assert.Equal(t, b.usage().Used.CPUMilli, int64(2000))
}

// A task preempts nothing that its workspace's limit would then refuse, and no other task of the workspace takes the headroom
// meanwhile. Load: a worker full of long tasks, an urgent task of two cores; then a task of one core, and a free worker.
func TestPreemptionWithinTheLimit(t *testing.T) {
	for limit, stopped := range map[int64]int{1999: 0, 2000: 2} {
		b, _ := newFullPool(&pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true})
		b.limitCPU(limit)
		b.addFor("a", "first", &pb.JobStep{Count: 1, CpuMilli: 2000, EstimateMs: 3000})
		assert.Equal(t, len(stops(b.pool.Step(b.now).Orders)), stopped)
		b.pool.SetWorkers(b.now, []scheduler.Worker{
			{ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}},
			{ID: "w2", Address: "w2", Capacity: scheduler.Resources{CPUMilli: 1000, MemoryMB: 4000}},
		})
		b.report("w2", nil, nil)
		b.addFor("a", "second", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 100})
		started := 0
		for _, o := range b.pool.Step(b.now).Orders {
			if o.Kind == scheduler.OrderStart {
				started++
			}
		}
		assert.Equal(t, started == 0, stopped > 0)
	}
}

// A step that waits for its workspace's limit keeps no worker free, is not in the load by which hosts move, and does not make
// Step busy; the log says that it waits once a second. Load: a wide task at the limit for 3 s, and other small ones.
func TestHeldStepIsNotInTheWayOfOthers(t *testing.T) {
	b := newTestPool("w1")
	running := map[string][]scheduler.RunningTask{}
	b.limitCPU(1000)
	b.addFor("a", "small", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true, MayMiss: 1})
	assert.Equal(t, b.starts(running)["small"], 1)
	b.pool.Step(b.now)
	b.addFor("a", "wide", &pb.JobStep{Count: 1, CpuMilli: 4000, EstimateMs: 1000}, &pb.JobStep{Count: 1, CpuMilli: 500, Persistent: true})
	logged := 0
	for range 30 {
		b.advance(100 * time.Millisecond)
		a := b.pool.Step(b.now)
		assert.Equal(t, len(a.Orders), 0)
		assert.Assert(t, a.Wake.Sub(b.now) >= 50*time.Millisecond, "%v", a.Wake.Sub(b.now))
		for _, d := range a.Decisions {
			logged++
			assert.Equal(t, d.Kind+" "+d.Workspace, scheduler.DecisionHeld+" a")
		}
		b.report("w1", running["w1"], nil)
	}
	assert.Equal(t, logged, 3)
	status := b.pool.Status(b.now)
	assert.Equal(t, status.GetWaitingTasks()+status.GetBacklogMilliMs()+status.GetLateMilliMs()+status.GetStuckCpuMilli(), int64(0))
	assert.Equal(t, status.GetWaitingPersistentCpuMilli(), int64(0))
	assert.Assert(t, status.GetArrivedMilliMs() >= 4_000_000)
	assert.Assert(t, strings.Contains(strings.Join(b.pool.Explain("wide"), "\n"), "1 waiting; waits for its workspace's limit"))
	assert.Assert(t, strings.Contains(b.pool.Explain("wide")[0], "workspace a"))
	b.addFor("", "other", &pb.JobStep{Count: 3, CpuMilli: 1000, EstimateMs: 1000})
	assert.Equal(t, b.starts(running)["other"], 3)
}

// A limit below the use stops nothing and starts nothing, also no move of a persistent task, which could not restart; once it is
// raised, the next Step starts tasks, persistent ones first. Load: three persistent tasks and two batch tasks of one core each.
func TestLoweredLimitStopsNothing(t *testing.T) {
	b := newTestPool("w1", "w2")
	running := map[string][]scheduler.RunningTask{}
	b.addFor("a", "serve", &pb.JobStep{Count: 3, CpuMilli: 1000, Persistent: true, MayMiss: 3, MaxPerHost: 3})
	assert.Equal(t, b.starts(running)["serve"], 3)
	b.limitCPU(2000)
	b.pool.Evacuate(b.now, []string{"w1", "w2"}[:1])
	b.addFor("a", "batch", &pb.JobStep{Count: 2, CpuMilli: 1000, EstimateMs: 100})
	for range 10 {
		b.advance(100 * time.Millisecond)
		assert.Equal(t, len(b.starts(running)), 0)
	}
	b.pool.Evacuate(b.now, nil)
	worker := "w1"
	if len(running[worker]) == 0 {
		worker = "w2"
	}
	b.endFirst(running, worker, scheduler.EndStopped)
	assert.Equal(t, len(b.starts(running)), 0)
	b.limitCPU(3000)
	assert.DeepEqual(t, b.starts(running), map[string]int{"serve": 1})
	b.limitCPU(5000)
	assert.DeepEqual(t, b.starts(running), map[string]int{"batch": 2})
}

// Tasks preempt no more runs than the limit lets them replace, whether they belong to one step or to several that are checked
// together. Load: eight full workers, two urgent tasks of two cores, limits for one and for both.
func TestPreemptionsTogetherStayWithinTheLimit(t *testing.T) {
	for _, jobs := range [][]int64{{2}, {1, 1}} {
		for limit, stopped := range map[int64]int{2000: 2, 4000: 4} {
			b := newTestPool("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
			b.pool.SetQueues(b.now, simQueues)
			b.pool.Add(b.now, &pb.JobRecord{Id: "late", Queue: "later", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{
				Steps: []*pb.JobStep{{Count: 32, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true}},
			}})
			running := map[string][]scheduler.RunningTask{}
			assert.Equal(t, b.starts(running)["late"], 32)
			b.advance(time.Second)
			b.starts(running)
			b.limitCPU(limit)
			for i, count := range jobs {
				b.addFor("a", fmt.Sprintf("urgent%d", i), &pb.JobStep{Count: count, CpuMilli: 2000, EstimateMs: 3000})
			}
			b.advance(200 * time.Millisecond)
			assert.Equal(t, len(stops(b.pool.Step(b.now).Orders)), stopped, "jobs %v, limit %d", jobs, limit)
		}
	}
}
