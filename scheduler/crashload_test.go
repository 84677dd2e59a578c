package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// The load of crashLoad: 24 workers of 32 cores, 60% in use. Three queues submit jobs for 20 s; from crashFrom to crashUntil,
// a tenth of the jobs of queue "q" have a task that crashes each worker that starts it. Workers return after 2 s.
const (
	crashLoadWorkers = 24
	crashFrom        = 5_000
	crashUntil       = 15_000
	crashLoadEnd     = 20_000
	crashLoadReboot  = 2_000
)

// crashLoad is the outcome of a simulation of that load.
type crashLoad struct {
	sim *sim
	// culprits and others are the jobs with a task that crashes workers, and the other ones; failed counts those that failed.
	culprits, culpritsFailed, others, othersFailed int
	crashes                                        int
	// lostRuns counts the runs of jobs that crash no worker, and lostWork their work in core-ms, that ended with a crashed worker.
	// lostOfOthers counts those of other queues.
	lostRuns, lostOfOthers         int
	lostWork, lostPersistentOthers float64
	// suspected and givenUp hold the tasks of such jobs that were suspected or given up.
	suspected, givenUp map[scheduler.TaskID]bool
	// work is the work of the jobs of other queues, workLate of those that were late, and workLost of those that were not finished
	// within three times their objective. ownLate is the work of the innocent jobs of "q" that were late, of ownWork.
	work, workLate, workLost, ownWork, ownLate float64
	// contained and ended count the decisions by which a containment of a queue began and ended.
	contained, ended map[string]int
}

// crashDay is a variant of the load: the share of the jobs of "q" that crash their workers, the factor of the rate of jobs, and
// whether all tasks of such a job crash, in place of one.
type crashDay struct {
	share, rate float64
	all         bool
}

// runCrashLoad simulates a variant of the load with the given seed.
func runCrashLoad(seed uint64, day crashDay) *crashLoad {
	s := newSim(seed, crashLoadWorkers, faults{refuses: true})
	s.rebootMs = crashLoadReboot
	for i, w := range s.workers {
		w.capacity = scheduler.Resources{CPUMilli: 32_000, MemoryMB: 128_000}
		w.rack = fmt.Sprintf("r%d", i%4)
	}
	l := &crashLoad{sim: s, suspected: map[scheduler.TaskID]bool{}, givenUp: map[scheduler.TaskID]bool{}, contained: map[string]int{}, ended: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 2))
	for range 10 {
		s.addJob(0, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 6, CpuMilli: 2000, MemoryMb: 100, Persistent: true, MayMiss: 1}}}).rec.Queue = "lasting"
	}
	add := func(name string, everyMs float64, steps func() []*pb.JobStep) {
		everyMs /= day.rate
		for at := 500 + rng.ExpFloat64()*everyMs; at < crashLoadEnd; at += rng.ExpFloat64() * everyMs {
			j := s.addJob(int64(at), &pb.JobSpec{Steps: steps()})
			j.rec.Queue = name
			if name == "q" && at >= crashFrom && at < crashUntil && rng.Float64() < day.share {
				count := int(j.rec.GetSpec().GetSteps()[0].GetCount())
				j.crashing = map[scheduler.TaskID]bool{{Job: j.id, Index: rng.IntN(count)}: true}
				for i := range count {
					if day.all {
						j.crashing[scheduler.TaskID{Job: j.id, Index: i}] = true
					}
				}
				j.crashAfter = 5 + rng.Int64N(50)
			}
		}
	}
	step := func(tasks, cpu, ms int) func() []*pb.JobStep {
		return func() []*pb.JobStep {
			return []*pb.JobStep{{
				Count: int64(1 + rng.IntN(2*tasks-1)), CpuMilli: int64(cpu/2 + rng.IntN(cpu)), MemoryMb: 100,
				EstimateMs: int64(ms/2 + rng.IntN(ms)),
			}}
		}
	}
	add("q", 100, step(4, 2000, 1500))
	add("second", 100, step(4, 2000, 1500))
	add("third", 250, step(3, 6000, 1500))
	s.onCrash = l.onCrash
	s.onDecision = l.onDecision
	s.run(crashLoadEnd, 60_000)
	l.sum()
	return l
}

func (l *crashLoad) onCrash(w *simWorker) {
	l.crashes++
	for _, r := range w.running {
		j := l.sim.jobs[r.task.Job]
		if len(j.crashing) > 0 {
			continue
		}
		l.lostRuns++
		if j.rec.GetQueue() != "q" {
			l.lostOfOthers++
		}
		if r.step.GetPersistent() {
			l.lostPersistentOthers++
			continue
		}
		l.lostWork += r.workDone * float64(r.step.GetCpuMilli()) / 1000
	}
}

