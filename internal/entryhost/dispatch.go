package entryhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/slots"
)

const (
	// commandCapacity bounds the commands that wait for the dispatcher.
	commandCapacity = 8192
	// commandBatch is the number of commands taken before the queues are looked at again.
	commandBatch = 256
	// dispatchTick is the time between two looks at deadlines and loans.
	dispatchTick = 50 * time.Millisecond
)

// command is one message to the dispatcher, run on its goroutine.
type command func(d *dispatcher, now time.Time)

// ticket is one request on its way through the dispatcher.
type ticket struct {
	id       uint64
	request  admission.Request
	digest   uint64
	excluded []string // hosts that this request was refused by already
	result   chan verdict
}

// verdict is the dispatcher's one answer to a ticket: a grant or a rejection.
type verdict struct {
	grant     *grant
	rejection *admission.Rejection
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
	place    string // data centre of this entry host
	commands *ring.Ring[command]
	demand   *ring.Ring[struct{}] // signalled when a queue grows and peers should hear of it

	queues  *admission.Queues
	ledger  *slots.Ledger
	router  *routing.Router
	waiting map[uint64]*ticket
	running map[uint64]*ticket
	hosts   map[string]*pb.Host
	due     map[string]time.Time // hosts due for maintenance
	peers   map[string]slots.PeerDemand
	nextID  uint64
	// sequence numbers the heartbeats of this incarnation.
	sequence uint64
}

func newDispatcher(v *view, self *pb.Owner, place string) *dispatcher {
	d := &dispatcher{
		view:     v,
		self:     self,
		place:    place,
		commands: ring.New[command]("dispatch", commandCapacity),
		demand:   ring.New[struct{}]("demand", 1),
		queues:   admission.New(admission.DefaultLimits()),
		ledger:   slots.NewLedger(self),
		router:   routing.NewRouter(routing.DefaultOptions(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting:  map[uint64]*ticket{},
		running:  map[uint64]*ticket{},
		hosts:    map[string]*pb.Host{},
		due:      map[string]time.Time{},
		peers:    map[string]slots.PeerDemand{},
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
	own := d.queues.Demand(now)
	d.ledger.Balance(now, own, d.peers)
	if lo.SomeBy(own, func(p *pb.PoolDemand) bool { return p.GetQueued() > 0 }) {
		d.demand.Offer(struct{}{})
	}
}

// schedule starts as much queued work as there are usable slots.
func (d *dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, pool := range d.queues.Pools() {
		d.schedulePool(now, pool)
	}
}

func (d *dispatcher) schedulePool(now time.Time, pool string) {
	free := d.candidates(now, pool)
	usable := lo.SumBy(free, func(c routing.Candidate) int { return c.Free })
	starts, rejections := d.queues.Next(now, pool, usable)
	for _, r := range rejections {
		d.reject(r)
	}
	for _, id := range starts {
		d.start(now, pool, id)
	}
}

// candidates are the hosts of a pool that have a usable slot here and are not ejected.
func (d *dispatcher) candidates(now time.Time, pool string) []routing.Candidate {
	all := lo.FilterMap(d.ledger.Free(pool), func(f slots.HostFree, _ int) (routing.Candidate, bool) {
		host, known := d.hosts[f.Host]
		if !known || f.Free == 0 {
			return routing.Candidate{}, false
		}
		return routing.Candidate{
			Host:              f.Host,
			DataCentre:        host.GetDataCentre(),
			Rack:              host.GetRack(),
			Free:              f.Free,
			Slots:             int(host.GetSlots()),
			DueForMaintenance: d.due[f.Host],
		}, true
	})
	return d.router.Usable(now, pool, all)
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
		d.queues.Cancel(now, id)
		t.result <- verdict{rejection: &admission.Rejection{ID: id, Reason: admission.ReasonNoHost, RetryAfter: retryNoHost}}
		return
	}
	d.running[id] = t
	t.result <- verdict{grant: g}
}

// grant chooses a host, takes one of its slots and registers the request with the gate.
func (d *dispatcher) grant(now time.Time, pool string, t *ticket) (*grant, error) {
	choices := lo.Reject(d.candidates(now, pool), func(c routing.Candidate, _ int) bool {
		return lo.Contains(t.excluded, c.Host)
	})
	request := routing.Request{
		Service: t.request.Service,
		Session: t.request.Class == admission.ClassSession,
		Digest:  t.digest,
	}
	host, ok := d.router.Pick(now, request, choices)
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
	t.result <- verdict{rejection: &r}
}

// offer queues a request. The verdict arrives on the ticket's channel.
func (d *dispatcher) offer(t *ticket) bool {
	return d.commands.Offer(func(d *dispatcher, now time.Time) {
		d.nextID++
		t.id = d.nextID
		t.request.ID = t.id
		if rejection := d.queues.Offer(now, t.request); rejection != nil {
			t.result <- verdict{rejection: rejection}
			return
		}
		d.waiting[t.id] = t
	})
}

// cancel takes back a request whose caller has gone. A grant that crossed with it is finished by the caller's handler.
func (d *dispatcher) cancel(ctx context.Context, t *ticket) {
	_ = d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		if _, waits := d.waiting[t.id]; !waits {
			return
		}
		delete(d.waiting, t.id)
		d.queues.Cancel(now, t.id)
		t.result <- verdict{rejection: &admission.Rejection{ID: t.id, Reason: admission.ReasonCancelled}}
	})
}

