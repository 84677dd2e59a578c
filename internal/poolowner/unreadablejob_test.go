package poolowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against ends that are never acknowledged: one of a job whose record cannot be read is held for ever, and all later ends of its
// worker with it. A worker tells 500 ends at a time, so those beyond them would never be heard of.
func TestEndOfAnUnreadableJobDoesNotHoldOtherEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Job(pool, jobID), Data: []byte("\xff")}}})
		assert.NilError(t, err)
		workers := &scriptedWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
		seen := int64(0)
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			seen = max(seen, r.LastSeen)
			report := scheduler.Report{Born: 1}
			for number := seen + 1; number <= 2; number++ {
				task := scheduler.TaskID{Job: jobID}
				if number == 2 {
					task.Job = "ffffffffffffffff"
				}
				report.Ended = append(report.Ended, scheduler.EndedRun{Number: number, Task: task, Run: 1, End: scheduler.EndSucceeded})
			}
			return report, nil
		}
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(10 * time.Minute)
		stop()
		assert.Equal(t, seen, int64(2))
	})
}
