package poolowner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against a task that runs twice: it starts on an idle worker just after the roster was told that the worker runs nothing, and
// the roster drops the worker, whose entry in the registry has expired, so that the next owner does not know it.
func TestNothingStartsOnAWorkerThatTheRosterDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		o := newOptions(t, kv, workers)
		var blocked atomic.Bool
		unblocked := make(chan struct{})
		o.Clock = func() time.Time {
			if blocked.Load() {
				<-unblocked
			}
			return time.Now()
		}
		owner, stop := startOwner(t, o, "w1", "w2")
		time.Sleep(settleTime)
		blocked.Store(true)
		owner.SetWorkers(testWorkers([]string{"w2"}))
		synctest.Wait()
		owner.Offer([]*pb.JobRecord{acceptJob(t, kv, 2)}, nil)
		close(unblocked)
		time.Sleep(settleTime)
		stop()
		assert.Equal(t, workers.runningOn("w2"), 1)

		_, stop = startOwner(t, newOptions(t, kv, workers), "w2", "w3")
		time.Sleep(time.Minute)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
	})
}
