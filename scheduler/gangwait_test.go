package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// crowd is a pool of three workers on which every batch task works for as long as it says.
type crowd struct {
	*bare
	workers []string
	due     map[string][]ending
	began   map[string]time.Time
}

func newCrowd() *crowd {
	workers := []string{"w1", "w2", "w3"}
	return &crowd{bare: newBare(workers...), workers: workers, due: map[string][]ending{}, began: map[string]time.Time{}}
}

const crowdTick = 20 * time.Millisecond

// tick lets a moment pass; works tells how long the tasks of a job work.
func (c *crowd) tick(works func(job string) time.Duration) {
	for _, o := range c.pool.Step(c.now).Orders {
		c.pool.Result(c.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: c.clock})
		if o.Kind != scheduler.OrderStart {
			continue
		}
		if _, known := c.began[o.Task.Job]; !known {
			c.began[o.Task.Job] = c.now
		}
		c.due[o.Worker] = append(c.due[o.Worker], ending{at: c.now.Add(works(o.Task.Job)), order: o})
	}
	c.pass(crowdTick)
	for _, id := range c.workers {
		var left []ending
		var running []scheduler.RunningTask
		var ended []scheduler.EndedRun
		for _, e := range c.due[id] {
			if e.at.After(c.now) {
				left = append(left, e)
				running = append(running, scheduler.RunningTask{Task: e.order.Task, Run: e.order.Run, Percent: 100})
				continue
			}
			c.ends++
			ended = append(ended, scheduler.EndedRun{Number: c.ends, Task: e.order.Task, Run: e.order.Run, End: scheduler.EndSucceeded})
		}
		c.due[id] = left
		c.report(id, running, ended)
	}
}

// play offers small jobs all the time, at half of the pool's room, beside a gang, and returns how long the gang waited and
// how many small jobs began in the second half of the time.
func (c *crowd) play(gang *pb.JobStep, span time.Duration) (waited time.Duration, began int) {
	const each = 60 * time.Millisecond
	works := func(string) time.Duration { return 400 * time.Millisecond }
	begin := c.now
	offered, half := 0, 0
	for c.now.Sub(begin) < span {
		for c.now.Sub(begin) >= time.Duration(offered)*each {
			c.add(fmt.Sprintf("small%d", offered), &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 400})
			offered++
		}
		if c.now.Equal(begin.Add(time.Second)) {
			c.add("gang", gang)
		}
		c.tick(works)
		if c.now.Sub(begin) < span/2 {
			half = len(c.began)
		}
	}
	waited = span
	if at, ok := c.began["gang"]; ok {
		waited = at.Sub(begin.Add(time.Second))
	}
	return waited, len(c.began) - half
}

// A gang that needs room on all workers of a small pool waited until the load of small jobs ended.
func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	c := newCrowd()
	waited, began := c.play(&pb.JobStep{Count: 5, CpuMilli: 2000, EstimateMs: 400, Gang: true}, 40*time.Second)
	assert.Assert(t, waited < 15*time.Second, "%v", waited)
	assert.Assert(t, began > 300, "%d small jobs", began)
}

// A gang that what lasts leaves no room for must not keep the rest of the pool idle.
func TestGangWithoutRoomKeepsNothingIdle(t *testing.T) {
	c := newCrowd()
	c.add("serve", &pb.JobStep{Count: 3, CpuMilli: 2500, Persistent: true, MayMiss: 1, MaxPerHost: 1})
	for range 10 {
		c.tick(func(string) time.Duration { return time.Hour })
	}
	waited, began := c.play(&pb.JobStep{Count: 5, CpuMilli: 2000, EstimateMs: 400, Gang: true}, 40*time.Second)
	assert.Equal(t, waited, 40*time.Second)
	assert.Assert(t, began > 100, "%d small jobs", began)
}
