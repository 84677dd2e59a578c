package poolowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against a task that runs again after its success: a replaced owner had started the task of a job accepted after the takeover, and
// the new owner acknowledged its end before it knew the job.
func TestEndOfAJobThatIsNotKnownYetIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		acknowledged := false
		end := scheduler.EndedRun{Number: 1, Task: scheduler.TaskID{Job: jobID}, Run: 1, End: scheduler.EndSucceeded}
		workers := &scriptedWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			report := scheduler.Report{Born: 1, Running: workers.running[r.Worker]}
			acknowledged = acknowledged || r.LastSeen >= end.Number
			if !acknowledged {
				report.Ended = []scheduler.EndedRun{end}
			}
			return report, nil
		}
		owner, stop := startOwner(t, newOptions(t, shared.Client("owner"), workers))
		time.Sleep(settleTime)
		shared.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: 3 * time.Second})
		acceptJob(t, shared.Client("host"), 1)
		owner.SetWorkers(testWorkers([]string{"w1"}))
		time.Sleep(time.Minute)
		stop()
		assert.Equal(t, workers.runningOn("w1"), 0)
		assert.Assert(t, acknowledged)
	})
}
