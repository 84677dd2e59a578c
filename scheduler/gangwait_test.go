package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// workloadPool is a pool of three workers on which batch tasks run for a given time.
type workloadPool struct {
	*testPool
	workers   []string
	active    map[string][]pendingEnd
	startedAt map[string]time.Time
}

func newWorkloadPool() *workloadPool {
	workers := []string{"w1", "w2", "w3"}
	return &workloadPool{testPool: newTestPool(workers...), workers: workers, active: map[string][]pendingEnd{}, startedAt: map[string]time.Time{}}
}

const workloadTick = 20 * time.Millisecond

// tick advances the time by workloadTick; taskDuration returns how long the tasks of a job run.
func (c *workloadPool) tick(taskDuration func(job string) time.Duration) {
	for _, o := range c.pool.Step(c.now).Orders {
		c.pool.Result(c.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: c.clock})
		if o.Kind != scheduler.OrderStart {
			continue
		}
		if _, known := c.startedAt[o.Task.Job]; !known {
			c.startedAt[o.Task.Job] = c.now
		}
		c.active[o.Worker] = append(c.active[o.Worker], pendingEnd{at: c.now.Add(taskDuration(o.Task.Job)), order: o})
	}
	c.advance(workloadTick)
	for _, id := range c.workers {
		var left []pendingEnd
		var running []scheduler.RunningTask
		var ended []scheduler.EndedRun
		for _, e := range c.active[id] {
			if e.at.After(c.now) {
				left = append(left, e)
				running = append(running, scheduler.RunningTask{Task: e.order.Task, Run: e.order.Run, Percent: 100})
				continue
			}
			c.lastEnd++
			ended = append(ended, scheduler.EndedRun{Number: c.lastEnd, Task: e.order.Task, Run: e.order.Run, End: scheduler.EndSucceeded})
		}
		c.active[id] = left
		c.report(id, running, ended)
	}
}

// runWithGang adds a gang to a constant load of small jobs that needs about half of the pool's capacity. It
// returns how long the gang waited and how many small jobs started in the second half of the period.
func (c *workloadPool) runWithGang(gang *pb.JobStep, period time.Duration) (gangWait time.Duration, smallJobs int) {
	const arrivalInterval = 60 * time.Millisecond
	taskDuration := func(string) time.Duration { return 400 * time.Millisecond }
	start := c.now
	offered, startedInFirstHalf := 0, 0
	for c.now.Sub(start) < period {
		for c.now.Sub(start) >= time.Duration(offered)*arrivalInterval {
			c.add(fmt.Sprintf("small%d", offered), &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 400})
			offered++
		}
		if c.now.Equal(start.Add(time.Second)) {
			c.add("gang", gang)
		}
		c.tick(taskDuration)
		if c.now.Sub(start) < period/2 {
			startedInFirstHalf = len(c.startedAt)
		}
	}
	gangWait = period
	if at, ok := c.startedAt["gang"]; ok {
		gangWait = at.Sub(start.Add(time.Second))
	}
	return gangWait, len(c.startedAt) - startedInFirstHalf
}

// A gang that needs capacity on all workers of a small pool must not wait until the load of small jobs ends.
func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	c := newWorkloadPool()
	gangWait, smallJobs := c.runWithGang(&pb.JobStep{Count: 5, CpuMilli: 2000, EstimateMs: 400, Gang: true}, 40*time.Second)
	assert.Assert(t, gangWait < 15*time.Second, "%v", gangWait)
	assert.Assert(t, smallJobs > 300, "%d small jobs", smallJobs)
}

// A gang for which long-running tasks leave no room must not keep the rest of the pool idle.
func TestUnplaceableGangReservesNoWorkers(t *testing.T) {
	c := newWorkloadPool()
	c.add("serve", &pb.JobStep{Count: 3, CpuMilli: 2500, Persistent: true, MayMiss: 1, MaxPerHost: 1})
	for range 10 {
		c.tick(func(string) time.Duration { return time.Hour })
	}
	gangWait, smallJobs := c.runWithGang(&pb.JobStep{Count: 5, CpuMilli: 2000, EstimateMs: 400, Gang: true}, 40*time.Second)
	assert.Equal(t, gangWait, 40*time.Second)
	assert.Assert(t, smallJobs > 100, "%d small jobs", smallJobs)
}
