package fleetowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/quotawire"
	"github.com/agateturn/agateturn/quota"
)

const (
	pollTimeout = 500 * time.Millisecond
	// busyPollInterval and idlePollInterval are the intervals between polls of a pool. The start of a burst must be
	// detected early even if the fleet is idle.
	busyPollInterval = 120 * time.Millisecond
	idlePollInterval = 250 * time.Millisecond
	// minPollSpacing is the minimum mean time between polls of any pools.
	minPollSpacing = 20 * time.Millisecond
)

// poller polls the owner of one pool. status and sent belong to the loop.
type poller struct {
	Pool
	stop context.CancelFunc
	// start starts polling, once, when the list of evacuated workers is known: an empty one would release hosts that
	// have been ordered away.
	start  func()
	status *pb.PoolStatusResponse
	sent   time.Time
	// readFloor reads, once, the fencing token of the pool's owner that the store names. floorRead is set afterwards.
	readFloor    func()
	floorRead    bool
	incarnations incarnations

	changed chan struct{}
	// granted is signalled when there are new grants.
	granted chan struct{}
	mu      sync.Mutex
	workers []string
	due     []string
	ended   []*pb.WorkerIncarnation
	grants  quota.Batch
}

// syncPollers keeps a poller for each configured pool.
func (t *term) syncPollers(ctx context.Context) {
	configured := map[string]bool{}
	defer func() { t.poolCount.Store(int64(len(t.pools))) }()
	for _, pool := range t.Configured() {
		configured[pool.Name] = true
		if p := t.pools[pool.Name]; p != nil && p.Pool == pool {
			continue
		}
		t.dropPool(pool.Name)
		t.addPool(ctx, pool)
	}
	for name := range t.pools {
		if !configured[name] {
			t.dropPool(name)
		}
	}
}

func (t *term) dropPool(name string) {
	if p := t.pools[name]; p != nil {
		p.stop()
		delete(t.pools, name)
	}
}

func (t *term) addPool(ctx context.Context, pool Pool) {
	ctx, stop := context.WithCancel(ctx)
	p := &poller{Pool: pool, stop: stop, changed: make(chan struct{}, 1), granted: make(chan struct{}, 1)}
	t.pools[pool.Name] = p
	p.start = sync.OnceFunc(func() {
		if pool.Spare {
			return
		}
		t.group.Go(func() error {
			t.pollPool(ctx, p)
			return nil
		})
	})
	p.readFloor = sync.OnceFunc(func() {
		t.group.Go(func() error {
			t.readPoolFence(ctx, p)
			return nil
		})
	})
}

// pollPool polls until ctx ends.
func (t *term) pollPool(ctx context.Context, p *poller) {
	for ctx.Err() == nil {
		sent := t.Clock()
		request, version := t.statusRequest(p)
		if status := t.requestStatus(ctx, request); status != nil {
			_ = t.post(ctx, func(now time.Time) {
				p.status, p.sent = status, sent
				p.incarnations.observe(now, status.GetWorkers(), &t.index)
				t.observeUsage(now, p, request.GetSequence(), version)
			})
		}
		interval := idlePollInterval
		if t.busy.Load() {
			interval = busyPollInterval
		}
		interval = max(interval, minPollSpacing*time.Duration(t.poolCount.Load()))
		p.wait(ctx, interval-t.Clock().Sub(sent), minStepInterval-t.Clock().Sub(sent))
	}
}

// statusRequest returns the next request, and the version of the grants in it.
func (t *term) statusRequest(p *poller) (request *pb.PoolStatusRequest, version uint64) {
	sequence := t.sequence.Add(1)
	workers, due, ended, grants := p.current()
	request = &pb.PoolStatusRequest{
		Pool: p.Name, Sequence: sequence, Evacuate: workers, Due: due, FleetFence: t.fence, Ended: ended,
	}
	if len(grants.Grants) > 0 {
		request.PoolFence = grants.Fence
		request.Grants = quotawire.EncodeGrants(grants.Grants)
	}
	return request, grants.Version
}

func (t *term) requestStatus(ctx context.Context, request *pb.PoolStatusRequest) *pb.PoolStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := t.Pools.Status(ctx, request)
	if err != nil || !status.GetOwner() {
		return nil
	}
	return status
}

// wait returns after d, or earlier when the list of evacuated workers has changed, or there are new grants; in the last case
// after grantDelay at the earliest.
func (p *poller) wait(ctx context.Context, d, grantDelay time.Duration) {
	timer := time.NewTimer(max(d, minStepInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.changed:
	case <-p.granted:
		timer.Reset(max(grantDelay, 0))
		select {
		case <-ctx.Done():
		case <-p.changed:
		case <-timer.C:
		}
	case <-timer.C:
	}
}

// setWorkers sets the workers to be evacuated, and those whose hosts are due for upkeep. A changed list of the former is
// sent immediately.
func (p *poller) setWorkers(workers, due []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = due
	if slices.Equal(p.workers, workers) {
		return
	}
	p.workers = workers
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// setEnded sets the incarnations of workers that have ended. New ones are sent immediately.
func (p *poller) setEnded(ended []*pb.WorkerIncarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := slices.ContainsFunc(ended, func(e *pb.WorkerIncarnation) bool {
		return !slices.ContainsFunc(p.ended, func(old *pb.WorkerIncarnation) bool { return proto.Equal(old, e) })
	})
	p.ended = ended
	if !isNew {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// setGrants sets the grants that the pool has not confirmed. New ones are sent soon.
func (p *poller) setGrants(batch quota.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := batch.Fence != p.grants.Fence || !slices.Equal(batch.Grants, p.grants.Grants)
	p.grants = batch
	if !isNew || len(batch.Grants) == 0 {
		return
	}
	select {
	case p.granted <- struct{}{}:
	default:
	}
}

func (p *poller) current() (evacuate, due []string, ended []*pb.WorkerIncarnation, grants quota.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers, p.due, p.ended, p.grants
}
