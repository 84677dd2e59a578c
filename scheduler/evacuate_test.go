package scheduler_test

import (
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// evacuationLoad is a pool whose workers are evacuated in turn, as a fleet owner does that follows the demand. Runs start at
// once, save their progress, and end after the given duration.
type evacuationLoad struct {
	*testPool
	duration time.Duration
	running  map[string][]scheduler.RunningTask
	started  map[int64]time.Time
	// percent is the progress that runs report; persistent runs are available at 100.
	percent int
	// stops counts the stop orders by task.
	stops map[scheduler.TaskID]int
}

func newEvacuationLoad(duration time.Duration, workers ...string) *evacuationLoad {
	return &evacuationLoad{
		testPool: newTestPool(workers...), duration: duration, percent: 10, running: map[string][]scheduler.RunningTask{},
		started: map[int64]time.Time{}, stops: map[scheduler.TaskID]int{},
	}
}

// play carries out the orders of the pool for the given time.
func (l *evacuationLoad) play(d time.Duration, workers ...string) {
	const tick = 50 * time.Millisecond
	for end := l.now.Add(d); l.now.Before(end); l.advance(tick) {
		ended := map[string][]scheduler.EndedRun{}
		for _, o := range l.pool.Step(l.now).Orders {
			l.pool.Result(l.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
			if o.Kind == scheduler.OrderStart {
				l.running[o.Worker] = append(l.running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: l.percent})
				l.started[o.Run] = l.now
				continue
			}
			l.stops[o.Task]++
			l.end(ended, o.Worker, o.Run, scheduler.EndStopped)
		}
		for _, w := range workers {
			for _, r := range slices.Clone(l.running[w]) {
				if l.now.Sub(l.started[r.Run]) >= l.duration {
					l.end(ended, w, r.Run, scheduler.EndSucceeded)
				}
			}
			l.report(w, l.running[w], ended[w])
		}
	}
}

func (l *evacuationLoad) end(ended map[string][]scheduler.EndedRun, worker string, run int64, end scheduler.RunEnd) {
	l.running[worker] = slices.DeleteFunc(l.running[worker], func(r scheduler.RunningTask) bool {
		if r.Run != run {
			return false
		}
		l.lastEnd++
		ended[worker] = append(ended[worker], scheduler.EndedRun{Number: l.lastEnd, Task: r.Task, Run: run, End: end})
		return true
	})
}

// evacuateInTurn evacuates each worker for a second, repeatedly.
func (l *evacuationLoad) evacuateInTurn(rounds int, workers ...string) {
	for range rounds {
		for _, w := range workers {
			l.pool.Evacuate(l.now, []string{w})
			l.play(time.Second, workers...)
		}
	}
}

// Guards against wide jobs whose tasks are stopped, and begun again elsewhere, again and again while their pool gives away
// hosts: what their runs had done since the last save was lost each time.
func TestShortRunsEndOnEvacuatedWorkers(t *testing.T) {
	workers := []string{"w1", "w2", "w3"}
	l := newEvacuationLoad(2500*time.Millisecond, workers...)
	for _, id := range []string{"a", "b", "c"} {
		l.add(id, &pb.JobStep{Count: 6, CpuMilli: 600, EstimateMs: 2500, SavesProgress: true})
		l.play(200*time.Millisecond, workers...)
		l.evacuateInTurn(1, workers...)
	}
	assert.Equal(t, len(l.stops), 0, "%v", l.stops)
}

// Guards against a long run that follows the evacuations from worker to worker: it moves once.
func TestLongRunsMoveOnce(t *testing.T) {
	workers := []string{"w1", "w2", "w3"}
	l := newEvacuationLoad(time.Minute, workers...)
	l.add("a", &pb.JobStep{Count: 2, CpuMilli: 600, EstimateMs: 60_000, SavesProgress: true})
	l.evacuateInTurn(4, workers...)
	assert.Equal(t, len(l.stops), 2, "%v", l.stops)
	for task, n := range l.stops {
		assert.Equal(t, n, 1, "%v", task)
	}
}

// Guards against a long run that keeps a host from its upkeep, since it has moved before.
func TestLongRunsLeaveHostsDueForUpkeep(t *testing.T) {
	workers := []string{"w1", "w2", "w3"}
	l := newEvacuationLoad(time.Minute, workers...)
	l.add("a", &pb.JobStep{Count: 1, CpuMilli: 600, EstimateMs: 60_000, SavesProgress: true})
	l.evacuateInTurn(1, workers...)
	l.pool.SetDue(workers)
	l.evacuateInTurn(1, workers...)
	for _, w := range workers {
		l.pool.Evacuate(l.now, []string{w})
		l.play(time.Second, workers...)
		assert.Equal(t, len(l.running[w]), 0, "%s", w)
	}
}

// Guards against a short run that ends with its worker, as the worker is evacuated and leaves as well.
func TestShortRunsLeaveDrainingWorkersInTime(t *testing.T) {
	l := newEvacuationLoad(2500*time.Millisecond, "w1", "w2")
	l.add("a", &pb.JobStep{Count: 2, CpuMilli: 600, EstimateMs: 2500, SavesProgress: true})
	l.play(200*time.Millisecond, "w1", "w2")
	source := "w1"
	if len(l.running["w1"]) == 0 {
		source = "w2"
	}
	l.pool.SetWorkers(l.now, []scheduler.Worker{
		l.worker("w1", source == "w1"), l.worker("w2", source == "w2"),
	})
	l.pool.Evacuate(l.now, []string{source})
	l.play(2*time.Second, "w1", "w2")
	assert.Equal(t, len(l.running[source]), 0)
	assert.Equal(t, len(l.stops), 2, "%v", l.stops)
}

// worker describes a worker, which leaves in 1.5 s if it drains.
func (l *evacuationLoad) worker(id string, draining bool) scheduler.Worker {
	w := scheduler.Worker{ID: id, Address: id, Born: 5, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}, Draining: draining}
	if draining {
		w.DrainLeft = 1500 * time.Millisecond
	}
	return w
}

// Guards against a stop of a persistent task while another one of its step is missing because it was given up.
func TestGivenUpTaskCountsInTheBudget(t *testing.T) {
	step := &pb.JobStep{Count: 3, CpuMilli: 600, Persistent: true, MayMiss: 1}
	for name, crashes := range map[string]map[int64]*pb.CrashHistory{"none given up": nil, "one given up": {2: {Workers: 4, GivenUp: true}}} {
		t.Run(name, func(t *testing.T) {
			workers := []string{"w1", "w2", "w3", "w4"}
			l := newEvacuationLoad(time.Hour, workers...)
			l.percent = 100
			l.pool = scheduler.New(simConfig)
			l.pool.Load(l.now, []*pb.JobRecord{{Id: "a", Queue: "q", Spec: &pb.JobSpec{Steps: []*pb.JobStep{step}}}}, []*pb.JobProgress{{
				Id: "a", Occurrences: []*pb.OccurrenceProgress{{Steps: []*pb.StepProgress{{Crashes: crashes}}}},
			}}, nil)
			l.pool.SetWorkers(l.now, []scheduler.Worker{l.worker("w1", false), l.worker("w2", false), l.worker("w3", false), l.worker("w4", false)})
			l.play(10*time.Second, workers...)
			l.evacuateInTurn(1, workers...)
			assert.Equal(t, len(l.stops) > 0, crashes == nil, "%v", l.stops)
		})
	}
}
