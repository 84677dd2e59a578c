package entryhost

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/tokenbucket"
)

const (
	// newsGap is the shortest time between an exchange and an early heartbeat on one link.
	newsGap = 50 * time.Millisecond
	// earlyRate and earlyBurst bound the early heartbeats of one entry host, per second and at once.
	earlyRate  = 4
	earlyBurst = 16
	// peerMessageLimit bounds one message from a peer, in bytes.
	peerMessageLimit = 2 << 20
	// compressFrom is the size of the smallest message that is compressed, in bytes: values are, heartbeats are not.
	compressFrom = 8 << 10
	// formerKept is how long the heartbeats of a replaced incarnation are kept.
	formerKept = time.Minute
)

// peers exchanges heartbeats with the other entry hosts and answers theirs. It is safe for concurrent use.
type peers struct {
	self      *pb.Member
	view      *view
	dispatch  *dispatcher
	heartbeat time.Duration
	logger    *slog.Logger
	client    *http.Client
	ready     func() bool
	started   time.Time
	changed   *ring.Ring[struct{}]
	heard     *ring.Ring[struct{}] // signalled when a heartbeat came in

	fetching atomic.Bool // a fetch of newer values is under way

	mu sync.Mutex
	// early bounds the heartbeats sent before their turn.
	early tokenbucket.Bucket
	// latest holds the newest heartbeat of each incarnation.
	latest map[string]fleet.Received
	links  map[string]*link
	// vouched are the guests that this member vouches for.
	vouched guestBook
	// sponsor is the peer address of the member that vouches for us while we are its guest.
	sponsor string
	hosts   map[string]agateturnv1connect.PeerServiceClient
}

// link is the duty that exchanges heartbeats with one peer.
type link struct {
	address string
	kick    *ring.Ring[struct{}]
	stop    context.CancelFunc
	// period is the time after the last exchange, by either side, at which this side begins one.
	period time.Duration
	// last is the last try of this side, or the last heartbeat from the other; peers.mu guards it.
	last time.Time
}

// run keeps one link to each member until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(p.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.view.refreshGuests()
			p.reconcile(ctx)
		case <-p.changed.Items():
			p.reconcile(ctx)
			p.kickAll()
		case name := <-p.dispatch.news.Items():
			p.kickEarly(name)
		}
	}
}

// reconcile starts links to new members and ends those to members that are gone.
func (p *peers) reconcile(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vouched.prune(p.view.fleet())
	p.forgetFormer()
	// A guest comes after its predecessor and takes its place.
	wanted := lo.SliceToMap(p.others(), func(m *pb.Member) (string, string) { return m.GetName(), m.GetPeerAddress() })
	for name, l := range p.links {
		if wanted[name] != l.address {
			l.stop()
			delete(p.links, name)
		}
	}
	for name, address := range wanted {
		if p.links[name] == nil {
			p.links[name] = p.startLink(ctx, name, address)
		}
	}
}

// forgetFormer drops the heartbeats of incarnations that were replaced by a later one. The caller holds mu.
func (p *peers) forgetFormer() {
	names := lo.SliceToMap(p.view.fleet().GetMembers(), func(m *pb.Member) (string, string) {
		return m.GetName(), m.GetIncarnation()
	})
	p.latest = lo.PickBy(p.latest, func(incarnation string, r fleet.Received) bool {
		current, isMember := names[r.Heartbeat.GetName()]
		return !isMember || current == incarnation || time.Since(r.At) < formerKept
	})
}

// others are the members besides this one, guests included.
func (p *peers) others() []*pb.Member {
	return lo.Filter(p.view.members(), func(m *pb.Member, _ int) bool { return m.GetName() != p.self.GetName() })
}

func (p *peers) startLink(ctx context.Context, name, address string) *link {
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{address: address, kick: ring.New[struct{}]("kick "+name, 1), stop: stop, period: p.heartbeat}
	if p.self.GetName() > name {
		l.period += p.heartbeat / 4 // an exchange serves both sides: one of them begins, the other only if that fails
	}
	go p.runLink(linkCtx, name, l)
	return l
}

func (p *peers) runLink(ctx context.Context, name string, l *link) {
	for {
		p.note(l)
		p.exchange(ctx, name, l.address)
		if !p.awaitTurn(ctx, l) {
			return
		}
	}
}

// note records that something was said on the link.
func (p *peers) note(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.last = time.Now()
}