// finished says how a granted request ended.
type finished struct {
	ticket *ticket
	grant  *grant
	result routing.Result
}

// done gives back the slot of a granted request. It waits for room in the ring: a slot must never be forgotten.
func (d *dispatcher) done(ctx context.Context, f finished) {
	f.grant.release()
	_ = d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		delete(d.running, f.ticket.id)
		runTime := now.Sub(f.grant.started)
		d.ledger.Release(f.grant.token)
		d.queues.Done(now, f.ticket.id, runTime, f.result == routing.ResultOK)
		d.router.Observe(now, routing.Observation{
			Host:    f.grant.host,
			Pool:    f.grant.pool,
			Service: f.ticket.request.Service,
			Digest:  f.ticket.digest,
			Result:  f.result,
			RunTime: runTime,
		})
	})
}

// applyFleet implements fleetApplier: it returns when the dispatcher obeys the fleet.
func (d *dispatcher) applyFleet(f *pb.Fleet, cfg *pb.Configuration) {
	if f == nil || cfg == nil {
		return
	}
	applied := make(chan struct{})
	_ = d.commands.Put(context.Background(), func(d *dispatcher, now time.Time) {
		d.takeOver(now, f, cfg)
		close(applied)
	})
	<-applied
}

// takeOver installs a fleet and a configuration.
func (d *dispatcher) takeOver(now time.Time, f *pb.Fleet, cfg *pb.Configuration) {
	d.hosts = lo.KeyBy(cfg.GetHosts(), (*pb.Host).GetName)
	states := lo.KeyBy(f.GetHosts(), (*pb.HostState).GetHost)
	d.queues.Configure(cfg)
	d.ledger.SetHosts(lo.Map(cfg.GetHosts(), func(h *pb.Host, _ int) slots.HostSlots {
		state := states[h.GetName()]
		return slots.HostSlots{
			Host:       h.GetName(),
			Pool:       state.GetPool(),
			Slots:      int(h.GetSlots()),
			DataCentre: h.GetDataCentre(),
			Closed:     state.GetPhase() != pb.HostPhase_HOST_PHASE_ACTIVE,
		}
	}))
	d.ledger.SetOwners(f)
	present := lo.KeyBy(f.GetMembers(), (*pb.Member).GetName)
	d.peers = lo.PickBy(d.peers, func(name string, _ slots.PeerDemand) bool { return present[name] != nil })
	d.due = dueForMaintenance(f, cfg, now)
}

// dueForMaintenance is when each host of a running wave may be taken.
func dueForMaintenance(f *pb.Fleet, cfg *pb.Configuration, now time.Time) map[string]time.Time {
	due := map[string]time.Time{}
	if cfg.GetMaintenance() == nil {
		return due
	}
	for _, w := range f.GetWaves() {
		if w.GetPhase() != pb.WavePhase_WAVE_PHASE_RUNNING {
			continue
		}
		for _, host := range w.GetPending() {
			due[host] = now
		}
	}
	return due
}

// incoming takes over a peer's heartbeat.
func (d *dispatcher) incoming(ctx context.Context, hb *pb.Heartbeat) {
	_ = d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		d.ledger.Incoming(hb)
		d.peers[hb.GetName()] = slots.PeerDemand{Demand: hb.GetDemand()}
		d.router.Merge(hb.GetName(), hb.GetHealth())
		for _, u := range hb.GetTeamUsage() {
			d.queues.SetTeamUsage(hb.GetName(), u.GetTeam(), int(u.GetRunning()))
		}
		d.ledger.Balance(now, d.queues.Demand(now), d.peers)
	})
}

// compose fills the dispatcher's part of a heartbeat to a peer, and gives it its sequence number.
func (d *dispatcher) compose(ctx context.Context, peer string, hb *pb.Heartbeat) error {
	composed := make(chan struct{})
	err := d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		defer close(composed)
		d.sequence++
		hb.Sequence = d.sequence
		hb.Slots = d.ledger.Outgoing(peer)
		hb.Demand = d.queues.Demand(now)
		hb.TeamUsage = d.queues.TeamUsage()
		hb.Health = d.router.Health()
	})
	if err != nil {
		return err
	}
	select {
	case <-composed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
