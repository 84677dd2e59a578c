package fleetowner

import (
	"cmp"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/quota"
	"github.com/agateturn/agateturn/upkeep"
	"golang.org/x/sync/errgroup"
)

const (
	// ringSize bounds the waiting events and writes, orderRingSize the waiting orders.
	ringSize      = 1024
	orderRingSize = 1024
	// orderWorkers is the number of concurrent orders.
	orderWorkers = 16
	// minStepInterval is the minimum time between two steps, so that a burst of events costs one step.
	minStepInterval = 40 * time.Millisecond
	confirmInterval = 50 * time.Millisecond
)

// Owner runs terms of ownership of the fleet.
type Owner struct {
	options Options
}

// New returns an Owner. Clock and Logger get their defaults if unset.
func New(o Options) *Owner {
	o.Logger = cmp.Or(o.Logger, slog.Default())
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Owner{options: o}
}

// Run executes one term: it ends with ctx, or with Replaced when another owner holds the fleet. Nothing is sent after
// it returns.
func (o *Owner) Run(ctx context.Context) error {
	fence, err := o.waitConfirmed(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	t := newTerm(o.options, fence, group)
	group.Go(func() error { return t.run(ctx) })
	err = group.Wait()
	if o.options.ShowAllocations != nil {
		o.options.ShowAllocations(nil)
	}
	return err
}

// waitConfirmed waits until the ownership of the fleet is confirmed.
func (o *Owner) waitConfirmed(ctx context.Context) (uint64, error) {
	for {
		if fence, ok := o.options.Confirmed(); ok {
			return fence, nil
		}
		if err := wait.For(ctx, confirmInterval); err != nil {
			return 0, err
		}
	}
}

// term is the state of one term. The fields from planner on belong to the loop.
type term struct {
	Options
	fence  uint64
	group  *errgroup.Group
	events *ring.Ring[event]
	orders *ring.Ring[order]
	writes *ring.Ring[write]

	changeLimiter *limiter
	readLimiter   *limiter
	busy          atomic.Bool
	// listOften means that a list of hosts may prove the end of a worker that does not answer. listNow is signalled when the
	// list is to be read at once.
	listOften atomic.Bool
	listNow   chan struct{}
	// sequence numbers the requests to the pools' owners.
	sequence atomic.Uint64
	// poolCount is the number of pools.
	poolCount atomic.Int64

	planner    *upkeep.Planner
	waves      map[int64]*wave
	pools      map[string]*poller
	hosts      []upkeep.Host
	listedAt   time.Time
	index      hostIndex
	nextStepAt time.Time
	// allocator is nil while the configuration has no workspaces. The allocations were shown at shownAt.
	allocator *quota.Allocator
	shownAt   time.Time
	// versions are those of the records as loaded; the writer owns them afterwards.
	versions map[string]uint64
}

// event is a change that another goroutine posts to the loop.
type event func(now time.Time)

func newTerm(o Options, fence uint64, group *errgroup.Group) *term {
	return &term{
		Options:       o,
		fence:         fence,
		group:         group,
		events:        ring.New[event]("fleet events", ringSize),
		orders:        ring.New[order]("fleet orders", orderRingSize),
		writes:        ring.New[write]("fleet writes", ringSize),
		changeLimiter: newLimiter(o.ChangesPerSecond),
		readLimiter:   newLimiter(o.ReadsPerSecond),
		listNow:       make(chan struct{}, 1),
		waves:         map[int64]*wave{},
		versions:      map[string]uint64{},
		pools:         map[string]*poller{},
	}
}

// run loads the durable state, starts the goroutines of the term and steps until ctx ends.
func (t *term) run(ctx context.Context) error {
	now := t.Clock()
	t.planner = upkeep.New(t.Config, now)
	asOf, err := t.load(ctx)
	if err != nil {
		return err
	}
	t.group.Go(func() error { return t.watchWaves(ctx, asOf) })
	t.group.Go(func() error { return t.rescanWaves(ctx) })
	t.group.Go(func() error { return t.listHosts(ctx) })
	w := &writer{term: t, versions: t.versions, uncertain: map[string]bool{}}
	t.group.Go(func() error { return w.run(ctx) })
	for range orderWorkers {
		t.group.Go(func() error { return t.sendOrders(ctx) })
	}
	return t.loop(ctx)
}

func (t *term) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-t.events.Items():
			e(t.Clock())
			t.drainEvents()
		case <-timer.C:
		}
		if err := t.step(ctx); err != nil {
			return err
		}
		timer.Reset(t.untilNextStep(t.Clock()))
		if err := wait.For(ctx, minStepInterval); err != nil {
			return err
		}
	}
}

// drainEvents processes the events that are already waiting.
func (t *term) drainEvents() {
	for range ringSize {
		select {
		case e := <-t.events.Items():
			e(t.Clock())
		default:
			return
		}
	}
}

// post posts an event to the loop.
func (t *term) post(ctx context.Context, e event) error { return t.events.Put(ctx, e) }
