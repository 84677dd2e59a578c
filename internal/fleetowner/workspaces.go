package fleetowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/quotawire"
	"github.com/agateturn/agateturn/quota"
	"github.com/agateturn/agateturn/store"
)

// showInterval is the interval at which the allocations are shown.
const showInterval = time.Second

// stepWorkspaces divides the caps of the workspaces over the pools. It does nothing without workspaces.
func (t *term) stepWorkspaces(now time.Time) {
	if t.Workspaces == nil {
		return
	}
	workspaces := t.Workspaces()
	if t.allocator == nil {
		if workspaces == nil {
			return
		}
		t.allocator = quota.NewAllocator()
	}
	var names []string
	for name, p := range t.pools {
		if !p.Spare {
			names = append(names, name)
			p.readFloor()
		}
	}
	t.allocator.SetPools(names)
	t.allocator.SetWorkspaces(workspaces)
	for _, name := range names {
		t.pools[name].setGrants(t.allocator.Grants(now, name))
	}
	if t.ShowAllocations != nil && now.Sub(t.shownAt) >= showInterval {
		t.shownAt = now
		t.ShowAllocations(t.allocator.Allocations())
	}
}

// readPoolFence reads which owner of the pool the store names. Reports of earlier ones do not count: their successor may
// still have taken grants from the previous fleet owner. A successor that acquires the pool later than this read finds the
// present fleet owner in the store and rejects earlier ones.
func (t *term) readPoolFence(ctx context.Context, p *poller) {
	backoff := store.DefaultBackoff()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, rangeTimeout)
		item, err := t.Store.Get(call, t.PoolGuard(p.Name, 0).Key)
		cancel()
		if err == nil {
			_ = t.post(ctx, func(time.Time) {
				p.floorRead = true
				t.allocator.SetFence(p.Name, item.Version)
			})
			return
		}
		_ = backoff.Sleep(ctx)
	}
}

// observeUsage passes what a pool's owner reports, in the answer to the request with that sequence and version of grants.
func (t *term) observeUsage(now time.Time, p *poller, sequence, version uint64) {
	if t.allocator == nil || !p.floorRead {
		return
	}
	t.allocator.Observe(now, p.Name, quota.Report{
		Fence: p.status.GetFence(), Sequence: sequence, Version: version, UsageKnown: p.status.GetUsageKnown(),
		Usage: quotawire.DecodeUsage(p.status.GetWorkspaces()),
	})
}
