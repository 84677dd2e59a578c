// Package peers exchanges heartbeats, configurations and fleets with the other entry hosts and answers their calls.
package peers

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
	"github.com/agateturn/agateturn/internal/meterconn"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/tokenbucket"
)

const (
	// earlyGap is the minimum time between an exchange and an early heartbeat on one link.
	earlyGap = 50 * time.Millisecond
	// earlyRate (per second) and earlyBurst are the rate limit of the early heartbeats of one entry host.
	earlyRate  = 4
	earlyBurst = 16
	// peerMessageLimit is the maximum size in bytes of one message from a peer.
	peerMessageLimit = 2 << 20
	// compressFrom is the minimum size in bytes of a compressed message: configurations and fleets are compressed,
	// heartbeats are not.
	compressFrom = 8 << 10
	// replacedRetention is how long the last heartbeat of a replaced incarnation is kept after its receipt.
	replacedRetention = time.Minute
)

// localWork is the dispatcher's part in the exchange of heartbeats.
type localWork interface {
	// Compose fills the dispatcher's part of a heartbeat to a peer.
	Compose(ctx context.Context, peer string, hb *pb.Heartbeat) error
	// Incoming processes a peer's heartbeat.
	Incoming(ctx context.Context, hb *pb.Heartbeat)
	// PeersToTell returns a channel of the names of peers that should receive a heartbeat early.
	PeersToTell() <-chan string
}

// Peers exchanges heartbeats with the other entry hosts. It is safe for concurrent use.
type Peers struct {
	self      *pb.Member
	view      *view.View
	work      localWork
	heartbeat time.Duration
	logger    *slog.Logger
	client    *http.Client
	ready     func() bool
	started   time.Time
	changed   *ring.Ring[struct{}]
	received  *ring.Ring[struct{}] // signalled when a heartbeat was received

	fetching atomic.Bool // a fetch of a newer configuration or fleet is in progress

	mu sync.Mutex
	// earlyLimit limits the rate of heartbeats sent before they are due.
	earlyLimit tokenbucket.Bucket
	// latest holds the newest heartbeat of each incarnation.
	latest map[string]fleet.Received
	links  map[string]*link
	// vouched are the guests that this member vouches for.
	vouched view.GuestBook
	// sponsor is the peer address of the member that vouches for us while we are its guest.
	sponsor string
	clients map[string]agateturnv1connect.PeerServiceClient
}

// Options are the settings and dependencies of Peers.
type Options struct {
	Self      *pb.Member
	View      *view.View
	Work      localWork
	Heartbeat time.Duration
	Logger    *slog.Logger
	Traffic   meterconn.Meter
}

// New returns Peers without links; Run starts them. SetReady must be called before Run.
func New(o Options) *Peers {
	return &Peers{
		self:      o.Self,
		view:      o.View,
		work:      o.Work,
		heartbeat: o.Heartbeat,
		logger:    o.Logger,
		client:    peerClient(o.Traffic),
		changed:   o.View.Subscribe("peers"),
		received:  ring.New[struct{}]("heard", 1),
		latest:    map[string]fleet.Received{},
		started:   time.Now(),
		links:     map[string]*link{},
		vouched:   view.GuestBook{},
		clients:   map[string]agateturnv1connect.PeerServiceClient{},
	}
}

// Run maintains one link to each other member and guest until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	ticker := time.NewTicker(p.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.view.RefreshGuests()
			p.reconcile(ctx)
		case <-p.changed.Items():
			p.reconcile(ctx)
			p.kickAll()
		case name := <-p.work.PeersToTell():
			p.kickEarly(name)
		}
	}
}

// reconcile starts links to new members, guests and addresses, and stops those to former ones. It also drops outdated
// guests and heartbeats.
func (p *Peers) reconcile(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vouched.Prune(p.view.Fleet())
	p.pruneReplaced()
	// A guest comes after its predecessor in the list and so replaces it.
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

// pruneReplaced drops the heartbeats of replaced incarnations that were received longer than replacedRetention ago. The
// caller holds mu.
func (p *Peers) pruneReplaced() {
	listed := lo.SliceToMap(p.view.Fleet().GetMembers(), func(m *pb.Member) (string, string) {
		return m.GetName(), m.GetIncarnation()
	})
	p.latest = lo.PickBy(p.latest, func(incarnation string, r fleet.Received) bool {
		current, isMember := listed[r.Heartbeat.GetName()]
		return !isMember || current == incarnation || time.Since(r.At) < replacedRetention
	})
}

// others returns the members except this one, guests included.
func (p *Peers) others() []*pb.Member {
	return lo.Filter(p.view.Members(), func(m *pb.Member, _ int) bool { return m.GetName() != p.self.GetName() })
}

// exchange sends one heartbeat and processes the peer's in the answer.
func (p *Peers) exchange(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, p.heartbeat)
	defer cancel()
	hb, err := p.compose(ctx, name)
	if err != nil {
		return
	}
	began := time.Now()
	answer, err := p.At(address).Exchange(ctx, connect.NewRequest(hb))
	if err != nil {
		events.Emit(ctx, p.logger, events.HeartbeatFailed, "peer", name, "err", err)
		return
	}
	p.reportToStager(answer.Msg, began)
	p.receive(ctx, answer.Msg)
}

