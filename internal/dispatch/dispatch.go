// Package dispatch queues the requests of an entry host and assigns them to hosts with free slots.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/slots"
)

const (
	// commandCapacity is the number of commands that can be queued for the dispatcher.
	commandCapacity = 8192
	// earlyHeartbeatCapacity is the number of peers that can be queued for an early heartbeat.
	earlyHeartbeatCapacity = 64
	// commandBatch is the maximum number of queued commands that a batch runs after its first one. A scheduling pass follows
	// each batch.
	commandBatch = 256
	// dispatchTick is the interval at which deadlines, slot loans and freed quotas are checked, and the shortest interval
	// between two counts of a pool's reachable slots.
	dispatchTick = 50 * time.Millisecond
	// RetryNoHost is the retry delay of a request that could not be assigned to a host or did not reach it, and of one whose
	// service or team is not in the queue's configuration yet.
	RetryNoHost = time.Second
)

// command is a function that runs on the dispatcher's goroutine.
type command func(d *Dispatcher, now time.Time)

// Ticket is a request submitted to the dispatcher.
type Ticket struct {
	id         uint64
	Request    admission.Request
	Digest     uint64
	Declared   time.Duration // run time declared for the service
	Session    bool
	Idempotent bool
	Excluded   []string // hosts that the request has already been sent to
	Result     chan Verdict
}

// Verdict is the dispatcher's only answer to a ticket. Either Grant or Rejection is set.
type Verdict struct {
	Grant     *Grant
	Rejection *Rejection
}

// Rejection is the final answer to a request that was not started.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
	Full       bool // the service's queue or this entry host is full
	PoisonJob  bool // a retry would fail as well
	Code       refusalcode.Code
}

func rejectionOf(reason admission.Reason, retryAfter time.Duration) *Rejection {
	if reason == admission.ReasonUnknownService || reason == admission.ReasonUnknownTeam {
		// The caller's service and team are in the current configuration, which the queue has not received yet.
		return &Rejection{Reason: "the configuration is being put in force", RetryAfter: RetryNoHost, Code: refusalcode.Unready}
	}
	return &Rejection{
		Reason:     reason.String(),
		Code:       refusalcode.OfReason(reason),
		RetryAfter: retryAfter,
		Full:       reason == admission.ReasonQueueFull || reason == admission.ReasonHostFull,
	}
}

// Grant is the right to send one request to one host.
type Grant struct {
	Host    string
	Address string
	Pool    string
	Started time.Time
	token   slots.Token
	release func()
}

// Dispatcher owns the queues, the slots and the routing of this entry host. Only the goroutine of Run accesses its state;
// other goroutines send commands to it through a bounded ring.
type Dispatcher struct {
	view     *view.View
	self     *pb.Owner
	commands *ring.Ring[command]
	// slotless is set while every slot that this entry host owns still waits for the report of its previous holder.
	slotless        atomic.Bool
	earlyHeartbeats *ring.Ring[string] // peers that are due an early heartbeat

	queues *admission.Queue
	ledger *slots.Ledger
	router *routing.Router
	// waiting and running hold the tickets of queued and granted requests by id; queues decides which starts next.
	waiting map[uint64]*Ticket
	running map[uint64]*Ticket
	pools   []string
	// countedAt is when the reachable slots of each pool were last counted.
	countedAt map[string]time.Time
	hosts     map[string]*pb.Host
	due       map[string]time.Time // by host that a maintenance wave may take soon, the time of its maintenance
	// leaving lists the hosts that the platform is removing, by the entry host that reported them.
	leaving map[string][]string
	// wasIdle is set if the last updateIdle found nothing queued at any entry host, and no slot lent, borrowed or waiting.
	wasIdle bool
	peers   map[string]slots.PeerDemand
	usage   map[string]map[string]int64 // running requests by peer and team
	// sentAtQuota holds, by peer and team, the running requests in the last heartbeat of each team that was at its quota.
	sentAtQuota map[string]map[string]int64
	nextID      uint64
	// sequence numbers the heartbeats of this incarnation.
	sequence uint64
}

