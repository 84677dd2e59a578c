// Package membership keeps this entry host registered in the shared store, and takes, keeps and gives up pools.
//
// One lease a host holds its member key and the keys of the pools that it owns. The goroutines of Run are: the keeper,
// which holds the lease; the watcher and the checker, which follow the keys of all hosts; one that hands pools over while
// the store is silent; and the elector, which alone changes state, takes free pools and calls Events. The decisions are
// those of package ownership.
package membership

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/ownership"
	"github.com/agateturn/agateturn/store"
)

// FleetPool is the name under which the owner of the fleet is elected.
const FleetPool = "~fleet"

// inboxSize bounds the messages that wait for the elector.
const inboxSize = 256

// Self is this entry host.
type Self struct {
	Name string
	// Incarnation is unique to this life of the process.
	Incarnation string
	PeerAddress string
	DataCentre  string
	// CPUMilli is the processor that the process may use, in thousandths of a core; 0 if not known.
	CPUMilli int64
}

// Events tells when a pool is gained and lost. They are called from one goroutine and must not block.
type Events struct {
	Gained func(pool string, fence uint64)
	Lost   func(pool string, fence uint64)
}

// Options tune a Manager. Zero values mean the defaults.
type Options struct {
	// LeaseTTL is how long the store keeps the keys of a silent host; it is renewed each third of it. Default 2.5 s.
	LeaseTTL time.Duration
	// Settle is how long a host waits after its registration before it takes pools, so that all of a fleet that starts
	// together take part. Default 500 ms.
	Settle time.Duration
	// RankStep is how much longer each further host waits before it takes a free pool. Default 150 ms.
	RankStep time.Duration
	// MaxUnconfirmed is how long an owner acts without a confirmed renewal. Default 10 s.
	MaxUnconfirmed time.Duration
	// Pause is the gap in this process's running after which an owner confirms its lease before it acts. Default 1 s.
	Pause time.Duration
	// CallTimeout bounds each call on the store, besides watches. Default 2.5 s.
	CallTimeout time.Duration
	// WatchWait is how long a watch waits. Default 10 s.
	WatchWait time.Duration
	// QuietCheck is how long the watch may tell nothing before a cheap read looks for changes. Default 2 s.
	QuietCheck time.Duration
	// AskPeer asks a peer to call TakeFrom, and returns nil if that did. It lets an owner that the store does not answer
	// hand over before its lease lapses. Nil means that it waits.
	AskPeer func(ctx context.Context, peer *pb.JobMember, pool string, fence uint64) error
	// HandOverAfter is how long the store must have been silent for that. Default 1.5 s.
	HandOverAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.LeaseTTL = cmp.Or(o.LeaseTTL, 2500*time.Millisecond)
	o.Settle = cmp.Or(o.Settle, 500*time.Millisecond)
	o.RankStep = cmp.Or(o.RankStep, 150*time.Millisecond)
	o.MaxUnconfirmed = cmp.Or(o.MaxUnconfirmed, 10*time.Second)
	o.Pause = cmp.Or(o.Pause, time.Second)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2500*time.Millisecond)
	o.WatchWait = cmp.Or(o.WatchWait, 10*time.Second)
	o.HandOverAfter = cmp.Or(o.HandOverAfter, 1500*time.Millisecond)
	o.QuietCheck = cmp.Or(o.QuietCheck, 2*time.Second)
	return o
}

// Manager is this host's part in membership and ownership. Its methods are safe for concurrent use.
type Manager struct {
	kv     store.Transactor
	self   Self
	events Events
	clock  func() time.Time
	log    *slog.Logger
	opts   Options

	confirmation *ownership.Confirmation
	known        atomic.Pointer[snapshot]
	heard        atomic.Int64 // Unix nanoseconds of the store's last successful answer
	watchHeard   atomic.Int64 // Unix nanoseconds of the watch's last events

	// inbox holds what the elector is to do.
	inbox *ring.Ring[func(context.Context)]
	// renewNow and registerNow wake the keeper.
	renewNow    chan struct{}
	registerNow chan struct{}
	// storeBack wakes a watcher that waits after a failure.
	storeBack   chan struct{}
	registering atomic.Bool
	stopped     chan struct{} // closed by Leave: the keeper ends
	stop        sync.Once
	// life ends with Run.
	life context.Context
	end  context.CancelFunc
	// calls are the store calls in progress that no duty waits for.
	calls sync.WaitGroup

	elector elector
}