// At returns the client of the peer at the address.
func (p *Peers) At(address string) agateturnv1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	c := agateturnv1connect.NewPeerServiceClient(p.client, "http://"+address,
		connect.WithReadMaxBytes(peerMessageLimit), connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	p.clients[address] = c
	return c
}

// compose returns this member's heartbeat to a peer.
//
// The applied revision is read before the held hosts, so that the list contains every host that is still held under that
// revision.
func (p *Peers) compose(ctx context.Context, peer string) (*pb.Heartbeat, error) {
	now := time.Now()
	hb := &pb.Heartbeat{
		Name:             p.self.GetName(),
		Incarnation:      p.self.GetIncarnation(),
		DataCentre:       p.self.GetDataCentre(),
		FleetRevision:    p.view.AppliedRevision(),
		ConfigGeneration: p.view.Config().GetGeneration(),
		StoreAgeMs:       p.view.StoreAge(now).Milliseconds(),
		Ready:            p.ready(),
		Guests:           p.vouchedMembers(),
	}
	if err := p.work.Compose(ctx, peer, hb); err != nil {
		return nil, err
	}
	hb.HeldHosts = p.view.Gate.Held(now)
	return hb, nil
}

// receive stores a heartbeat if it is newer than the last one and fetches a newer configuration or fleet from its sender.
// A heartbeat of an incarnation that is neither a member nor a guest is not stored. Its sender may be a member's next
// incarnation that is already registered in the store, so a newer configuration or fleet is fetched from it too.
func (p *Peers) receive(ctx context.Context, hb *pb.Heartbeat) {
	if p.knows(hb) {
		if !p.record(hb) {
			return
		}
		p.view.AddGuests(hb.GetGuests()...)
		p.work.Incoming(ctx, hb)
		p.received.Offer(struct{}{})
	}
	// Many peers report the same change at once, so one fetch at a time is enough. After a failed fetch, the next heartbeat
	// triggers another.
	if p.ahead(hb) && p.fetching.CompareAndSwap(false, true) {
		defer p.fetching.Store(false)
		p.catchUp(ctx, hb)
	}
}

// knows reports whether a heartbeat comes from a known incarnation of another member or guest.
func (p *Peers) knows(hb *pb.Heartbeat) bool {
	return lo.SomeBy(p.others(), func(m *pb.Member) bool {
		return m.GetName() == hb.GetName() && m.GetIncarnation() == hb.GetIncarnation()
	})
}

// ahead reports whether the sender of a heartbeat has a newer fleet or configuration than this entry host.
func (p *Peers) ahead(hb *pb.Heartbeat) bool {
	return hb.GetFleetRevision() > p.view.Fleet().GetRevision() ||
		hb.GetConfigGeneration() > p.view.Config().GetGeneration()
}

// catchUp fetches the configuration and the fleet from the heartbeat's sender, then from another peer if that has newer
// ones still.
func (p *Peers) catchUp(ctx context.Context, hb *pb.Heartbeat) {
	p.fetchFrom(ctx, hb.GetName())
	p.mu.Lock()
	newer, found := lo.Find(lo.Values(p.latest), func(r fleet.Received) bool { return p.ahead(r.Heartbeat) })
	p.mu.Unlock()
	if found && newer.Heartbeat.GetName() != hb.GetName() {
		p.fetchFrom(ctx, newer.Heartbeat.GetName())
	}
}

// reportToStager reports to the stager the configuration generation that a peer was at, at some time after began.
func (p *Peers) reportToStager(hb *pb.Heartbeat, began time.Time) {
	registered := lo.SomeBy(p.view.Fleet().GetMembers(), func(m *pb.Member) bool {
		return m.GetIncarnation() == hb.GetIncarnation()
	})
	p.view.WithStager(func(st *config.Stager) {
		st.PeerReported(began, config.Report{
			Peer:       fleet.Identity(hb),
			Generation: hb.GetConfigGeneration(),
			Ready:      hb.GetReady(),
			Registered: registered,
		})
	})
}

// record stores a heartbeat, records an exchange on the sender's link and returns true, unless the same or a later
// heartbeat of the incarnation is stored already.
func (p *Peers) record(hb *pb.Heartbeat) bool {
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

// members returns the known members and guests, this one included.
func (p *Peers) members() []*pb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.others(), p.self)
}

// Reports returns the newest heartbeats by incarnation, this entry host's own included.
func (p *Peers) Reports(ctx context.Context) (map[string]fleet.Received, error) {
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

// SlowestGeneration returns the lowest configuration generation that any member or guest has reported, this entry host's
// own included. One that has sent no heartbeat counts as generation 0.
func (p *Peers) SlowestGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := p.view.Config().GetGeneration()
	for _, m := range p.others() {
		slowest = min(slowest, p.latest[m.GetIncarnation()].Heartbeat.GetConfigGeneration())
	}
	return slowest
}

func (p *Peers) vouchedMembers() []*pb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vouched.Members()
}

// SetReady sets the function that reports whether this entry host may take work. Heartbeats carry its result.
func (p *Peers) SetReady(ready func() bool) { p.ready = ready }

// Heard returns a channel that is signalled when a heartbeat was received.
func (p *Peers) Heard() <-chan struct{} { return p.received.Items() }
