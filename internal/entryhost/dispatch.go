package entryhost

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
)

// command is one message to the dispatcher, run on its goroutine.
type command func(d *dispatcher, now time.Time)

// ticket is one request on its way through the dispatcher.
type ticket struct {
	id         uint64
	request    admission.Request
	digest     uint64
	declared   time.Duration // declared run time of the service
	session    bool
	idempotent bool
	excluded   []string // hosts that this request was sent to already
	result     chan verdict
}

// verdict is the dispatcher's one answer to a ticket: a grant or a rejection.
type verdict struct {
	grant     *grant
	rejection *rejection
}

// rejection is the final answer to a request that was not started.
type rejection struct {
	reason     string
	retryAfter time.Duration
	full       bool // a queue or quota is full, rather than something being wrong
	hopeless   bool // sending it again does not help
	code       refusalcode.Code
}

func rejectionOf(reason admission.Reason, retryAfter time.Duration) *rejection {
	return &rejection{
		reason:     reason.String(),
		code:       refusalcode.OfReason(reason),
		retryAfter: retryAfter,
		full:       reason == admission.ReasonQueueFull || reason == admission.ReasonHostFull,
	}
}

// grant is the right to send one request to one host.
type grant struct {
	host    string
	address string
	pool    string
	started time.Time
	token   slots.Token
	release func()
}

// dispatcher owns the queues, the slots and the routing of this entry host. All of its state belongs to the goroutine
// of run; others reach it by commands through a bounded ring.
type dispatcher struct {
	view     *view
	self     *pb.Owner
	commands *ring.Ring[command]
	// slotless is set while every own slot still waits for the report of a former holder.
	slotless atomic.Bool
	news     *ring.Ring[string] // peers that should get a heartbeat early

	queues  *admission.Queue
	ledger  *slots.Ledger
	router  *routing.Router
	waiting map[uint64]*ticket
	running map[uint64]*ticket
	pools   []string
	hosts   map[string]*pb.Host
	due     map[string]time.Time // hosts due for maintenance
	// leaving are the hosts that the platform takes away, by the entry host that read it in the platform's list.
	leaving map[string][]string
	// wasQuiet is set when the last look found nothing to trade.
	wasQuiet bool
	peers    map[string]slots.PeerDemand
	usage    map[string]map[string]int64 // running by team, by peer
	nextID   uint64
	// sequence numbers the heartbeats of this incarnation.
	sequence uint64
}

