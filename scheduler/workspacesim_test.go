package scheduler_test

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// noLimits limits no resource.
var noLimits = scheduler.Resources{CPUMilli: scheduler.NoLimit, MemoryMB: scheduler.NoLimit, GPU: scheduler.NoLimit}

// limitChecker checks that what a workspace runs on the workers stays within its limit.
type limitChecker struct {
	// ordered holds the limit of the task's workspace when the run of that number was ordered.
	ordered map[int64]scheduler.Resources
	// limited counts the starts of workspaces with a limit.
	limited int
}

func (l *limitChecker) addOrder(s *sim, o scheduler.Order) {
	limit, ok := s.limits[s.jobs[o.Task.Job].rec.GetWorkspace()]
	if !ok {
		limit = noLimits
	}
	l.ordered[o.Run] = limit
}

// checkLimits checks for each order of the run's workspace that is running: all running ones that were ordered up to it stay
// within the limit at that time. Run numbers increase from order to order and from owner to owner; a run that is not certain
// to have ended counted when the order was made.
func (c *checker) checkLimits(started *simRun) {
	workspace := c.sim.jobs[started.task.Job].rec.GetWorkspace()
	if workspace == "" {
		return
	}
	runs := []*simRun{started}
	for _, w := range c.sim.workers {
		for _, r := range w.running {
			if c.sim.jobs[r.task.Job].rec.GetWorkspace() == workspace {
				runs = append(runs, r)
			}
		}
	}
	if c.limits.ordered[started.run] != noLimits {
		c.limits.limited++
	}
	for _, last := range runs {
		var used scheduler.Resources
		for _, r := range runs {
			if r.run <= last.run {
				n := needOf(r.step)
				used = scheduler.Resources{CPUMilli: used.CPUMilli + n.CPUMilli, MemoryMB: used.MemoryMB + n.MemoryMB, GPU: used.GPU + n.GPU}
			}
		}
		limit := c.limits.ordered[last.run]
		over := func(used, limit int64) bool { return limit != scheduler.NoLimit && used > limit }
		if over(used.CPUMilli, limit.CPUMilli) || over(used.MemoryMB, limit.MemoryMB) || over(used.GPU, limit.GPU) {
			c.addViolation("workspace %s runs %+v, limit %+v when %v was ordered", workspace, used, limit, last.task)
		}
	}
}

// setLimits sets the limits at the given time.
func (s *sim) setLimits(at int64, limits map[string]scheduler.Resources) {
	s.after(at, func() {
		s.limits = limits
		s.trace("EVENT limits %+v", limits)
		s.owner.handle(func(p *scheduler.Pool) { p.SetWorkspaceLimits(s.time(), limits) })
	})
}

// Under crashes, takeovers, cuts and late orders, and while limits change, a workspace never runs more than its limit was when
// the run was ordered, runs of a previous owner, unanswered starts, stopping runs and copies included. Once the limits have
// room for the largest gang again, all jobs end. Load: 10 to 50 jobs in 15 s, two thirds of them of two limited workspaces, and in half of the
// cases two jobs with a task that crashes its workers, so that it starts as a trial.
func TestLimitsUnderFaults(t *testing.T) {
	limited := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "workers"), drawFaults(t))
		if rapid.Bool().Draw(t, "preemption") {
			addPreemptionLoad(s, rapid.IntRange(5, 20).Draw(t, "jobs"))
		} else {
			addMixedJobs(s, rapid.IntRange(10, 50).Draw(t, "jobs"))
		}
		if rapid.Bool().Draw(t, "crashing") {
			// As in checkCrashingTasks: more takeovers could hide more crashes than the checker allows for.
			s.faults.refuses, s.faults.takeovers = true, min(s.faults.takeovers, 1)
			for range 2 {
				s.addCrashingJob(s.rng.Int64N(s.faultPeriod()), 10, &pb.JobStep{Count: 3, CpuMilli: 800, EstimateMs: 1500})
			}
		}
		names := []string{"", "a", "b"}
		for _, id := range s.jobIDs {
			s.jobs[id].rec.Workspace = names[s.rng.IntN(len(names))]
		}
		limits := map[string]scheduler.Resources{}
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			limits = maps.Clone(limits)
			for _, name := range names[1:] {
				limits[name] = scheduler.Resources{
					CPUMilli: int64(rapid.IntRange(0, 14).Draw(t, fmt.Sprintf("cpu of %s", name))) * 1000,
					MemoryMB: rapid.SampledFrom([]int64{scheduler.NoLimit, 600, 2000}).Draw(t, "memory"), GPU: scheduler.NoLimit,
				}
			}
			s.setLimits(int64(i)*2500, limits)
		}
		s.setLimits(20_000, map[string]scheduler.Resources{"a": {CPUMilli: 16_000, MemoryMB: scheduler.NoLimit, GPU: 0}})
		for _, f := range s.run(s.faultPeriod(), 110_000) {
			t.Error(f)
		}
		limited += s.checker.limits.limited
	})
	assert.Assert(t, limited > 1000, "%d starts under a limit", limited)
}

// The checker must notice an owner that ignores the limits: here they are kept from the pool.
func TestCheckerCatchesExceededLimits(t *testing.T) {
	s := newSim(1, 4, faults{})
	addMixedJobs(s, 30)
	for _, id := range s.jobIDs {
		s.jobs[id].rec.Workspace = "a"
	}
	s.after(0, func() {
		s.limits = map[string]scheduler.Resources{"a": {CPUMilli: 2000, MemoryMB: scheduler.NoLimit, GPU: scheduler.NoLimit}}
	})
	assert.Assert(t, len(s.run(s.faultPeriod(), 75_000)) > 0)
}