func (l *crashLoad) onDecision(d scheduler.Decision) {
	innocent := d.Task.Job != "" && len(l.sim.jobs[d.Task.Job].crashing) == 0
	switch {
	case d.Kind == scheduler.DecisionContained:
		l.contained[d.Queue]++
	case d.Kind == scheduler.DecisionContainmentEnded:
		l.ended[d.Queue]++
	case d.Kind == scheduler.DecisionCharged && d.Suspected && innocent:
		l.suspected[d.Task] = true
	case d.Kind == scheduler.DecisionGivenUp && innocent:
		l.givenUp[d.Task] = true
	}
}

func (l *crashLoad) sum() {
	for _, id := range l.sim.jobIDs {
		j := l.sim.jobs[id]
		if j.persistent() {
			continue
		}
		failed := j.lastShown == pb.JobState_JOB_STATE_FAILED
		if len(j.crashing) > 0 {
			l.culprits++
			if failed {
				l.culpritsFailed++
			}
			continue
		}
		l.others++
		if failed {
			l.othersFailed++
		}
		st := j.rec.GetSpec().GetSteps()[0]
		objective := 2*st.GetEstimateMs() + 600
		took := j.shownAt - (j.rec.GetAcceptedMs() - simEpoch)
		finished := j.lastShown == pb.JobState_JOB_STATE_COMPLETED
		work := float64(st.GetCount()*st.GetCpuMilli()*st.GetEstimateMs()) / 1e6
		late := !finished || took > objective
		if j.rec.GetQueue() == "q" {
			l.ownWork += work
			if late {
				l.ownLate += work
			}
			continue
		}
		l.work += work
		if late {
			l.workLate += work
		}
		if !finished || took > 3*objective {
			l.workLost += work
		}
	}
}

func (l *crashLoad) String() string {
	return fmt.Sprintf("culprits %d failed %d; innocent jobs %d failed %d; tasks suspected %d given up %d; crashes %d, runs lost beside %d "+
		"(%.1f a crash; other queues' %d, persistent %.0f), work lost %.0f core-s; others' work late %.1f%%, lost %.1f%%; own late %.1f%%; %v",
		l.culprits, l.culpritsFailed, l.others, l.othersFailed, len(l.suspected), len(l.givenUp), l.crashes, l.lostRuns,
		float64(l.lostRuns)/float64(max(1, l.crashes)), l.lostOfOthers, l.lostPersistentOthers, l.lostWork/1000,
		100*l.workLate/l.work, 100*l.workLost/l.work, 100*l.ownLate/l.ownWork, l.contained)
}

// Guards against a queue whose tasks crash workers failing or delaying the jobs of other queues: before the containment, 5 to
// 10% of the others' work was late and up to 49 innocent tasks were suspected.
func TestCrashingQueueIsContained(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			l := runCrashLoad(seed, crashDay{share: 0.1, rate: 1})
			t.Log(l)
			assert.DeepEqual(t, l.sim.checker.violations, []string(nil))
			assert.Equal(t, l.culpritsFailed, l.culprits)
			assert.Equal(t, l.othersFailed+len(l.givenUp), 0)
			assert.Assert(t, l.contained["q"] > 0 && len(l.contained) == 1, "%v", l.contained)
			assert.Equal(t, l.ended["q"], l.contained["q"])
			assert.Assert(t, l.workLate < 0.05*l.work, "%.1f%% of the others' work was late", 100*l.workLate/l.work)
			assert.Assert(t, len(l.suspected) < 40, "%d innocent tasks suspected", len(l.suspected))
		})
	}
}

// Reports the figures of harder variants, in which innocent jobs must not fail either. Guards against containment of a queue
// that crashes no worker.
func TestVariantsOfCrashLoad(t *testing.T) {
	days := map[string]crashDay{
		"busy pool": {share: 0.1, rate: 1.4}, "all tasks crash": {share: 0.1, rate: 1, all: true}, "none": {rate: 1.4},
	}
	for name, day := range days {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				l := runCrashLoad(seed, day)
				t.Log(l)
				assert.DeepEqual(t, l.sim.checker.violations, []string(nil))
				assert.Equal(t, l.othersFailed+len(l.givenUp), 0)
				assert.Assert(t, day.share > 0 || len(l.contained) == 0, "%v", l.contained)
			})
		}
	}
}
