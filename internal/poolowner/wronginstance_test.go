package poolowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// elsewhere is the address of a worker of another pool, which answers calls for any other worker as a wrong instance.
const elsewhere = "elsewhere"

type misdirectedWorkers struct{ *leaseWorkers }

func (m misdirectedWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	if o.Address == elsewhere {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeGone}
	}
	return m.leaseWorkers.Start(ctx, o, fence)
}

func (m misdirectedWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	if r.Address == elsewhere {
		return scheduler.Report{Worker: r.Worker, Sent: time.Now(), Received: time.Now(), Gone: true}, nil
	}
	return m.leaseWorkers.Hold(ctx, r)
}

// Guards against two runs of a task: an entry over the key of a live worker named another worker's address, and its answer as a
// wrong instance was taken for the end of the live one, by its owner and by the next one.
func TestWrongInstanceAtAnAddressNeverHeardFromEndsNoRuns(t *testing.T) {
	for name, takeover := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New().Client("owner")
				workers := misdirectedWorkers{newLeaseWorkers()}
				acceptJob(t, kv, 1)
				owner, stop := startOwner(t, newOptions(t, kv, workers), "w1")
				time.Sleep(settleTime)
				assert.Equal(t, workers.runningOn("w1"), 1)
				listed := testWorkers([]string{"w1", "w2"})
				listed[0].Address = elsewhere
				owner.SetWorkers(listed)
				time.Sleep(settleTime)
				if takeover {
					stop()
					owner, stop = startOwner(t, newOptions(t, kv, workers))
					owner.SetWorkers(listed)
				}
				time.Sleep(20 * time.Second) // the lease expires
				assert.Assert(t, !workers.sawDuplicate())
				assert.Equal(t, workers.runningOn("w2"), 1)
				stop()
			})
		})
	}
}
