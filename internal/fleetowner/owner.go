package fleetowner

import (
	"cmp"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/upkeep"
	"golang.org/x/sync/errgroup"
)

const (
	// ringSize bounds the events and writes that wait, orderRing the orders.
	ringSize  = 1024
	orderRing = 1024
	// orderWorkers is how many orders are under way at once.
	orderWorkers = 16
	// shortestStep is the least time between two steps, so that bursts of events cost one.
	shortestStep = 40 * time.Millisecond
	confirmEvery = 50 * time.Millisecond
)

// Owner runs terms of ownership of the fleet.
type Owner struct {
	o Options
}

// New returns an Owner.
func New(o Options) *Owner {
	o.Logger = cmp.Or(o.Logger, slog.Default())
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Owner{o: o}
}

// Run is one term: it ends with ctx, or with Replaced when another owner holds the fleet. Nothing is sent after it
// returns.
func (o *Owner) Run(ctx context.Context) error {
	fence, err := o.confirmed(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	t := newTerm(o.o, fence, group)
	group.Go(func() error { return t.run(ctx) })
	return group.Wait()
}

// confirmed waits until the fleet is surely held.
func (o *Owner) confirmed(ctx context.Context) (uint64, error) {
	for {
		if fence, ok := o.o.Confirmed(); ok {
			return fence, nil
		}
		if err := wait.For(ctx, confirmEvery); err != nil {
			return 0, err
		}
	}
}

// term is the state of one term. Fields below the line belong to the loop.
type term struct {
	Options
	fence  uint64
	group  *errgroup.Group
	events *ring.Ring[event]
	orders *ring.Ring[order]
	writes *ring.Ring[write]

	changes *limiter
	reads   *limiter
	busy    atomic.Bool
	// sequence numbers the requests to the pools' owners.
	sequence atomic.Uint64
	// poolCount is the number of pools.
	poolCount atomic.Int64

	planner  *upkeep.Planner
	waves    map[int64]*wave
	pools    map[string]*poller
	hosts    []upkeep.Host
	listedAt time.Time
	wake     time.Time
	// versions of the wave records as loaded; the writer has them afterwards.
	versions map[string]uint64
}

// event is what one of the other duties tells the loop.
type event func(now time.Time)

func newTerm(o Options, fence uint64, group *errgroup.Group) *term {
	return &term{
		Options:  o,
		fence:    fence,
		group:    group,
		events:   ring.New[event]("fleet events", ringSize),
		orders:   ring.New[order]("fleet orders", orderRing),
		writes:   ring.New[write]("fleet writes", ringSize),
		changes:  newLimiter(o.ChangesPerSecond),
		reads:    newLimiter(o.ReadsPerSecond),
		waves:    map[int64]*wave{},
		versions: map[string]uint64{},
		pools:    map[string]*poller{},
	}
}

// run loads what is durable, starts the duties and steps until ctx ends.
func (t *term) run(ctx context.Context) error {
	now := t.Clock()
	t.planner = upkeep.New(t.Config, now)
	asOf, err := t.load(ctx)
	if err != nil {
		return err
	}
	t.group.Go(func() error { return t.watchWaves(ctx, asOf) })
	t.group.Go(func() error { return t.rescanWaves(ctx) })
	t.group.Go(func() error { return t.list(ctx) })
	w := &writer{term: t, versions: t.versions, unsure: map[string]bool{}}
	t.group.Go(func() error { return w.run(ctx) })
	for range orderWorkers {
		t.group.Go(func() error { return t.order(ctx) })
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
			t.drain()
		case <-timer.C:
		}
		if err := t.step(ctx); err != nil {
			return err
		}
		timer.Reset(t.next(t.Clock()))
		if err := wait.For(ctx, shortestStep); err != nil {
			return err
		}
	}
}

// drain takes in the events that wait already.
func (t *term) drain() {
	for range ringSize {
		select {
		case e := <-t.events.Items():
			e(t.Clock())
		default:
			return
		}
	}
}

// tell brings an event to the loop.
func (t *term) tell(ctx context.Context, e event) error { return t.events.Put(ctx, e) }