// New returns a dispatcher that follows the fleet and configuration of the view. The entry host is in dataCentre.
func New(v *view.View, self *pb.Owner, dataCentre string, maxRequests int) *Dispatcher {
	d := &Dispatcher{
		view:            v,
		self:            self,
		commands:        ring.New[command]("dispatch", commandCapacity),
		earlyHeartbeats: ring.New[string]("news", earlyHeartbeatCapacity),
		queues:          admission.New(admission.Limits{MaxRequests: maxRequests}),
		ledger:          slots.NewLedger(self),
		router:          routing.New(routing.Options{DataCentre: dataCentre}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		countedAt:       map[string]time.Time{},
		waiting:         map[uint64]*Ticket{},
		running:         map[uint64]*Ticket{},
		hosts:           map[string]*pb.Host{},
		due:             map[string]time.Time{},
		peers:           map[string]slots.PeerDemand{},
		usage:           map[string]map[string]int64{},
		sentAtQuota:     map[string]map[string]int64{},
		leaving:         map[string][]string{},
	}
	v.OnFleet(d)
	return d
}

// Run executes commands until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.commands.Items():
			d.runBatch(c)
		case now := <-ticker.C:
			d.tick(now)
		}
		d.schedule(time.Now())
	}
}

// runBatch runs a command and up to commandBatch of those queued behind it.
func (d *Dispatcher) runBatch(first command) {
	now := time.Now()
	first(d, now)
	for range min(commandBatch, d.commands.Len()) {
		c := <-d.commands.Items()
		c(d, now)
	}
}

// tick rejects expired requests and trades slots with the peers.
func (d *Dispatcher) tick(now time.Time) {
	for _, r := range d.queues.Expire(now) {
		d.reject(r)
	}
	d.balance(now)
	d.notifyFreedQuotas()
	waiting := d.ledger.Waiting()
	d.slotless.Store(waiting > 0 && waiting == d.ledger.Own())
}

// balance trades slots with the peers and requests early heartbeats to the peers that a trade concerns. It returns early if
// updateIdle allows that, because a trade visits every slot.
func (d *Dispatcher) balance(now time.Time) {
	own := d.demand(now)
	if d.updateIdle(own) {
		return
	}
	d.ledger.Balance(now, own, d.peers)
	for name := range d.peers {
		if d.ledger.Pending(name) {
			d.earlyHeartbeats.Offer(name) // on a full ring the peer stays pending and is offered again
		}
	}
}

// updateIdle updates wasIdle and reports whether a balance can be skipped: for at least two calls, no entry host has had
// queued requests, and no slot has been lent, borrowed or waiting for the report of its previous holder.
func (d *Dispatcher) updateIdle(own []*pb.PoolDemand) bool {
	if d.ledger.Lent()+d.ledger.Borrowed()+d.ledger.Waiting() > 0 || hasQueued(own) {
		d.wasIdle = false
		return false
	}
	peersIdle := lo.NoneBy(lo.Values(d.peers), func(p slots.PeerDemand) bool { return hasQueued(p.Pools) })
	skippable := peersIdle && d.wasIdle // the first balance without demand announces the end of the demand to the peers
	d.wasIdle = peersIdle
	return skippable
}

func hasQueued(demand []*pb.PoolDemand) bool {
	return lo.SomeBy(demand, func(p *pb.PoolDemand) bool { return p.GetQueued() > 0 })
}

// demand returns the load of this entry host by pool, with the number of its idle slots.
func (d *Dispatcher) demand(now time.Time) []*pb.PoolDemand {
	pools := d.queues.Demand(now)
	for _, p := range pools {
		p.Idle = int64(d.ledger.FreeSlots(p.GetPool()))
	}
	return pools
}

// schedule starts queued requests while there are usable slots.
func (d *Dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, pool := range d.queuedPools() {
		d.schedulePool(now, pool)
	}
}

// queuedPools returns the pools with queued requests, in the order of the configuration.
func (d *Dispatcher) queuedPools() []string {
	queued := lo.SliceToMap(lo.Values(d.waiting), func(t *Ticket) (string, bool) { return t.Request.Pool, true })
	return lo.Filter(d.pools, func(pool string, _ int) bool { return queued[pool] })
}

func (d *Dispatcher) schedulePool(now time.Time, pool string) {
	usable := d.usableSlots(pool)
	starts, rejections := d.queues.Next(now, pool, usable)
	for _, r := range rejections {
		d.reject(r)
	}
	for _, id := range starts {
		d.start(now, pool, id)
	}
}

// start assigns a queued request to a host, or rejects it if that fails.
func (d *Dispatcher) start(now time.Time, pool string, id uint64) {
	t, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	g, err := d.grant(now, pool, t)
	if err != nil {
		d.queues.Done(now, id, 0, false)
		t.Result <- Verdict{Rejection: &Rejection{Reason: err.Error(), RetryAfter: RetryNoHost, Code: refusalcode.NoHost}}
		return
	}
	d.running[id] = t
	t.Result <- Verdict{Grant: g}
}

