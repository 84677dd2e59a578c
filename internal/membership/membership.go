// Package membership keeps this entry host registered in the shared store, and acquires, holds and releases pools.
//
// The member key of a host and the owner keys of its pools are attached to one lease. Run starts these goroutines: the
// lease keeper; the watcher and the checker, which follow the keys of all hosts; one that detects suspensions of the
// process; one that hands pools over while the store is silent; and the elector, which alone changes state, acquires
// free pools and calls Events. Package ownership makes the decisions.
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

// FleetPool is the name of the pool whose owner manages the fleet.
const FleetPool = "~fleet"

// inboxSize is the maximum number of functions queued for the elector.
const inboxSize = 256

// Self is this entry host.
type Self struct {
	Name string
	// Incarnation is unique to this run of the process.
	Incarnation string
	PeerAddress string
	DataCentre  string
	// CPUMilli is the CPU capacity that the process may use, in thousandths of a core; 0 if unknown.
	CPUMilli int64
}

// Events are the callbacks for pools gained and lost. They are called from one goroutine and must not block.
type Events struct {
	Gained func(pool string, fence uint64)
	Lost   func(pool string, fence uint64)
}

// Options are the settings of a Manager. Zero values mean the defaults.
type Options struct {
	// LeaseTTL is how long the store keeps the keys of a silent host. The lease is renewed three times within it. Default
	// 2.5 s.
	LeaseTTL time.Duration
	// Settle is how long a host waits after it was granted a lease before it acquires pools that it did not own last, so
	// that all hosts of a fleet that starts together get their share. After a lost lease the host waits at least LeaseTTL/2.
	// Default 500 ms.
	Settle time.Duration
	// RankStep is how much longer each next host in the ranking waits before it takes a free pool. Default 150 ms.
	RankStep time.Duration
	// MaxUnconfirmed is how long an owner acts without a confirmed renewal or without a read that confirms the pool. Default
	// 10 s.
	MaxUnconfirmed time.Duration
	// Pause is the shortest suspension of this process after which an owner confirms its lease before it acts. Default 1 s.
	Pause time.Duration
	// CallTimeout limits each call to the store except watches. Default 2.5 s.
	CallTimeout time.Duration
	// WatchWait is how long one watch call waits for events. Default 10 s.
	WatchWait time.Duration
	// QuietCheck is how long the watch may return no events before a stale read checks for missed changes. Default 2 s.
	QuietCheck time.Duration
	// AskPeer asks a peer to call TakeFrom and returns its error. An owner that the store does not answer can thus hand
	// over its pools before its lease expires. If AskPeer is nil, the owner waits for the expiry.
	AskPeer func(ctx context.Context, peer *pb.JobMember, pool string, fence uint64) error
	// HandOverAfter is how long the store must have been silent before pools are handed over. Default 1.5 s.
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

// Manager maintains this host's membership and the pools that it owns. Its methods are safe for concurrent use.
type Manager struct {
	kv     store.Transactor
	self   Self
	events Events
	clock  func() time.Time
	log    *slog.Logger
	opts   Options

	confirmation *ownership.Confirmation
	known        atomic.Pointer[snapshot]
	lastAnswer   atomic.Int64 // Unix nanoseconds of the store's last successful answer
	lastEvents   atomic.Int64 // Unix nanoseconds of the watch's last events

	// inbox holds the functions that the elector is to run.
	inbox *ring.Ring[func(context.Context)]
	// renewNow and registerNow wake the lease keeper.
	renewNow    chan struct{}
	registerNow chan struct{}
	// storeRecovered wakes a watcher that waits after a failure.
	storeRecovered chan struct{}
	// registering is set while the member key is being written.
	registering atomic.Bool
	stopped     chan struct{} // closed by Leave: the lease keeper ends
	stop        sync.Once
	// runCtx ends with Run.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// calls are the store calls in flight that none of the goroutines of Run waits for.
	calls sync.WaitGroup

	elector elector
}

// New returns a Manager that does nothing until Run is called. clock must be monotonic and count time in suspension; see
// package boottime.
func New(kv store.Transactor, self Self, ev Events, clock func() time.Time, log *slog.Logger, opts Options) *Manager {
	opts = opts.withDefaults()
	m := &Manager{
		kv: kv, self: self, events: ev, clock: clock, log: log, opts: opts,
		confirmation: ownership.NewConfirmation(
			ownership.Limits{MaxUnconfirmed: opts.MaxUnconfirmed, Pause: opts.Pause}, clock()),
		inbox:          ring.New[func(context.Context)]("membership", inboxSize),
		renewNow:       make(chan struct{}, 1),
		registerNow:    make(chan struct{}, 1),
		storeRecovered: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		elector:        newElector(),
	}
	m.runCtx, m.cancelRun = context.WithCancel(context.Background())
	m.known.Store(&snapshot{})
	return m
}

// Run maintains the membership until ctx ends and then returns nil. It must be called only once.
func (m *Manager) Run(ctx context.Context) error {
	defer m.calls.Wait()
	defer m.cancelRun()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){m.keepLease, m.watch, m.checkWatch, m.tick, m.handOverPools, m.elect} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// snapshot is the immutable state that other goroutines read.
type snapshot struct {
	owners  map[string]holding
	members []*pb.JobMember
	// held are the fencing tokens of this host's pools.
	held map[string]uint64
}

// holding is an owner record with its fencing token.
type holding struct {
	rec   *pb.OwnerRecord
	fence uint64
}

// SetPools replaces the names of the pools to be owned. FleetPool has to be among them to be owned.
func (m *Manager) SetPools(pools []string) {
	pools = slices.Clone(pools)
	m.post(m.runCtx, func(context.Context) { m.elector.setPools(pools, m.clock()) })
}

// Owner returns the owner of the pool and its fencing token, as far as this host knows.
func (m *Manager) Owner(pool string) (rec *pb.OwnerRecord, fence uint64, ok bool) {
	h, ok := m.known.Load().owners[pool]
	return h.rec, h.fence, ok
}

// Members returns the registered hosts, as far as this host knows, sorted by name. The caller must not modify them.
func (m *Manager) Members() []*pb.JobMember { return m.known.Load().members }

// Confirmed returns the fencing token of the pool and reports whether this host still holds it, as far as it can know.
// Call it right before acting. Workers and the store reject an older fencing token, so a wrong true is safe.
func (m *Manager) Confirmed(pool string) (fence uint64, ok bool) {
	fence, ok = m.known.Load().held[pool]
	return fence, ok && m.confirmation.PoolValid(pool, fence, m.clock())
}

// ConfirmedFrom returns the start of the last call to the store that found the fencing token in the pool's key, or the
// Unix epoch. Another host can only have acquired the pool later. A renewal of the lease would not show this: the key is
// also replaced while the lease lasts, by a host that takes the owner to be gone or at the owner's own request.
func (m *Manager) ConfirmedFrom(pool string, fence uint64) time.Time {
	return m.confirmation.PoolConfirmedFrom(pool, fence)
}

// Replaced gives up the pool at once. It is called when a worker or the store rejected the fencing token.
func (m *Manager) Replaced(pool string, fence uint64) {
	m.post(m.runCtx, func(context.Context) { m.reject(pool, fence) })
}

// OwnerGone reports that the owner with the fencing token is proved gone although its lease may not have expired: its
// address refuses connections, so nothing listens there. Silence is no proof. The pool is then acquired as if it were
// free.
func (m *Manager) OwnerGone(pool string, fence uint64) {
	m.post(m.runCtx, func(context.Context) {
		if s, ok := m.elector.view.owners[pool]; ok && s.version == fence && !m.hasKey(s) {
			s.markGone(ownerRefused, m.clock())
		}
	})
}

// storeAge returns the time since the store last answered, or one hour if it never did.
func (m *Manager) storeAge() time.Duration {
	answered := m.lastAnswer.Load()
	if answered == 0 {
		return time.Hour
	}
	return m.clock().Sub(time.Unix(0, answered))
}

// LeaseSlack returns the time left until this host may no longer act on one of its pools, unless the store confirms its
// lease and the pool before. It is negative afterwards.
func (m *Manager) LeaseSlack() time.Duration {
	now := m.clock()
	slack := m.confirmation.Remaining(now)
	for pool, fence := range m.known.Load().held {
		slack = min(slack, m.confirmation.PoolRemaining(pool, fence, now))
	}
	return slack
}

// LastStoreAnswer returns the time of the last successful call to the store, or zero if there was none.
func (m *Manager) LastStoreAnswer() time.Time {
	n := m.lastAnswer.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (m *Manager) recordAnswer() { m.lastAnswer.Store(m.clock().UnixNano()) }

// post queues a function for the elector. It waits while the inbox is full, which lasts as long as an event callback.
func (m *Manager) post(ctx context.Context, do func(context.Context)) {
	_ = m.inbox.Put(ctx, do) // an ended ctx means that Run ends
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
