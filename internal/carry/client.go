package carry

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/agateturn/agateturn/carriers"
	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

const (
	// updateInterval is the time between two choices of the carriers.
	updateInterval = 500 * time.Millisecond
	// workerRetention is how long a worker counts after its last hold.
	workerRetention = 4 * time.Second
	// answerMargin is the part of a call's time limit that is kept for the way between owner and carrier.
	answerMargin = 100 * time.Millisecond
)

// Peers calls the carriers at their addresses. Implementations must be safe for concurrent use.
type Peers interface {
	SubmitCalls(ctx context.Context, address string, r *pb.SubmitCallsRequest) error
	CollectCalls(ctx context.Context, address string, r *pb.CollectCallsRequest) ([]*pb.CarriedResult, error)
}

// ClientOptions configures a Client. All fields must be set.
type ClientOptions struct {
	Pool  string
	Fence uint64
	// Session identifies the term of the owner; no other term may have the same.
	Session string
	// Direct makes the calls for which there is no carrier.
	Direct poolowner.Workers
	Peers  Peers
	// Hosts returns the other entry hosts that own no pool and are not leaving.
	Hosts func() []carriers.Host
	Clock func() time.Time
	Log   *slog.Logger
}

// Client makes the calls of one term of a pool's owner to its workers, through carriers if the pool is large. It is safe for
// concurrent use.
type Client struct {
	o      ClientOptions
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	shares *carriers.Shares
	// lastHold is the time of the last hold, by worker.
	lastHold map[string]time.Time
	// workerAt is the worker that was last called at an address.
	workerAt map[string]string
	// links are keyed by carrier.
	links map[string]*link
	// sessions counts the sessions, so that each link has its own.
	sessions int
}

// NewClient returns a client that works until Close.
func NewClient(o ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		o: o, ctx: ctx, cancel: cancel, shares: carriers.NewShares(o.Pool),
		lastHold: map[string]time.Time{}, workerAt: map[string]string{}, links: map[string]*link{},
	}
	c.group.Go(c.updateCarriers)
	return c
}

// Close ends all calls in progress without an answer and waits for the client's goroutines.
func (c *Client) Close() {
	c.cancel()
	c.group.Wait()
}

// updateCarriers chooses the carriers anew at each updateInterval.
func (c *Client) updateCarriers() {
	before := 0
	for wait.For(c.ctx, updateInterval) == nil {
		workers, count := c.update()
		if count != before {
			events.Log(c.ctx, c.o.Log, events.CarriersChanged, slog.String("pool", c.o.Pool), slog.Uint64("fence", c.o.Fence),
				slog.Int("workers", workers), slog.Int("carriers", count))
		}
		before = count
	}
}

func (c *Client) update() (workers, carriers int) {
	hosts := c.o.Hosts()
	now := c.o.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for worker, at := range c.lastHold {
		if now.Sub(at) > workerRetention {
			delete(c.lastHold, worker)
			c.shares.Remove(worker)
		}
	}
	c.shares.Update(now, len(c.lastHold), hosts)
	for name, l := range c.links {
		if !c.shares.Has(name) && l.isIdle() {
			delete(c.links, name)
			l.end()
		}
	}
	return len(c.lastHold), c.shares.Carriers()
}

// linkOf returns the link to the carrier of a worker, or nil if the owner makes its calls.
func (c *Client) linkOf(worker, address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workerAt[address] = worker
	host, ok := c.shares.Carrier(worker)
	if !ok || c.ctx.Err() != nil {
		return nil
	}
	l := c.links[host.Name]
	if l == nil {
		c.sessions++
		l = newLink(c, host, c.o.Session+"-"+strconv.Itoa(c.sessions))
		c.links[host.Name] = l
		c.group.Go(l.submit)
		c.group.Go(l.collect)
	}
	return l
}

// fail ends a link whose carrier did not answer. Its workers get other carriers.
func (c *Client) fail(l *link, reason string) {
	c.mu.Lock()
	current := c.links[l.host.Name] == l
	if current {
		delete(c.links, l.host.Name)
		c.shares.Fail(c.o.Clock(), l.host.Name)
	}
	c.mu.Unlock()
	l.end()
	if current && c.ctx.Err() == nil {
		events.Log(c.ctx, c.o.Log, events.CarrierFailed, slog.String("pool", c.o.Pool), slog.Uint64("fence", c.o.Fence),
			slog.String("peer", l.host.Name), slog.String("reason", reason))
	}
}

// Start implements poolowner.Workers.
func (c *Client) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return c.order(ctx, o, fence, c.o.Direct.Start)
}

// Stop implements poolowner.Workers.
func (c *Client) Stop(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return c.order(ctx, o, fence, c.o.Direct.Stop)
}

// Pace implements poolowner.Workers.
func (c *Client) Pace(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return c.order(ctx, o, fence, c.o.Direct.Pace)
}

func (c *Client) order(
	ctx context.Context, o scheduler.Order, fence uint64,
	direct func(context.Context, scheduler.Order, uint64) scheduler.OrderResult,
) scheduler.OrderResult {
	l := c.linkOf(o.Worker, o.Address)
	if l == nil {
		return direct(ctx, o, fence)
	}
	result, sent := l.call(ctx, orderCall(o, fence))
	switch {
	case !sent:
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeNotSent}
	case result == nil:
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	return scheduler.OrderResult{Order: o, Outcome: scheduler.Outcome(result.GetOutcome()), Clock: result.GetClock()}
}

// Hold implements poolowner.Workers.
func (c *Client) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	now := c.o.Clock()
	c.mu.Lock()
	c.lastHold[r.Worker] = now
	c.mu.Unlock()
	l := c.linkOf(r.Worker, r.Address)
	if l == nil {
		return c.o.Direct.Hold(ctx, r)
	}
	report := scheduler.Report{Worker: r.Worker, LastSeen: r.LastSeen, Until: r.Until, Sent: now}
	result, sent := l.call(ctx, holdCall(r))
	report.Received = c.o.Clock()
	if result.GetReport() == nil {
		if !sent || result.GetRefused() {
			report.LastSeen = 0
		}
		return report, holdError(result)
	}
	fillReport(&report, result)
	return report, nil
}

// Forget implements poolowner.Workers.
func (c *Client) Forget(address string) {
	c.o.Direct.Forget(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.workerAt[address]
	delete(c.workerAt, address)
	delete(c.lastHold, worker)
	if host, ok := c.shares.Current(worker); ok && c.links[host.Name] != nil {
		c.links[host.Name].offer(&pb.CarriedCall{Kind: pb.CarriedKind_CARRIED_KIND_FORGET, Address: address})
	}
	c.shares.Remove(worker)
}
