package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// fed is a pool whose owner sends one start in each period.
type fed struct {
	*bare
	starts int
	due    []ending
}

type ending struct {
	at    time.Time
	order scheduler.Order
}

const (
	// fedTask is how long each task works, on one core.
	fedTask = 200 * time.Millisecond
	// fedEach is the pace of starts.
	fedEach = 20 * time.Millisecond
)

// period lets one period go by in which starts are bounded to one, or not at all.
func (f *fed) period(bounded bool) {
	if bounded {
		f.pool.SetSendRoom(f.now, 1)
	} else {
		f.pool.SetSendRoom(f.now, 1<<30)
	}
	for _, o := range f.pool.Step(f.now).Orders {
		f.starts++
		f.pool.Result(f.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: f.clock})
		f.due = append(f.due, ending{at: f.now.Add(fedTask), order: o})
	}
	f.pass(fedEach)
	var ended []scheduler.EndedRun
	for len(f.due) > 0 && !f.due[0].at.After(f.now) {
		f.ends++
		o := f.due[0].order
		ended = append(ended, scheduler.EndedRun{Number: f.ends, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded})
		f.due = f.due[1:]
	}
	var running []scheduler.RunningTask
	for _, e := range f.due {
		running = append(running, scheduler.RunningTask{Task: e.order.Task, Run: e.order.Run, Percent: 50})
	}
	f.report("w1", running, ended)
}

// A pool with far more room than its owner could feed asked for still more hosts: it has to tell what its owner can carry.
func TestOwnersTellWhatTheyCarry(t *testing.T) {
	f := &fed{bare: newBare()}
	room := scheduler.Resources{CPUMilli: 400_000, MemoryMB: 400_000}
	f.pool.SetWorkers(f.now, []scheduler.Worker{{ID: "w1", Address: "w1", Capacity: room}})
	f.report("w1", nil, nil)
	for i := range 10 {
		f.add(fmt.Sprint("job", i), &pb.JobStep{Count: 100, CpuMilli: 1000, EstimateMs: fedTask.Milliseconds()})
	}
	for range 250 {
		f.period(true)
	}
	assert.Equal(t, f.starts, 250, "one start in each period")
	// 50 starts a second of 200 ms on one core keep ten cores at work.
	carried := f.pool.Status(f.now).GetCarriedCpuMilli()
	assert.Assert(t, carried > 8_000 && carried < 12_000, "%d", carried)
	// 750 tasks wait, 50 are started in a second.
	wait := f.pool.SendWait(f.now)
	assert.Assert(t, wait > 12*time.Second && wait < 18*time.Second, "%v", wait)
	for range 100 {
		f.period(false)
	}
	assert.Equal(t, f.pool.SendWait(f.now), time.Duration(0))
	assert.Equal(t, f.starts, 1000)
	assert.Equal(t, f.pool.Status(f.now).GetCarriedCpuMilli(), int64(0), "more was carried since")
}
