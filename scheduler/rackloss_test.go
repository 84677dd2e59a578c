package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// rackLoss starts a task on each worker of the racks a and b, silences some workers of the rack a, proves their ends one after the
// other, and returns the number of crashes and of queues contained.
func rackLoss(t *testing.T, silent ...string) (crashed, contained int) {
	t.Helper()
	workers := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	b := newTestPool(workers...)
	var listed []scheduler.Worker
	for _, id := range workers {
		capacity := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
		listed = append(listed, scheduler.Worker{ID: id, Address: id, Born: 5, Rack: id[:1], Capacity: capacity})
	}
	b.pool.SetWorkers(b.now, listed)
	running := map[string][]scheduler.RunningTask{}
	for _, id := range workers {
		b.add("job-"+id, &pb.JobStep{Count: 1, CpuMilli: 3000, EstimateMs: 9000})
	}
	for _, o := range b.pool.Step(b.now).Orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
		running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run})
	}
	assert.Equal(t, len(running), len(workers))
	for _, id := range silent {
		delete(running, id)
	}
	for i := range 8 {
		b.advance(300 * time.Millisecond)
		for worker, runs := range running {
			b.report(worker, runs, nil)
		}
		if i < len(silent) {
			b.pool.MarkUnreachable(silent[i])
			b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: silent[i], Born: 5}})
		}
		for _, d := range b.pool.Step(b.now).Decisions {
			switch d.Kind {
			case scheduler.DecisionCrashed:
				crashed++
			case scheduler.DecisionContained:
				contained++
			}
		}
	}
	return crashed, contained
}

// Guards against a queue that is held back because a rack went dark: the list of hosts proves the ends of its workers one after the
// other, and the crashes were charged to the queue whose tasks had just started there.
func TestLostRackContainsNoQueue(t *testing.T) {
	crashed, contained := rackLoss(t, "a1", "a2", "a3")
	assert.Equal(t, crashed, 3)
	assert.Equal(t, contained, 0)
}

// Guards against crashing tasks that pass for a lost rack: while a worker of the rack answers, ends are charged to the queue.
func TestCrashesBesideAWorkerThatAnswersAreCharged(t *testing.T) {
	crashed, contained := rackLoss(t, "a1", "a2")
	assert.Equal(t, crashed, 2)
	assert.Equal(t, contained, 1)
}
