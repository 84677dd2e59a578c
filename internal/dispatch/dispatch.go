// Package dispatch owns the queues, the slots and the routing of an entry host.
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
	// commandCapacity bounds the commands that wait for the dispatcher.
	commandCapacity = 8192
	// newsCapacity bounds the peers that wait for an early heartbeat.
	newsCapacity = 64
	// commandBatch is the number of commands taken before the queues are looked at again.
	commandBatch = 256
	// dispatchTick is the time between two looks at deadlines and loans.
	dispatchTick = 50 * time.Millisecond
	// RetryNoHost is what a caller waits when no host could take its request.
	RetryNoHost = time.Second
)

// command is one message to the dispatcher, run on its goroutine.
type command func(d *Dispatcher, now time.Time)

// Ticket is one request on its way through the dispatcher.
type Ticket struct {
	id         uint64
	Request    admission.Request
	Digest     uint64
	Declared   time.Duration // declared run time of the service
	Session    bool
	Idempotent bool
	Excluded   []string // hosts that this request was sent to already
	Result     chan Verdict
}

// Verdict is the dispatcher's one answer to a ticket: a grant or a rejection.
type Verdict struct {
	Grant     *Grant
	Rejection *Rejection
}

// Rejection is the final answer to a request that was not started.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
	Full       bool // a queue or quota is full, rather than something being wrong
	Hopeless   bool // sending it again does not help
	Code       refusalcode.Code
}

