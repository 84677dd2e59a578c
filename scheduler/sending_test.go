package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// limitedPool is a pool whose owner can send one start per period.
type limitedPool struct {
	*testPool
	starts int
	active []pendingEnd
}

type pendingEnd struct {
	at    time.Time
	order scheduler.Order
}

const (
	// limitedTaskTime is how long each task runs on one core.
	limitedTaskTime = 200 * time.Millisecond
	// limitedPeriod is the interval between starts.
	limitedPeriod = 20 * time.Millisecond
)

// runPeriod simulates one period, in which starts are limited to one or not at all.
func (f *limitedPool) runPeriod(bounded bool) {
	if bounded {
		f.pool.SetSendRoom(f.now, 1)
	} else {
		f.pool.SetSendRoom(f.now, 1<<30)
	}
	for _, o := range f.pool.Step(f.now).Orders {
		f.starts++
		f.pool.Result(f.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: f.clock})
		f.active = append(f.active, pendingEnd{at: f.now.Add(limitedTaskTime), order: o})
	}
	f.advance(limitedPeriod)
	var ended []scheduler.EndedRun
	for len(f.active) > 0 && !f.active[0].at.After(f.now) {
		f.lastEnd++
		o := f.active[0].order
		ended = append(ended, scheduler.EndedRun{Number: f.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded})
		f.active = f.active[1:]
	}
	var running []scheduler.RunningTask
	for _, e := range f.active {
		running = append(running, scheduler.RunningTask{Task: e.order.Task, Run: e.order.Run, Percent: 50})
	}
	f.report("w1", running, ended)
}

// An owner that is the bottleneck must report its throughput; otherwise a pool with far more capacity than its owner
// can use would request more hosts.
func TestStatusReportsOwnerThroughput(t *testing.T) {
	f := &limitedPool{testPool: newTestPool()}
	room := scheduler.Resources{CPUMilli: 400_000, MemoryMB: 400_000}
	f.pool.SetWorkers(f.now, []scheduler.Worker{{ID: "w1", Address: "w1", Capacity: room}})
	f.report("w1", nil, nil)
	for i := range 10 {
		f.add(fmt.Sprint("job", i), &pb.JobStep{Count: 100, CpuMilli: 1000, EstimateMs: limitedTaskTime.Milliseconds()})
	}
	for range 250 {
		f.runPeriod(true)
	}
	assert.Equal(t, f.starts, 250, "one start per period")
	// 50 starts per second of 200 ms on one core keep ten cores busy.
	carried := f.pool.Status(f.now).GetCarriedCpuMilli()
	assert.Assert(t, carried > 8_000 && carried < 12_000, "%d", carried)
	// 750 tasks wait and 50 are started per second.
	wait := f.pool.SendWait(f.now)
	assert.Assert(t, wait > 12*time.Second && wait < 18*time.Second, "%v", wait)
	for range 100 {
		f.runPeriod(false)
	}
	assert.Equal(t, f.pool.SendWait(f.now), time.Duration(0))
	assert.Equal(t, f.starts, 1000)
	assert.Equal(t, f.pool.Status(f.now).GetCarriedCpuMilli(), int64(0), "the owner is no longer the bottleneck")
}
