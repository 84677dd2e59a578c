package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// countGangAttempts counts the attempts of a gang of three in 20 s. Each start is answered with the outcome; those that are
// done end as given 20 ms later.
func countGangAttempts(outcome scheduler.Outcome, end scheduler.RunEnd) (attempts int, state pb.JobState) {
	workers := []string{"w1", "w2", "w3"}
	b := newTestPool(workers...)
	b.add("a", &pb.JobStep{Count: 3, CpuMilli: 1000, EstimateMs: 2000, Gang: true})
	runs := map[int64]bool{}
	for range 1000 {
		ended := map[string][]scheduler.EndedRun{}
		for _, o := range b.pool.Step(b.now).Orders {
			if o.Kind != scheduler.OrderStart {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
				continue
			}
			runs[o.Run] = true
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: outcome, Clock: b.clock})
			if outcome == scheduler.OutcomeDone {
				b.lastEnd++
				ended[o.Worker] = append(ended[o.Worker], scheduler.EndedRun{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: end})
			}
		}
		b.advance(20 * time.Millisecond)
		for _, w := range workers {
			b.report(w, nil, ended[w])
		}
	}
	return len(runs), b.pool.State("a")
}

// Guards against a gang that is started again without pause while its attempts end alone or broken, or a member is refused:
// the code before had 1,000 attempts in 20 s. The job does not fail, as such ends are no failed attempts.
func TestBrokenGangIsRetriedWithPauses(t *testing.T) {
	for _, end := range []scheduler.RunEnd{scheduler.EndAlone, scheduler.EndBroken} {
		attempts, state := countGangAttempts(scheduler.OutcomeDone, end)
		assert.Assert(t, attempts >= 10 && attempts <= 17, "%d attempts that ended %v", attempts, end)
		assert.Equal(t, state, pb.JobState_JOB_STATE_RUNNING)
	}
	attempts, state := countGangAttempts(scheduler.OutcomeInvalid, scheduler.EndUnknown)
	assert.Assert(t, attempts >= 10 && attempts <= 17, "%d refused attempts", attempts)
	assert.Equal(t, state, pb.JobState_JOB_STATE_QUEUED)
}
