package fleetowner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/fleetowner"
	"github.com/agateturn/agateturn/internal/quotawire"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
)

// cappedPools are owners of pools, with fencing tokens that the store names, whose waiting tasks start at once.
type cappedPools struct {
	mu     sync.Mutex
	fences map[string]uint64
	limits map[string]*quota.Limits
	usage  map[string]quota.Usage
	// polls holds when each pool was asked, grants how many grants were sent.
	polls  map[string][]time.Time
	grants int
	// lose drops that many answers with grants.
	lose int
}

func (c *cappedPools) Status(_ context.Context, r *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := r.GetPool()
	c.polls[pool] = append(c.polls[pool], time.Now())
	c.grants += len(r.GetGrants())
	if r.GetPoolFence() == c.fences[pool] {
		c.limits[pool].Apply(quotawire.DecodeGrants(r.GetGrants()))
	}
	u := c.usage[pool]
	if limit := c.limit(pool); u.Waiting.CPUMilli > 0 && u.Used.CPUMilli+u.Next.CPUMilli <= limit {
		u = quota.Usage{Workspace: "w", Used: quota.Resources{CPUMilli: u.Used.CPUMilli + u.Next.CPUMilli}}
		c.usage[pool] = u
	}
	if c.lose > 0 && len(r.GetGrants()) > 0 {
		c.lose--
		return nil, context.DeadlineExceeded
	}
	return &pb.PoolStatusResponse{
		Owner: true, Fence: c.fences[pool], UsageKnown: true,
		Workspaces: quotawire.EncodeUsage(c.limits[pool].Report([]quota.Usage{u})),
	}, nil
}

func (c *cappedPools) limit(pool string) int64 { return c.limits[pool].InForce()["w"].CPUMilli }

func (c *cappedPools) submit(pool string, cpu int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usage[pool]
	u.Workspace, u.Next, u.Waiting = "w", quota.Resources{CPUMilli: cpu}, quota.Resources{CPUMilli: cpu}
	c.usage[pool] = u
}

func newCappedPools(f *fixture, workspaces []queue.Workspace, names ...string) *cappedPools {
	c := &cappedPools{
		fences: map[string]uint64{}, limits: map[string]*quota.Limits{}, usage: map[string]quota.Usage{}, polls: map[string][]time.Time{},
	}
	for _, name := range names {
		c.fences[name] = f.store.set("agateturn/owner/"+name, "p")
		c.limits[name] = quota.NewLimits()
		c.limits[name].SetWorkspaces(workspaces, nil)
		c.limits[name].Found(nil)
	}
	return c
}

func startCapped(t *testing.T, workspaces []queue.Workspace) (c *cappedPools, stop func() error) {
	f := newFixture(2, 1)
	c = newCappedPools(f, workspaces, "a", "b")
	o := f.options(1)
	o.Pools = c
	o.Configured = func() []fleetowner.Pool {
		return []fleetowner.Pool{{Name: "a"}, {Name: "b"}, {Name: "spare", Spare: true}}
	}
	o.Workspaces = func() []queue.Workspace { return workspaces }
	return c, start(t, fleetowner.New(o))
}

// Guards against limits that do not reach the pools, or that reach them later than a second after work waits, also if answers
// are lost, and against polls of a pool more often than every 40 ms.
func TestGrantsFollowDemandWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startCapped(t, []queue.Workspace{{Name: "w", Cap: queue.Cap{CPUMilli: 8000}}})
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		assert.Equal(t, c.limit("a"), int64(4000))
		assert.Equal(t, c.limit("b"), int64(4000))
		c.lose = 1
		c.mu.Unlock()
		c.submit("a", 7000)
		time.Sleep(time.Second)
		c.mu.Lock()
		assert.Equal(t, c.usage["a"].Used.CPUMilli, int64(7000))
		assert.Assert(t, c.limit("a")+c.limit("b") <= 8000)
		for pool, polls := range c.polls {
			for n := range polls[1:] {
				assert.Assert(t, polls[n+1].Sub(polls[n]) >= 40*time.Millisecond, "%s: %v", pool, polls[n+1].Sub(polls[n]))
			}
		}
		c.mu.Unlock()
		_ = stop()
	})
}

// Guards against grants, or polls more often than before, in a deployment without workspaces.
func TestNoWorkspacesNoGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startCapped(t, nil)
		c.submit("a", 7000)
		time.Sleep(3 * time.Second)
		_ = stop()
		assert.Equal(t, c.grants, 0)
	})
}
