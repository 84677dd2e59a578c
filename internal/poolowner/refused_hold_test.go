package poolowner_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// refusingWorkers are workers whose addresses refuse connections.
type refusingWorkers struct {
	fakeWorkers
	holds atomic.Int64
}

func (r *refusingWorkers) Hold(context.Context, poolowner.HoldRequest) (scheduler.Report, error) {
	r.holds.Add(1)
	return scheduler.Report{}, syscall.ECONNREFUSED
}

// Holds to an address that refuses connections back off. Retries at seven per second, until the entry of the ended worker
// was removed, took bandwidth from orders on a slow link.
func TestRefusedHoldsAreRetriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &refusingWorkers{fakeWorkers: fakeWorkers{running: make(map[string][]scheduler.RunningTask)}}
		_, stop := startOwner(t, newOptions(t, memtxn.New().Client("host"), workers), "w1")
		time.Sleep(time.Second)
		// The end of the worker is detected quickly.
		assert.Assert(t, workers.holds.Load() >= 3, "%d", workers.holds.Load())
		before := workers.holds.Load()
		time.Sleep(10 * time.Second)
		tried := workers.holds.Load() - before
		assert.Assert(t, tried >= 10 && tried <= 20, "%d", tried)
		stop()
	})
}
