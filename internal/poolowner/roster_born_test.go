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

// Guards against a worker that gets no task any more: an entry with a later start, which another writer had left for a moment, was
// recorded in the roster and went before all entries of the worker itself.
func TestWorkerIsUsedAgainAfterAnEntryWithALaterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		workers := &scriptedWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
		workers.answer = func(r poolowner.HoldRequest) (scheduler.Report, error) {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			return scheduler.Report{Born: 1000, Running: workers.running[r.Worker]}, nil
		}
		owner, stop := startOwner(t, newOptions(t, kv, workers))
		list := func(address string, born int64) {
			listed := testWorkers([]string{"w1"})
			listed[0].Address, listed[0].Born = address, born
			owner.SetWorkers(listed)
			time.Sleep(5 * time.Second)
		}
		list("w1", 1000)
		list("elsewhere", 2000)
		list("w1", 1000)
		acceptJob(t, kv, 1)
		time.Sleep(time.Minute)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
	})
}
