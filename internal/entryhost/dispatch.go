package entryhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/admission"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
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
	code       refusalCode
}

func rejectionOf(reason admission.Reason, retryAfter time.Duration) *rejection {
	return &rejection{
		reason:     reason.String(),
		code:       codeOfReason(reason),
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
	demand   *ring.Ring[struct{}] // signalled when a queue grows and peers should hear of it

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
	peers   map[string]slots.PeerDemand
	usage   map[string]map[string]int64 // running by team, by peer
	nextID  uint64
	// sequence numbers the heartbeats of this incarnation.
	sequence uint64
}

func newDispatcher(v *view, self *pb.Owner, place string, maxRequests int) *dispatcher {
	d := &dispatcher{
		view:     v,
		self:     self,
		commands: ring.New[command]("dispatch", commandCapacity),
		demand:   ring.New[struct{}]("demand", 1),
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
	for _, pool := range d.pools {
		d.schedulePool(now, pool)
	}
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
	ejected := d.ejected()
	return lo.SumBy(d.ledger.Free(pool), func(f slots.HostFree) int {
		if ejected[f.Host] || d.isLeaving(f.Host) {
			return 0
		}
		return f.Free
	})
}

// ejected are the hosts that get probes only.
func (d *dispatcher) ejected() map[string]bool {
	ejected := map[string]bool{}
	for _, h := range d.router.Health() {
		if h.GetEjected() {
			ejected[h.GetHost()] = true
		}
	}
	return ejected
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
		t.result <- verdict{rejection: &rejection{reason: err.Error(), retryAfter: retryNoHost, code: codeNoHost}}
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
			t.result <- verdict{rejection: &rejection{reason: "this request failed on every host it was tried on; do not send it again", hopeless: true, code: codeHopeless}}
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
		t.result <- verdict{rejection: &rejection{reason: "the caller has gone", code: codeCallerGone}}
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
	d.pools = lo.Map(cfg.GetPools(), func(p *pb.Pool, _ int) string { return p.GetName() })
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
	d.leaving = lo.PickBy(d.leaving, func(name string, _ []string) bool { return present[name] != nil })
	d.usage = lo.PickBy(d.usage, func(name string, _ map[string]int64) bool { return present[name] != nil })
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
		d.peers[hb.GetName()] = slots.PeerDemand{Pools: hb.GetDemand(), DataCentre: hb.GetDataCentre()}
		d.router.Merge(hb.GetName(), hb.GetHealth())
		d.takeUsage(hb)
		d.leaving[hb.GetName()] = hb.GetLeavingHosts()
		d.ledger.Balance(now, d.queues.Demand(now), d.peers)
	})
}

// slotStatus counts the slots; all zero if ctx ends first.
func (d *dispatcher) slotStatus(ctx context.Context) operatorapi.SlotStatus {
	counted := make(chan operatorapi.SlotStatus, 1)
	err := d.commands.Put(ctx, func(d *dispatcher, _ time.Time) {
		counted <- operatorapi.SlotStatus{
			Own:      d.ledger.Own(),
			InUse:    d.ledger.InUse(),
			Lent:     d.ledger.Lent(),
			Borrowed: d.ledger.Borrowed(),
			Waiting:  d.ledger.Waiting(),
		}
	})
	if err != nil {
		return operatorapi.SlotStatus{}
	}
	return <-counted
}

// shun gives no more work to the hosts that the platform's list shows leaving or gone. The fleet drains them too, but
// not while the store is down.
func (d *dispatcher) shun(ctx context.Context, hosts []string) {
	_ = d.commands.Put(ctx, func(d *dispatcher, _ time.Time) { d.leaving[d.self.GetName()] = hosts })
}

func (d *dispatcher) isLeaving(host string) bool {
	for _, hosts := range d.leaving {
		if lo.Contains(hosts, host) {
			return true
		}
	}
	return false
}

// takeUsage sums up what each team runs on the other entry hosts.
func (d *dispatcher) takeUsage(hb *pb.Heartbeat) {
	before := d.usage[hb.GetName()]
	now := lo.SliceToMap(hb.GetTeamUsage(), func(u *pb.TeamUsage) (string, int64) { return u.GetTeam(), u.GetRunning() })
	d.usage[hb.GetName()] = now
	for _, team := range lo.Union(lo.Keys(before), lo.Keys(now)) {
		total := int64(0)
		for _, peer := range d.usage {
			total += peer[team]
		}
		d.queues.SetTeamUsage(team, total)
	}
}

// teamUsage is what each team runs here.
func (d *dispatcher) teamUsage() []*pb.TeamUsage {
	running := lo.CountValuesBy(lo.Values(d.running), func(t *ticket) string { return t.request.Team })
	return lo.MapToSlice(running, func(team string, n int) *pb.TeamUsage {
		return &pb.TeamUsage{Team: team, Running: int64(n)}
	})
}

// allowRetry takes a retry from the service's budget.
func (d *dispatcher) allowRetry(ctx context.Context, service string) bool {
	allowed := make(chan bool, 1)
	err := d.commands.Put(ctx, func(d *dispatcher, now time.Time) { allowed <- d.router.AllowRetry(now, service) })
	if err != nil {
		return false
	}
	return <-allowed
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
		hb.TeamUsage = d.teamUsage()
		hb.Health = d.router.Health()
		hb.LeavingHosts = d.leaving[d.self.GetName()]
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
