package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against starts that exceed the capacity of a worker that has shrunk, or of the next incarnation of a worker, which
// may be of another size.
func TestStartsFitTheCapacityOfResizedWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.refuses = rapid.Bool().Draw(t, "refuses")
		f.resizes = rapid.IntRange(1, 20).Draw(t, "resizes")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 8).Draw(t, "workers"), f)
		addMixedJobs(s, rapid.IntRange(10, 60).Draw(t, "jobs"))
		for _, f := range s.run(s.faultPeriod(), 90_000) {
			t.Error(f)
		}
	})
}

// Guards against starts by the capacity and the labels of an earlier incarnation of the worker (LIMIT, ROUTE).
func TestRestartedWorkerIsUsedOnceTheRegistryDescribesIt(t *testing.T) {
	b := newTestPool()
	list := func(born, cpu int64) {
		b.pool.SetWorkers(b.now, []scheduler.Worker{
			{ID: "w1", Address: "w1", Born: born, Capacity: scheduler.Resources{CPUMilli: cpu, MemoryMB: 4000}},
		})
	}
	report := func(born int64) {
		b.advance(10)
		b.clock++
		b.pool.Report(b.now, scheduler.Report{Worker: "w1", Fence: b.pool.FenceFor("w1"), Born: born, Sent: b.now, Received: b.now, Clock: b.clock})
	}
	list(5, 4000)
	report(5)
	report(6)
	report(6)
	b.add("a", &pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 500})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	list(5, 4000)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	list(6, 2000)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 2)
}

// A worker that has shrunk below what runs on it gets nothing new until enough has ended, and its runs go on. Once it has
// grown again, it is filled again.
func TestShrunkWorkerIsNotFilled(t *testing.T) {
	b := newTestPool("w1")
	resize := func(cpu int64) {
		b.pool.SetWorkers(b.now, []scheduler.Worker{
			{ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: cpu, MemoryMB: 4000}},
		})
	}
	b.add("a", &pb.JobStep{Count: 6, CpuMilli: 1000, EstimateMs: 500})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 4)
	for _, o := range orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	}
	end := func(o scheduler.Order, rest []scheduler.Order) {
		b.advance(100 * time.Millisecond)
		b.lastEnd++
		var running []scheduler.RunningTask
		for _, r := range rest {
			running = append(running, scheduler.RunningTask{Task: r.Task, Run: r.Run, Percent: 50})
		}
		b.report("w1", running, []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}})
	}
	resize(1500)
	for i, o := range orders {
		assert.Equal(t, len(b.pool.Step(b.now).Orders), 0, "%d have ended", i)
		end(o, orders[i+1:])
	}
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
	resize(4000)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
}
