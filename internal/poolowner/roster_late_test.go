package poolowner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// lateRoster does not answer reads of the roster until a time.
type lateRoster struct {
	poolowner.Jobs
	until time.Time
}

func (l *lateRoster) Roster(ctx context.Context, pool string) (*pb.Roster, uint64, error) {
	if time.Now().Before(l.until) {
		return nil, 0, store.Unavailable.New("silent")
	}
	return l.Jobs.Roster(ctx, pool)
}

// Guards against two runs of a task: the next owner reads the roster, which tells that a worker may have the longest lease, only after it
// has waited for leases that owners ask for, and counts the takeover as done by then.
func TestRosterThatIsReadLateTellsOfLongerLeases(t *testing.T) {
	for _, served := range []time.Duration{100, 200, 300, 400, 600, 800, 1000} {
		t.Run(fmt.Sprintf("owner ends after %d ms", served), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := memtxn.New().Client("host")
				workers := &returningWorkers{leaseWorkers: newLeaseWorkers(), born: map[string]int64{}}
				owner, stop := startOwner(t, newOptions(t, host, workers))
				owner.SetWorkers(workers.listedWorkers("w1"))
				time.Sleep(settleTime)
				workers.restart()
				owner.SetWorkers(workers.listedWorkers("w1"))
				acceptJob(t, host, 1)
				time.Sleep(served * time.Millisecond)
				stop()
				assert.Equal(t, workers.runningOn("w1"), 1)
				next := newOptions(t, host, workers)
				next.Jobs = &lateRoster{Jobs: next.Jobs, until: time.Now().Add(8700 * time.Millisecond)}
				workers.setUnreachable(next.Config.Fence, "w1")
				owner, stop = startOwner(t, next)
				owner.SetWorkers(workers.listedWorkers("w1", "w2"))
				time.Sleep(20 * time.Second)
				stop()
				assert.Assert(t, !workers.sawDuplicate())
				assert.Equal(t, workers.runningOn("w2"), 1)
			})
		})
	}
}
