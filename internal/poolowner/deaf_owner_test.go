package poolowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/store/memtxn"
)

// Guards against two runs of a task: another host acquires the pool while the lease of its owner lasts, the owner's watch is
// stalled and its writes are refused, and the next owner cannot reach the worker whose lease the old one extends.
func TestOwnerWithAStalledWatchKeepsNoTaskAliveBeyondTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		acceptJob(t, shared.Client("host"), 1)
		workers := newLeaseWorkers()
		o := newOptions(t, shared.Client("deaf"), workers)
		shared.Remove(jobkeys.Owner(pool))
		fences, lost := make(chan uint64, 1), make(chan uint64, 1)
		member := membership.New(shared.Client("deaf"), membership.Self{Name: "deaf", Incarnation: "deaf"}, membership.Events{
			Gained: func(_ string, fence uint64) { fences <- fence },
			Lost:   func(_ string, fence uint64) { lost <- fence },
		}, time.Now, o.Log, membership.Options{})
		member.SetPools([]string{pool})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- member.Run(ctx) }()
		fence := <-fences
		o.Config.Fence = fence
		o.Confirmed = func() bool {
			held, ok := member.Confirmed(pool)
			return ok && held == fence
		}
		o.ConfirmedFrom = func() time.Time { return member.ConfirmedFrom(pool, fence) }
		o.Confirm = func(ctx context.Context) bool { return member.Confirm(ctx, pool, fence) }
		o.Replaced = func() { member.Replaced(pool, fence) }
		owner, stopDeaf := startOwner(t, o, "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		owner.SetWorkers(testWorkers([]string{"w1", "w2"}))
		refuseWrites := func(client string, call memtxn.Call) memtxn.Outcome {
			if client == "deaf" && call == memtxn.CallCommit {
				return memtxn.Refuse
			}
			return memtxn.Serve
		}
		shared.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: time.Hour, Plan: refuseWrites})
		time.Sleep(4 * time.Second) // a stale read takes its state before the change
		workers.setUnreachable(fence, "w2")
		next := newOptions(t, shared.Client("owner"), workers)
		workers.setUnreachable(next.Config.Fence, "w1")
		_, stop := startOwner(t, next, "w2")
		time.Sleep(time.Minute)
		assert.Assert(t, !workers.sawDuplicate())
		assert.Equal(t, workers.runningOn("w1"), 0)
		assert.Equal(t, workers.runningOn("w2"), 1)
		assert.Equal(t, <-lost, fence)
		stopDeaf()
		stop()
		cancel()
		assert.NilError(t, <-done)
	})
}