func newDispatcher(v *view, self *pb.Owner, place string, maxRequests int) *dispatcher {
	d := &dispatcher{
		view:     v,
		self:     self,
		commands: ring.New[command]("dispatch", commandCapacity),
		news:     ring.New[string]("news", newsCapacity),
		queues:   admission.New(admission.Limits{MaxRequests: maxRequests}),
		ledger:   slots.NewLedger(self),
		router:   routing.New(routing.Options{DataCentre: place}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting:  map[uint64]*ticket{},
		running:  map[uint64]*ticket{},
		hosts:    map[string]*pb.Host{},
		due:      map[string]time.Time{},
		peers:    map[string]slots.PeerDemand{},
		usage:    map[string]map[string]int64{},
		leaving:  map[string][]string{},
	}
	v.onFleet(d)
	return d
}

// run serves commands until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
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
func (d *dispatcher) runBatch(first command) {
	now := time.Now()
	first(d, now)
	for range min(commandBatch, d.commands.Len()) {
		c := <-d.commands.Items()
		c(d, now)
	}
}

// tick answers what has waited too long and trades slots with the peers.
func (d *dispatcher) tick(now time.Time) {
	for _, r := range d.queues.Expire(now) {
		d.reject(r)
	}
	d.balance(now)
	waiting := d.ledger.Waiting()
	d.slotless.Store(waiting > 0 && waiting == d.ledger.Own())
}

// balance trades slots with the peers, and has those told early for whom there is news.
//
// With nothing queued anywhere and nothing lent there is nothing to trade, and looking at each slot costs time.
func (d *dispatcher) balance(now time.Time) {
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
func (d *dispatcher) quiet(own []*pb.PoolDemand) bool {
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
func (d *dispatcher) demand(now time.Time) []*pb.PoolDemand {
	pools := d.queues.Demand(now)
	for _, p := range pools {
		p.Idle = int64(d.ledger.FreeSlots(p.GetPool()))
	}
	return pools
}

// schedule starts as much queued work as there are usable slots.
func (d *dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, pool := range d.queuedPools() {
		d.schedulePool(now, pool)
	}
}

// queuedPools are the pools that a request waits for, in the configuration's order.
func (d *dispatcher) queuedPools() []string {
	queued := lo.SliceToMap(lo.Values(d.waiting), func(t *ticket) (string, bool) { return t.request.Pool, true })
	return lo.Filter(d.pools, func(pool string, _ int) bool { return queued[pool] })
}

func (d *dispatcher) schedulePool(now time.Time, pool string) {
	usable := d.usableSlots(pool)
	starts, rejections := d.queues.Next(now, pool, usable)
	for _, r := range rejections {
		d.reject(r)
	}
	for _, id := range starts {
		d.start(now, pool, id)
	}
}

// usableSlots counts the free slots on hosts that are not ejected.
func (d *dispatcher) usableSlots(pool string) int {
	return lo.SumBy(d.ledger.Free(pool), func(f slots.HostFree) int {
		if d.router.Ejected(f.Host) || d.isLeaving(f.Host) {
			return 0
		}
		return f.Free
	})
}

// candidates are the active hosts of a pool, with the slots that are free here.
func (d *dispatcher) candidates(pool string) []routing.Candidate {
	free := lo.SliceToMap(d.ledger.Free(pool), func(f slots.HostFree) (string, int) { return f.Host, f.Free })
	return lo.FilterMap(d.view.gate.Active(pool), func(name string, _ int) (routing.Candidate, bool) {
		host, known := d.hosts[name]
		return routing.Candidate{
			Host:              name,
			DataCentre:        host.GetDataCentre(),
			Rack:              host.GetRack(),
			Free:              free[name],
			Slots:             int(host.GetSlots()),
			DueForMaintenance: d.due[name],
		}, known && !d.isLeaving(name)
	})
}

// start gives one queued request a host, or sends it back to its caller as not run.
func (d *dispatcher) start(now time.Time, pool string, id uint64) {
	t, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	g, err := d.grant(now, pool, t)
	if err != nil {
		d.queues.Done(now, id, 0, false)
		t.result <- verdict{rejection: &rejection{reason: err.Error(), retryAfter: retryNoHost, code: refusalcode.NoHost}}
		return
	}
	d.running[id] = t
	t.result <- verdict{grant: g}
}

// grant chooses a host, takes one of its slots and registers the request with the gate.
func (d *dispatcher) grant(now time.Time, pool string, t *ticket) (*grant, error) {
	request := routing.Request{
		Service:     t.request.Service,
		Class:       lo.Ternary(t.session, routing.Session, routing.Ordinary),
		ExpectedRun: t.declared,
		JobDigest:   t.digest,
		Idempotent:  t.idempotent,
		Retry:       len(t.excluded) > 0,
		Exclude:     t.excluded,
	}
	host, ok := d.router.Pick(now, request, d.candidates(pool))
	if !ok {
		return nil, errNoHost.New("pool %q", pool)
	}
	token, err := d.ledger.Take(host)
	if err != nil {
		return nil, err
	}
	release, err := d.view.gate.Begin(host, pool, now)
	if err != nil {
		d.ledger.Release(token)
		return nil, err
	}
	return &grant{
		host:    host,
		address: d.hosts[host].GetAddress(),
		pool:    pool,
		started: now,
		token:   token,
		release: release,
	}, nil
}

// reject answers a queued request.
func (d *dispatcher) reject(r admission.Rejection) {
	t, ok := d.waiting[r.ID]
	if !ok {
		return
	}
	delete(d.waiting, r.ID)
	t.result <- verdict{rejection: rejectionOf(r.Reason, r.RetryAfter)}
}

// offer queues a request. The verdict arrives on the ticket's channel.
func (d *dispatcher) offer(t *ticket) bool {
	return d.commands.Offer(func(d *dispatcher, now time.Time) {
		d.nextID++
		t.id = d.nextID
		t.request.ID = t.id
		if d.router.Hopeless(now, t.digest) {
			t.result <- verdict{rejection: &rejection{reason: "this request failed on every host it was tried on; do not send it again", hopeless: true, code: refusalcode.Hopeless}}
			return
		}
		if decision := d.queues.Offer(now, t.request); !decision.Queued {
			t.result <- verdict{rejection: rejectionOf(decision.Reason, decision.RetryAfter)}
			return
		}
		d.waiting[t.id] = t
	})
}

// cancel takes back a request whose caller has gone. A grant that crossed with it is finished by the caller's handler.
func (d *dispatcher) cancel(ctx context.Context, t *ticket) {
	_ = d.commands.Put(ctx, func(d *dispatcher, _ time.Time) {
		if _, waits := d.waiting[t.id]; !waits {
			return
		}
		delete(d.waiting, t.id)
		d.queues.Cancel(t.id)
		t.result <- verdict{rejection: &rejection{reason: "the caller has gone", code: refusalcode.CallerGone}}
	})
}

// finished says how a granted request ended.
type finished struct {
	ticket *ticket
	grant  *grant
	result routing.Result
}

// learned is the run time to learn from. A session's length says nothing of the service's requests.
func (f finished) learned(runTime time.Duration) time.Duration {
	if f.ticket.session {
		return f.ticket.declared
	}
	return runTime
}

// done gives back the slot of a granted request. It waits for room in the ring: a slot must never be forgotten.
func (d *dispatcher) done(ctx context.Context, f finished) {
	f.grant.release()
	_ = d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		delete(d.running, f.ticket.id)
		runTime := now.Sub(f.grant.started)
		d.ledger.Release(f.grant.token)
		d.queues.Done(now, f.ticket.id, f.learned(runTime), f.result == routing.Succeeded)
		d.router.Observe(now, routing.Observation{
			Host:      f.grant.host,
			Service:   f.ticket.request.Service,
			JobDigest: f.ticket.digest,
			Result:    f.result,
			RunTime:   runTime,
		})
	})
}

// errNoHost is a request that no host can take.
var errNoHost = errs.Class("no host can take the request now; send it again after the Retry-After time")
