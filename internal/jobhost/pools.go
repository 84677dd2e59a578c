package jobhost

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// ownerQueryTimeout bounds a query to an owner on this host.
const ownerQueryTimeout = 250 * time.Millisecond

// term is a period during which this host owns a pool.
type term struct {
	fence  uint64
	cancel context.CancelFunc
	// done is closed when all goroutines of the term have ended.
	done chan struct{}
	// owner is nil for the fleet.
	owner *poolowner.Owner
}

// pools manages the terms of ownership of this host. It is safe for concurrent use.
type pools struct {
	ctx context.Context
	log *slog.Logger
	// newOwner creates the owner of a pool, and a function that releases its resources after the term. runFleet acts as the
	// owner of the fleet until its context ends.
	newOwner func(pool string, fence uint64) (owner *poolowner.Owner, release func())
	runFleet func(ctx context.Context, fence uint64)
	// takeFrom takes over a pool at the request of its owner, whose fence is given.
	takeFrom func(ctx context.Context, pool string, fence uint64) error
	// onFirstPool is called whenever a pool other than the fleet is gained; only the first call has an effect.
	onFirstPool func()

	mu sync.Mutex
	// terms is keyed by pool.
	terms   map[string]*term
	table   *queue.Table
	workers map[string][]scheduler.Worker
	group   sync.WaitGroup
}

// startTerm starts a term. It first ends an earlier one of the same pool, without waiting for its goroutines.
func (p *pools) startTerm(pool string, fence uint64) {
	p.endTerm(pool, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithCancel(p.ctx)
	t := &term{fence: fence, cancel: cancel, done: make(chan struct{})}
	p.terms[pool] = t
	if pool == membership.FleetPool {
		p.group.Go(func() {
			defer close(t.done)
			p.runFleet(ctx, fence)
		})
		return
	}
	p.onFirstPool()
	owner, release := p.newOwner(pool, fence)
	t.owner = owner
	p.group.Go(func() {
		defer close(t.done)
		defer release()
		if err := t.owner.Run(ctx); err != nil {
			events.Emit(ctx, p.log, events.PoolOwnerEnded, "pool", pool, "fence", fence, "err", err)
		}
	})
	if p.table != nil {
		t.owner.SetQueues(ctx, p.table)
	}
	if workers, ok := p.workers[pool]; ok {
		t.owner.SetWorkers(workers)
	}
}

// endTerm ends the term with the given fence, or any term of the pool if fence is 0. It does not wait for the term's end.
func (p *pools) endTerm(pool string, fence uint64) {
	p.mu.Lock()
	t := p.terms[pool]
	if t == nil || (fence != 0 && t.fence != fence) {
		p.mu.Unlock()
		return
	}
	delete(p.terms, pool)
	p.mu.Unlock()
	t.cancel()
}

// endTermAndWait ends the term of a pool and waits until all its goroutines have ended.
func (p *pools) endTermAndWait(pool string) {
	p.mu.Lock()
	t := p.terms[pool]
	p.mu.Unlock()
	if t == nil {
		return
	}
	p.endTerm(pool, t.fence)
	<-t.done
}

// setTable applies a new version of the queues to all terms.
func (p *pools) setTable(ctx context.Context, table *queue.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = table
	for _, t := range p.terms {
		if t.owner != nil {
			t.owner.SetQueues(ctx, table)
		}
	}
}

// setWorkers passes the registered workers to the terms of their pools.
func (p *pools) setWorkers(workers map[string][]scheduler.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = workers
	for pool, t := range p.terms {
		if t.owner != nil {
			t.owner.SetWorkers(workers[pool])
		}
	}
}

func (p *pools) owner(pool string) *poolowner.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.terms[pool]; t != nil {
		return t.owner
	}
	return nil
}

// States returns the states of jobs, as callers of the workspaces see them. It reports false if this host does not own the pool or the owner does not answer.
func (p *pools) States(pool string, ids, workspaces []string) ([]pb.JobState, bool) {
	owner := p.owner(pool)
	if owner == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, ownerQueryTimeout)
	defer cancel()
	return owner.States(ctx, ids, workspaces)
}

// Offer passes new jobs and cancellations to the owner on this host. It reports false if this host does not own the pool.
func (p *pools) Offer(pool string, jobs []*pb.JobRecord, cancelled []*pb.JobCancel) bool {
	owner := p.owner(pool)
	if owner == nil {
		return false
	}
	owner.Offer(jobs, cancelled)
	return true
}

// Wait returns how long a new job of a pool would wait for the owner on this host to order its tasks. It
// returns 0 if this host does not own the pool.
func (p *pools) Wait(pool string) time.Duration {
	if owner := p.owner(pool); owner != nil {
		return owner.OrderDelay()
	}
	return 0
}

// Pending returns the number of jobs of a queue for which no task has started. It reports false if this host does not own
// the pool or the owner does not answer.
func (p *pools) Pending(pool, queue string) (int64, bool) {
	owner := p.owner(pool)
	if owner == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, ownerQueryTimeout)
	defer cancel()
	return owner.Pending(ctx, queue)
}

// Status sets which workers to evacuate and returns the load of the pool. It reports false if this host does not own the
// pool, the owner does not answer or the request is outdated.
func (p *pools) Status(r *pb.PoolStatusRequest) (*pb.PoolStatusResponse, bool) {
	owner := p.owner(r.GetPool())
	if owner == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, ownerQueryTimeout)
	defer cancel()
	status, ok := owner.Status(ctx, r)
	if ok {
		status.Owner = true
		status.Fence = owner.Config.Fence
	}
	return status, ok
}

// TakeFrom takes over a pool at the request of its owner, whose fence is given.
func (p *pools) TakeFrom(ctx context.Context, pool string, fence uint64) error {
	return p.takeFrom(ctx, pool, fence)
}
