package poolowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// slowRoster is a store that takes a while to write the roster.
type slowRoster struct{ poolowner.Jobs }

func (s slowRoster) SetRoster(ctx context.Context, pool string, fence uint64, r *pb.Roster, version uint64) (uint64, error) {
	time.Sleep(settleTime)
	return s.Jobs.SetRoster(ctx, pool, fence, r, version)
}

// Guards against a takeover that does not wait for a recorded worker because the registry lists it with another address.
func TestTakeoverWaitsForAWorkerWithAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		acceptJob(t, kv, 1)
		workers := &fakeWorkers{running: make(map[string][]scheduler.RunningTask)}
		_, stop := startOwner(t, newOptions(t, kv, workers), "w1")
		time.Sleep(settleTime)
		assert.Equal(t, workers.runningOn("w1"), 1)
		stop()
		workers.setSilent("w1")
		o := newOptions(t, kv, workers)
		o.Jobs = slowRoster{o.Jobs}
		owner, stop := startOwner(t, o)
		listed := testWorkers([]string{"w1", "w2"})
		listed[0].Address = "elsewhere"
		owner.SetWorkers(listed)
		time.Sleep(5 * time.Second) // less than the lease
		assert.Equal(t, workers.runningOn("w2"), 0)
		stop()
	})
}
