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
	// stops counts the stop orders by task.
	stops map[scheduler.TaskID]int
}

func newEvacuationLoad(duration time.Duration, workers ...string) *evacuationLoad {
	return &evacuationLoad{
		testPool: newTestPool(workers...), duration: duration, running: map[string][]scheduler.RunningTask{},
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
				l.running[o.Worker] = append(l.running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 10})
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
