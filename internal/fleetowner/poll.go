package fleetowner

import (
	"context"
	"slices"
	"sync"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	pollTimeout = 500 * time.Millisecond
	// pollBusy and pollIdle are the times between two looks at a pool. A turn must be seen early also when all is quiet.
	pollBusy = 120 * time.Millisecond
	pollIdle = 250 * time.Millisecond
	// pollSpread is the least mean time between looks at any pool.
	pollSpread = 20 * time.Millisecond
)

// poller asks the owner of one pool. status and sent belong to the loop.
type poller struct {
	Pool
	stop context.CancelFunc
	// begin starts asking, once, when the list is known: an empty one would give hosts back that are ordered away.
	begin  func()
	status *pb.PoolStatusResponse
	sent   time.Time

	poke chan struct{}
	mu   sync.Mutex
	list []string
}

// poll keeps a poller for each configured pool.
func (t *term) poll(ctx context.Context) {
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
	p := &poller{Pool: pool, stop: stop, poke: make(chan struct{}, 1)}
	t.pools[pool.Name] = p
	p.begin = sync.OnceFunc(func() {
		if pool.Spare {
			return
		}
		t.group.Go(func() error {
			t.pollPool(ctx, p)
			return nil
		})
	})
}

// pollPool asks until ctx ends.
func (t *term) pollPool(ctx context.Context, p *poller) {
	for ctx.Err() == nil {
		sent := t.Clock()
		status := t.ask(ctx, p)
		if status != nil {
			_ = t.tell(ctx, func(time.Time) { p.status, p.sent = status, sent })
		}
		interval := pollIdle
		if t.busy.Load() {
			interval = pollBusy
		}
		interval = max(interval, pollSpread*time.Duration(t.poolCount.Load()))
		p.wait(ctx, interval-t.Clock().Sub(sent))
	}
}

func (t *term) ask(ctx context.Context, p *poller) *pb.PoolStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &pb.PoolStatusRequest{Pool: p.Name, Sequence: t.sequence.Add(1), Evacuate: p.evacuating(), FleetFence: t.fence}
	status, err := t.Pools.Status(ctx, request)
	if err != nil || !status.GetOwner() {
		return nil
	}
	return status
}

// wait returns after d, or earlier when the list has changed.
func (p *poller) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, shortestStep))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.poke:
	case <-timer.C:
	}
}

// evacuate sets the workers to be emptied and has a changed list sent at once.
func (p *poller) evacuate(workers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.list, workers) {
		return
	}
	p.list = workers
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

func (p *poller) evacuating() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}