// awaitTurn waits until this side is to begin an exchange: when it has news, or when nothing was said for the link's
// period. It returns false when ctx ends.
func (p *peers) awaitTurn(ctx context.Context, l *link) bool {
	for {
		p.mu.Lock()
		wait := time.Until(l.last.Add(l.period))
		p.mu.Unlock()
		if wait <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-l.kick.Items():
			timer.Stop()
			return true
		case <-timer.C: // the other side may have begun one meanwhile
		}
	}
}

// kickEarly sends a peer a heartbeat before its turn, unless something was just said or the budget of early heartbeats is
// used up: the peer stays pending then.
func (p *peers) kickEarly(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil || time.Since(l.last) < newsGap || !p.early.Take(time.Now(), earlyRate, earlyBurst) {
		return
	}
	l.kick.Offer(struct{}{})
}

func (p *peers) kickAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.kick.Offer(struct{}{})
	}
}

// exchange sends one heartbeat and takes over the peer's.
func (p *peers) exchange(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, p.heartbeat)
	defer cancel()
	hb, err := p.compose(ctx, name)
	if err != nil {
		return
	}
	began := time.Now()
	answer, err := p.at(address).Exchange(ctx, connect.NewRequest(hb))
	if err != nil {
		p.logger.Debug("heartbeat failed", "component", "peers", "peer", name, "err", err)
		return
	}
	p.tellStager(answer.Msg, began)
	p.take(ctx, answer.Msg)
}

// at is the client for a peer address.
func (p *peers) at(address string) agateturnv1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.hosts[address]; ok {
		return c
	}
	c := agateturnv1connect.NewPeerServiceClient(p.client, "http://"+address,
		connect.WithReadMaxBytes(peerMessageLimit), connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	p.hosts[address] = c
	return c
}

// compose is this member's report to a peer.
//
// The applied revision is read before the held hosts: whatever is still held under that revision is in the list.
func (p *peers) compose(ctx context.Context, peer string) (*pb.Heartbeat, error) {
	now := time.Now()
	hb := &pb.Heartbeat{
		Name:             p.self.GetName(),
		Incarnation:      p.self.GetIncarnation(),
		DataCentre:       p.self.GetDataCentre(),
		FleetRevision:    p.view.appliedRevision(),
		ConfigGeneration: p.view.config().GetGeneration(),
		StoreAgeMs:       p.view.storeAge(now).Milliseconds(),
		Ready:            p.ready(),
		Guests:           p.guestList(),
	}
	if err := p.dispatch.compose(ctx, peer, hb); err != nil {
		return nil, err
	}
	hb.HeldHosts = p.view.gate.Held(now)
	return hb, nil
}

// take keeps a heartbeat if it is newer than the last one, and asks its sender for values that it has and we lack. Of an
// incarnation that is neither a member nor a guest nothing is kept; it may be a member's next, known to the store first.
func (p *peers) take(ctx context.Context, hb *pb.Heartbeat) {
	if p.knows(hb) {
		if !p.keep(hb) {
			return
		}
		p.view.addGuests(hb.GetGuests()...)
		p.dispatch.incoming(ctx, hb)
		p.heard.Offer(struct{}{})
	}
	// Many peers tell of the same change at once: one fetch serves for all. A failed one is made up by the next heartbeat.
	if p.ahead(hb) && p.fetching.CompareAndSwap(false, true) {
		defer p.fetching.Store(false)
		p.catchUp(ctx, hb)
	}
}

// knows reports whether a heartbeat comes from one of the others.
func (p *peers) knows(hb *pb.Heartbeat) bool {
	return lo.SomeBy(p.others(), func(m *pb.Member) bool {
		return m.GetName() == hb.GetName() && m.GetIncarnation() == hb.GetIncarnation()
	})
}

// ahead reports whether the sender of a heartbeat has a value newer than ours.
func (p *peers) ahead(hb *pb.Heartbeat) bool {
	return hb.GetFleetRevision() > p.view.fleet().GetRevision() ||
		hb.GetConfigGeneration() > p.view.config().GetGeneration()
}

// catchUp fetches from the heartbeat's sender, then from another that told of something newer meanwhile.
func (p *peers) catchUp(ctx context.Context, hb *pb.Heartbeat) {
	p.fetchFrom(ctx, hb.GetName())
	p.mu.Lock()
	newer, found := lo.Find(lo.Values(p.latest), func(r fleet.Received) bool { return p.ahead(r.Heartbeat) })
	p.mu.Unlock()
	if found && newer.Heartbeat.GetName() != hb.GetName() {
		p.fetchFrom(ctx, newer.Heartbeat.GetName())
	}
}

