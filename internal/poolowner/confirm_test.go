package poolowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against a task that starts later than it could: once the lease of its worker has expired, the ownership is confirmed at once,
// not with the next renewal.
func TestOwnershipIsConfirmedWhenALeaseHasExpired(t *testing.T) {
	const (
		renewal  = 900 * time.Millisecond
		answered = 20 * time.Millisecond
	)
	// startsAgainAfter returns how long after the worker became silent its task starts elsewhere.
	startsAgainAfter := func(t *testing.T, confirmedAlways bool) (after time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			kv := memtxn.New().Client("host")
			acceptJob(t, kv, 1)
			workers := newLeaseWorkers()
			o := newOptions(t, kv, workers)
			if !confirmedAlways {
				began := time.Now()
				var confirmed atomic.Pointer[time.Time]
				o.ConfirmedFrom = func() time.Time {
					renewed := began.Add(time.Since(began).Truncate(renewal))
					if at := confirmed.Load(); at != nil && at.After(renewed) {
						return *at
					}
					return renewed
				}
				o.Confirm = func(context.Context) bool {
					now := time.Now()
					time.Sleep(answered)
					confirmed.Store(&now)
					return true
				}
			}
			owner, stop := startOwner(t, o, "w1")
			time.Sleep(settleTime)
			assert.Equal(t, workers.runningOn("w1"), 1)
			owner.SetWorkers(testWorkers([]string{"w1", "w2"}))
			time.Sleep(leaseSettleTime)
			workers.setUnreachable(o.Config.Fence, "w1")
			silentSince := time.Now()
			for workers.runningOn("w2") == 0 {
				time.Sleep(time.Millisecond)
			}
			after = time.Since(silentSince)
			assert.Assert(t, !workers.sawDuplicate())
			stop()
		})
		return after
	}
	late := startsAgainAfter(t, false) - startsAgainAfter(t, true)
	assert.Assert(t, late <= answered+10*time.Millisecond, "starts %s later than with an ownership that is always confirmed", late)
}