// grant picks a host, takes one of its slots and registers the request with the gate.
func (d *Dispatcher) grant(now time.Time, pool string, t *Ticket) (*Grant, error) {
	request := routing.Request{
		Service:     t.Request.Service,
		Class:       lo.Ternary(t.Session, routing.Session, routing.Ordinary),
		ExpectedRun: t.Declared,
		JobDigest:   t.Digest,
		Idempotent:  t.Idempotent,
		Retry:       len(t.Excluded) > 0,
		Exclude:     t.Excluded,
	}
	host, ok := d.router.Pick(now, request, d.candidates(pool))
	if !ok {
		return nil, errNoHost.New("pool %q", pool)
	}
	token, err := d.ledger.Take(host)
	if err != nil {
		return nil, err
	}
	release, err := d.view.Gate.Begin(host, pool, now)
	if err != nil {
		d.ledger.Release(token)
		return nil, err
	}
	return &Grant{
		Host:    host,
		Address: d.hosts[host].GetAddress(),
		Pool:    pool,
		Started: now,
		token:   token,
		release: release,
	}, nil
}

// reject sends the rejection of a queued request, if its ticket is still waiting.
func (d *Dispatcher) reject(r admission.Rejection) {
	t, ok := d.waiting[r.ID]
	if !ok {
		return
	}
	delete(d.waiting, r.ID)
	t.Result <- Verdict{Rejection: rejectionOf(r.Reason, r.RetryAfter)}
}

// Offer submits a request and reports false if the command ring is full. The verdict arrives on t.Result.
func (d *Dispatcher) Offer(t *Ticket) bool {
	return d.commands.Offer(func(d *Dispatcher, now time.Time) {
		d.nextID++
		t.id = d.nextID
		t.Request.ID = t.id
		if d.router.IsPoison(now, t.Digest) {
			t.Result <- Verdict{Rejection: &Rejection{Reason: "this request failed on every host it was tried on; do not send it again", PoisonJob: true, Code: refusalcode.PoisonJob}}
			return
		}
		d.updateReachable(now, t.Request.Pool)
		if decision := d.queues.Offer(now, t.Request); !decision.Queued {
			t.Result <- Verdict{Rejection: rejectionOf(decision.Reason, decision.RetryAfter)}
			return
		}
		d.waiting[t.id] = t
	})
}

// Cancel withdraws a queued request whose caller has disconnected or whose deadline has passed. If the request was granted
// in the meantime, the caller's handler must call Done.
func (d *Dispatcher) Cancel(ctx context.Context, t *Ticket) {
	_ = d.commands.Put(ctx, func(d *Dispatcher, _ time.Time) {
		if _, queued := d.waiting[t.id]; !queued {
			return
		}
		delete(d.waiting, t.id)
		d.queues.Cancel(t.id)
		t.Result <- Verdict{Rejection: &Rejection{Reason: "the caller has gone", Code: refusalcode.CallerGone}}
	})
}

// Finished is the result of a granted request.
type Finished struct {
	Ticket *Ticket
	Grant  *Grant
	Result routing.Result
	// Blocked is the time for which writes of the answer were blocked by the caller.
	Blocked time.Duration
}

// Done releases the slot of a granted request and records its result and run time. It blocks while the command ring is full, so that the slot is not leaked.
func (d *Dispatcher) Done(ctx context.Context, f Finished) {
	f.Grant.release()
	_ = d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		delete(d.running, f.Ticket.id)
		runTime := now.Sub(f.Grant.Started)
		d.ledger.Release(f.Grant.token)
		if f.Ticket.Session { // the length of a session does not predict the run time of requests
			d.queues.Done(now, f.Ticket.id, f.Ticket.Declared, f.Result == routing.Succeeded)
		} else {
			d.queues.DoneBlocked(f.Ticket.id, runTime, f.Blocked, f.Result == routing.Succeeded)
		}
		d.router.Observe(now, routing.Observation{
			Host:      f.Grant.Host,
			Service:   f.Ticket.Request.Service,
			JobDigest: f.Ticket.Digest,
			Result:    f.Result,
			RunTime:   runTime - f.Blocked,
		})
	})
}

// errNoHost is the error of a request that no host can take.
var errNoHost = errs.Class("no host can take the request now; send it again after the Retry-After time")