// New returns a Manager; Run makes it take part. clock must be steady and count suspension; see package boottime.
func New(kv store.Transactor, self Self, ev Events, clock func() time.Time, log *slog.Logger, opts Options) *Manager {
	opts = opts.withDefaults()
	m := &Manager{
		kv: kv, self: self, events: ev, clock: clock, log: log, opts: opts,
		confirmation: ownership.NewConfirmation(
			ownership.Limits{Unconfirmed: opts.MaxUnconfirmed, Pause: opts.Pause}, clock()),
		inbox:       ring.New[func(context.Context)]("membership", inboxSize),
		renewNow:    make(chan struct{}, 1),
		registerNow: make(chan struct{}, 1),
		storeBack:   make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		elector:     newElector(),
	}
	m.life, m.end = context.WithCancel(context.Background())
	m.known.Store(&snapshot{})
	return m
}

// Run takes part until ctx ends. It returns nil then. It is called once.
func (m *Manager) Run(ctx context.Context) error {
	defer m.calls.Wait()
	defer m.end()
	g, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context){m.keep, m.watch, m.check, m.tick, m.consent, m.elect} {
		g.Go(func() error {
			duty(ctx)
			return nil
		})
	}
	return g.Wait()
}

// snapshot is what other goroutines read. It never changes.
type snapshot struct {
	owners  map[string]holding
	members []*pb.JobMember
	// held are the fences of this host's pools.
	held map[string]uint64
}

type holding struct {
	rec   *pb.OwnerRecord
	fence uint64
}

// SetPools replaces the names that are to be owned; FleetPool is one of them if it is named.
func (m *Manager) SetPools(pools []string) {
	pools = slices.Clone(pools)
	m.post(m.life, func(context.Context) { m.elector.setPools(pools, m.clock()) })
}

// Owner tells who owns the pool as far as this host knows.
func (m *Manager) Owner(pool string) (rec *pb.OwnerRecord, fence uint64, ok bool) {
	h, ok := m.known.Load().owners[pool]
	return h.rec, h.fence, ok
}

// Members returns the hosts that are registered, as far as this host knows, sorted by name. Don't change them.
func (m *Manager) Members() []*pb.JobMember { return m.known.Load().members }

// Confirmed tells whether this host still holds the pool as far as it can know; look right before acting. Workers and
// the store refuse an older fence, so a wrong true is safe.
func (m *Manager) Confirmed(pool string) (fence uint64, ok bool) {
	fence, ok = m.known.Load().held[pool]
	return fence, ok && m.confirmation.Valid(m.clock())
}

// Replaced says that a worker or the store refused the fence: the pool is dropped at once.
func (m *Manager) Replaced(pool string, fence uint64) {
	m.post(m.life, func(context.Context) { m.refuse(pool, fence) })
}

// OwnerGone says that the owner with the fence is proved to have ended, though its lease may last: its address refuses
// connections, so nothing listens there. Silence is no proof. The pool is taken as if it were free.
func (m *Manager) OwnerGone(pool string, fence uint64) {
	m.post(m.life, func(context.Context) {
		if s, ok := m.elector.view.owners[pool]; ok && s.version == fence && !m.hasKey(s) {
			s.markGone(m.clock())
		}
	})
}

// storeAge is the time since the store last answered; it is long if it never did.
func (m *Manager) storeAge() time.Duration {
	heard := m.heard.Load()
	if heard == 0 {
		return time.Hour
	}
	return m.clock().Sub(time.Unix(0, heard))
}

// LeaseSlack is the time left until this host may no longer act on what it owns, unless the store confirms its lease
// before. It is negative afterwards.
func (m *Manager) LeaseSlack() time.Duration { return m.confirmation.Remaining(m.clock()) }

// StoreHeard is when the store last answered a call with success; zero if it never did.
func (m *Manager) StoreHeard() time.Time {
	n := m.heard.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (m *Manager) noteHeard() { m.heard.Store(m.clock().UnixNano()) }

// post hands work to the elector; it waits while the inbox is full, which lasts as long as an event callback.
func (m *Manager) post(ctx context.Context, do func(context.Context)) {
	_ = m.inbox.Put(ctx, do) // an ended ctx means that Run ends
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