func rejectionOf(reason admission.Reason, retryAfter time.Duration) *Rejection {
	if reason == admission.ReasonUnknownService || reason == admission.ReasonUnknownTeam {
		// Both are in the configuration in force, which the queue is about to be given.
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

// Dispatcher owns the queues, the slots and the routing of this entry host. All of its state belongs to the goroutine
// of run; others reach it by commands through a bounded ring.
type Dispatcher struct {
	view     *view.View
	self     *pb.Owner
	commands *ring.Ring[command]
	// slotless is set while every own slot still waits for the report of a former holder.
	slotless atomic.Bool
	news     *ring.Ring[string] // peers that should get a heartbeat early

	queues  *admission.Queue
	ledger  *slots.Ledger
	router  *routing.Router
	waiting map[uint64]*Ticket
	running map[uint64]*Ticket
	pools   []string
	// counted is when the reachable slots of each pool were counted last.
	counted map[string]time.Time
	hosts   map[string]*pb.Host
	due     map[string]time.Time // hosts due for maintenance
	// leaving are the hosts that the platform takes away, by the entry host that read it in the platform's list.
	leaving map[string][]string
	// wasQuiet is set when the last look found nothing to trade.
	wasQuiet bool
	peers    map[string]slots.PeerDemand
	usage    map[string]map[string]int64 // running by team, by peer
	// toldFull is what each peer was told last of the teams at their quotas: running here by team, by peer.
	toldFull map[string]map[string]int64
	nextID   uint64
	// sequence numbers the heartbeats of this incarnation.
	sequence uint64
}

// New returns a dispatcher that obeys the view. The place is the data centre of the entry host.
func New(v *view.View, self *pb.Owner, place string, maxRequests int) *Dispatcher {
	d := &Dispatcher{
		view:     v,
		self:     self,
		commands: ring.New[command]("dispatch", commandCapacity),
		news:     ring.New[string]("news", newsCapacity),
		queues:   admission.New(admission.Limits{MaxRequests: maxRequests}),
		ledger:   slots.NewLedger(self),
		router:   routing.New(routing.Options{DataCentre: place}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		counted:  map[string]time.Time{},
		waiting:  map[uint64]*Ticket{},
		running:  map[uint64]*Ticket{},
		hosts:    map[string]*pb.Host{},
		due:      map[string]time.Time{},
		peers:    map[string]slots.PeerDemand{},
		usage:    map[string]map[string]int64{},
		toldFull: map[string]map[string]int64{},
		leaving:  map[string][]string{},
	}
	v.OnFleet(d)
	return d
}

// Run serves commands until ctx ends.
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

// runBatch runs one command and those already waiting behind it, up to commandBatch.
func (d *Dispatcher) runBatch(first command) {
	now := time.Now()
	first(d, now)
	for range min(commandBatch, d.commands.Len()) {
		c := <-d.commands.Items()
		c(d, now)
	}
}

// tick answers what has waited too long and trades slots with the peers.
func (d *Dispatcher) tick(now time.Time) {
	for _, r := range d.queues.Expire(now) {
		d.reject(r)
	}
	d.balance(now)
	d.tellFreedQuotas()
	waiting := d.ledger.Waiting()
	d.slotless.Store(waiting > 0 && waiting == d.ledger.Own())
}

// balance trades slots with the peers, and has those told early for whom there is news.
//
// With nothing queued anywhere and nothing lent there is nothing to trade, and looking at each slot costs time.
func (d *Dispatcher) balance(now time.Time) {
	own := d.demand(now)
	if d.quiet(own) {
		return
	}
	d.ledger.Balance(now, own, d.peers)
	for name := range d.peers {
		if d.ledger.Pending(name) {
			d.news.Offer(name) // a full ring loses nothing: the peer stays pending until it is told
		}
	}
}

// quiet reports whether nobody queues, here or at a peer, and no slot is lent, borrowed or still to be settled.
func (d *Dispatcher) quiet(own []*pb.PoolDemand) bool {
	if d.ledger.Lent()+d.ledger.Borrowed()+d.ledger.Waiting() > 0 || queues(own) {
		d.wasQuiet = false
		return false
	}
	quiet := lo.NoneBy(lo.Values(d.peers), func(p slots.PeerDemand) bool { return queues(p.Pools) })
	balanced := quiet && d.wasQuiet // one balance after the last demand, so that its end is told
	d.wasQuiet = quiet
	return balanced
}

func queues(demand []*pb.PoolDemand) bool {
	return lo.SomeBy(demand, func(p *pb.PoolDemand) bool { return p.GetQueued() > 0 })
}

// demand is this entry host's load, with the slots that it could use and does not.
func (d *Dispatcher) demand(now time.Time) []*pb.PoolDemand {
	pools := d.queues.Demand(now)
	for _, p := range pools {
		p.Idle = int64(d.ledger.FreeSlots(p.GetPool()))
	}
	return pools
}

// schedule starts as much queued work as there are usable slots.
func (d *Dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, pool := range d.queuedPools() {
		d.schedulePool(now, pool)
	}
}

// queuedPools are the pools that a request waits for, in the configuration's order.
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

// start gives one queued request a host, or sends it back to its caller as not run.
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

// grant chooses a host, takes one of its slots and registers the request with the gate.
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

// reject answers a queued request.
func (d *Dispatcher) reject(r admission.Rejection) {
	t, ok := d.waiting[r.ID]
	if !ok {
		return
	}
	delete(d.waiting, r.ID)
	t.Result <- Verdict{Rejection: rejectionOf(r.Reason, r.RetryAfter)}
}

// Offer queues a request. The verdict arrives on the ticket's channel.
func (d *Dispatcher) Offer(t *Ticket) bool {
	return d.commands.Offer(func(d *Dispatcher, now time.Time) {
		d.nextID++
		t.id = d.nextID
		t.Request.ID = t.id
		if d.router.IsPoison(now, t.Digest) {
			t.Result <- Verdict{Rejection: &Rejection{Reason: "this request failed on every host it was tried on; do not send it again", Hopeless: true, Code: refusalcode.Hopeless}}
			return
		}
		d.countReachable(now, t.Request.Pool)
		if decision := d.queues.Offer(now, t.Request); !decision.Queued {
			t.Result <- Verdict{Rejection: rejectionOf(decision.Reason, decision.RetryAfter)}
			return
		}
		d.waiting[t.id] = t
	})
}

// Cancel takes back a request whose caller has gone. A grant that crossed with it is finished by the caller's handler.
func (d *Dispatcher) Cancel(ctx context.Context, t *Ticket) {
	_ = d.commands.Put(ctx, func(d *Dispatcher, _ time.Time) {
		if _, waits := d.waiting[t.id]; !waits {
			return
		}
		delete(d.waiting, t.id)
		d.queues.Cancel(t.id)
		t.Result <- Verdict{Rejection: &Rejection{Reason: "the caller has gone", Code: refusalcode.CallerGone}}
	})
}

// Finished says how a granted request ended.
type Finished struct {
	Ticket *Ticket
	Grant  *Grant
	Result routing.Result
	// HeldUp is how long the answer waited for its caller.
	HeldUp time.Duration
}

// Done gives back the slot of a granted request. It waits for room in the ring: a slot must never be forgotten.
func (d *Dispatcher) Done(ctx context.Context, f Finished) {
	f.Grant.release()
	_ = d.commands.Put(ctx, func(d *Dispatcher, now time.Time) {
		delete(d.running, f.Ticket.id)
		runTime := now.Sub(f.Grant.Started)
		d.ledger.Release(f.Grant.token)
		if f.Ticket.Session { // its length says nothing of the service's requests
			d.queues.Done(now, f.Ticket.id, f.Ticket.Declared, f.Result == routing.Succeeded)
		} else {
			d.queues.DoneBlocked(f.Ticket.id, runTime, f.HeldUp, f.Result == routing.Succeeded)
		}
		d.router.Observe(now, routing.Observation{
			Host:      f.Grant.Host,
			Service:   f.Ticket.Request.Service,
			JobDigest: f.Ticket.Digest,
			Result:    f.Result,
			RunTime:   runTime - f.HeldUp,
		})
	})
}

// errNoHost is a request that no host can take.
var errNoHost = errs.Class("no host can take the request now; send it again after the Retry-After time")
