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

// refusing are workers whose addresses refuse connections.
type refusing struct {
	endless
	holds atomic.Int64
}

func (r *refusing) Hold(context.Context, poolowner.HoldRequest) (scheduler.Report, error) {
	r.holds.Add(1)
	return scheduler.Report{}, syscall.ECONNREFUSED
}

// Addresses of workers that had ended were tried seven times a second each until their entries were gone: on a narrow link
// these attempts took room from orders.
func TestRefusingAddressesAreTriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &refusing{endless: endless{running: make(map[string][]scheduler.RunningTask)}}
		_, end := term(t, options(t, memtxn.New().Client("host"), workers), "w1")
		time.Sleep(time.Second)
		// That the worker has ended is known soon.
		assert.Assert(t, workers.holds.Load() >= 3, "%d", workers.holds.Load())
		before := workers.holds.Load()
		time.Sleep(10 * time.Second)
		tried := workers.holds.Load() - before
		assert.Assert(t, tried >= 10 && tried <= 20, "%d", tried)
		end()
	})
}
