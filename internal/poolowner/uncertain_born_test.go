package poolowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against two runs of a task: the write that tells that a returned worker is unsettled gets no answer and has not taken effect, a
// task starts there, and the next owner, whose list of workers lags, finds the earlier incarnation recorded and listed.
func TestUncertainRecordOfAReturnedWorkerIsNotBuiltOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		host := shared.Client("host")
		workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
		owner, stop := startOwner(t, newOptions(t, shared.Client("owner"), workers))
		before := workers.listedWorkers("w1", "w2")
		owner.SetWorkers(before[:1])
		time.Sleep(settleTime)
		shared.SetFaults(memtxn.Faults{Plan: func(client string, call memtxn.Call) memtxn.Outcome {
			if client == "owner" && call == memtxn.CallCommit {
				return memtxn.LoseRequest
			}
			return memtxn.Serve
		}})
		workers.restart()
		owner.SetWorkers(workers.listedWorkers("w1"))
		time.Sleep(50 * time.Millisecond)
		acceptJob(t, host, 1)
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			owner.SetWorkers(workers.listedWorkers("w1"))
		}
		stop()
		shared.SetFaults(memtxn.Faults{})
		next := newOptions(t, host, workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		owner, stop = startOwner(t, next)
		owner.SetWorkers(before)
		time.Sleep(20 * time.Second)
		stop()
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w2"), 1)
	})
}
