package poolowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against two runs of a task: as in TestLeaseOfAReturnedWorkerOutlastsItsOwner, but the entry of the worker in the registry has
// expired, or names another address, when the next owner takes over, so that only the roster tells of the worker.
func TestLeaseOfAnUnlistedReturnedWorkerOutlastsItsOwner(t *testing.T) {
	for _, entry := range []string{"expired", "with another address"} {
		for _, served := range []time.Duration{300, 600, 1000, 1500} {
			t.Run(fmt.Sprintf("%s, owner ends after %d ms", entry, served), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					shared := memtxn.New()
					host := shared.Client("host")
					workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
					owner, stop := startOwner(t, newOptions(t, host, workers))
					owner.SetWorkers(workers.listedWorkers("w1"))
					time.Sleep(settleTime)
					workers.restart()
					owner.SetWorkers(workers.listedWorkers("w1"))
					acceptJob(t, host, 1)
					time.Sleep(served * time.Millisecond)
					stop()
					next := newOptions(t, host, workers)
					workers.setUnreachable(next.Config.Fence, "w1")
					owner, stop = startOwner(t, next)
					listed := workers.listedWorkers("w2")
					if entry == "with another address" {
						moved := workers.listedWorkers("w1")[0]
						moved.Address = "10.0.0.99:80"
						listed = []scheduler.Worker{moved, listed[0]}
					}
					owner.SetWorkers(listed)
					time.Sleep(15 * time.Second)
					stop()
					assert.Assert(t, !workers.sawDuplicate())
					assert.Equal(t, workers.runningOn("w2"), 1)
				})
			})
		}
	}
}