// tellStager lets the acceptance state machine know what generation a peer was at, at some time after the exchange began.
func (p *peers) tellStager(hb *pb.Heartbeat, began time.Time) {
	registered := lo.SomeBy(p.view.fleet().GetMembers(), func(m *pb.Member) bool {
		return m.GetIncarnation() == hb.GetIncarnation()
	})
	p.view.withStager(func(st *config.Stager) {
		st.Heard(began, config.Report{
			Peer:       fleet.Identity(hb),
			Generation: hb.GetConfigGeneration(),
			Ready:      hb.GetReady(),
			Registered: registered,
		})
	})
}

// keep stores a heartbeat unless a later one of the same incarnation is known already.
func (p *peers) keep(hb *pb.Heartbeat) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	fleet.Record(p.latest, hb, now)
	if p.latest[hb.GetIncarnation()].Heartbeat != hb {
		return false
	}
	if l := p.links[hb.GetName()]; l != nil {
		l.last = now
	}
	return true
}

func (p *peers) fetchFrom(ctx context.Context, name string) {
	member, ok := lo.Find(p.members(), func(m *pb.Member) bool { return m.GetName() == name })
	if !ok {
		return
	}
	if values, err := p.fetch(ctx, member.GetPeerAddress(), nil); err == nil {
		p.takeValues(ctx, values)
	}
}

// fetchAsGuest asks a peer to vouch for this entry host, and serves by the peer's values once it does.
func (p *peers) fetchAsGuest(ctx context.Context, address string) error {
	values, err := p.fetch(ctx, address, p.self)
	if err != nil {
		return err
	}
	p.view.addGuests(p.self)
	p.takeValues(ctx, values)
	return nil
}

// fetch returns what the peer knows and we do not. With join set, the peer vouches for this entry host.
func (p *peers) fetch(ctx context.Context, address string, join *pb.Member) (*pb.FetchResponse, error) {
	answer, err := p.at(address).Fetch(ctx, connect.NewRequest(&pb.FetchRequest{
		ConfigGeneration: p.view.config().GetGeneration(),
		FleetRevision:    p.view.fleet().GetRevision(),
		Join:             join,
	}))
	if err != nil {
		return nil, errUnreachable.New("%s: %v", address, err)
	}
	return answer.Msg, nil
}

// fleetOfMember returns the whole fleet of the first other member that answers.
func (p *peers) fleetOfMember(ctx context.Context) (*pb.Fleet, error) {
	for _, m := range p.view.fleet().GetMembers() {
		if m.GetName() == p.self.GetName() {
			continue
		}
		answer, err := p.at(m.GetPeerAddress()).Fetch(ctx, connect.NewRequest(&pb.FetchRequest{}))
		if err == nil && answer.Msg.GetFleet() != nil {
			return answer.Msg.GetFleet(), nil
		}
	}
	return nil, errUnreachable.New("no member answers")
}

// takeValues puts a peer's newer values in force. The configuration goes first: the fleet refers to its hosts.
func (p *peers) takeValues(ctx context.Context, values *pb.FetchResponse) {
	if cfg := values.GetConfig(); cfg != nil {
		if p.view.applyConfig(time.Now(), cfg) {
			events.Emit(ctx, p.logger, events.ConfigInForce, "generation", cfg.GetGeneration(), "source", "peer")
		}
	}
	if f := values.GetFleet(); f != nil {
		p.view.applyFleet(f)
	}
}

// members are the known members and guests, this one included.
func (p *peers) members() []*pb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.others(), p.self)
}

// reports are the newest heartbeats by incarnation, this entry host's own included.
func (p *peers) reports(ctx context.Context) (map[string]fleet.Received, error) {
	own, err := p.compose(ctx, p.self.GetName())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := lo.Assign(p.latest)
	now := time.Now()
	all[p.self.GetIncarnation()] = fleet.Received{Heartbeat: own, At: now, Since: p.started}
	return all, nil
}

// slowestGeneration is the lowest configuration generation in force on any member, as far as heard.
func (p *peers) slowestGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := p.view.config().GetGeneration()
	for _, m := range p.others() {
		slowest = min(slowest, p.latest[m.GetIncarnation()].Heartbeat.GetConfigGeneration())
	}
	return slowest
}

func (p *peers) guestList() []*pb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vouched.members()
}
