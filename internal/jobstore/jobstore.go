// Package jobstore keeps the durable records of jobs in the shared store.
//
// Entry hosts write jobs and cancellations; writes that arrive within a few milliseconds share a transaction (group
// commit). A pool's owner loads and follows them, and records progress on the condition that it still owns the pool.
package jobstore

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/store"
)

// Error classes. Test for them with Class.Has(err).
var (
	// NotAccepted means that the job is not stored and never will be by this call.
	NotAccepted = errs.Class("jobstore: job not stored; submit it again later")
	// Undecided means that the job or cancellation may be stored, now or later.
	Undecided = errs.Class("jobstore: may or may not be stored; retry with the same id")
	// OtherWorkspace means that the id belongs to a job of another workspace. Nothing was written.
	OtherWorkspace = errs.Class("jobstore: id belongs to a job of another workspace; use another id")
	// StoredElsewhere means that the job is stored under another pool than its record names, by this call or an earlier one.
	StoredElsewhere = errs.Class("jobstore: job is stored under another pool; leave it to that pool's owner")
	// Fenced means that another owner has the pool.
	Fenced = errs.Class("jobstore: pool has another owner; release it")
	// Unreadable means that a record exists but cannot be decoded.
	Unreadable = errs.Class("jobstore: record cannot be decoded; treat its content as unknown")
)

// writeRingSize bounds the queued writes.
const writeRingSize = 4096

// readHedgeFactor is the timeout of the first call of a read as a multiple of health.hedgeDelay.
const readHedgeFactor = 2

// Options configure a Store. Zero values mean the defaults.
type Options struct {
	// GroupWindow is how long a write waits for others to share its transaction while a commit is in flight. Default 3 ms.
	GroupWindow time.Duration
	// InFlight bounds the concurrent group commits. Default 8.
	InFlight int
	// CallTimeout bounds each call to the store except watches. Default 2 s.
	CallTimeout time.Duration
	// WatchWait is how long a watch waits for changes. Default 10 s.
	WatchWait time.Duration
	// WatchSpacing is the least time between a watch of Follow that returned changes and the next one. It saves calls where
	// jobs also reach the owner in another way. Default 0.
	WatchSpacing time.Duration
	// QuietCheck is how long a watch may return no changes before a cheap read checks for missed ones. Default 5 s.
	QuietCheck time.Duration
	// RememberUndecided is how long after an unanswered write Accept does not return NotAccepted for its id. Default 5 min.
	RememberUndecided time.Duration
}

func (o Options) withDefaults() Options {
	o.GroupWindow = cmp.Or(o.GroupWindow, 3*time.Millisecond)
	o.InFlight = cmp.Or(o.InFlight, 8)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2*time.Second)
	o.WatchWait = cmp.Or(o.WatchWait, 10*time.Second)
	o.QuietCheck = cmp.Or(o.QuietCheck, 5*time.Second)
	o.RememberUndecided = cmp.Or(o.RememberUndecided, 5*time.Minute)
	return o
}

// Store reads and writes the records of jobs. It is safe for concurrent use.
type Store struct {
	kv    store.Transactor
	clock func() time.Time
	log   *slog.Logger
	opts  Options

	writes    *ring.Ring[*pendingWrite]
	undecided *undecidedIDs
	closed    chan struct{} // closed when Run has ended
	health    health
	progress  progressKeys
}

// New returns a Store. Accept and Cancel work only while Run runs. clock must be monotonic.
func New(kv store.Transactor, clock func() time.Time, log *slog.Logger, opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		kv: kv, clock: clock, log: log, opts: opts,
		writes:    ring.New[*pendingWrite]("job arrivals", writeRingSize),
		undecided: newUndecidedIDs(opts.RememberUndecided),
		closed:    make(chan struct{}),
		progress:  progressKeys{pools: make(map[string]*poolKeys)},
	}
}

// call returns a context with the deadline of one call to the store.
func (s *Store) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.opts.CallTimeout)
}

// get reads a key. An answer may be lost without an error, so the first call has a shorter deadline, and a second one is
// made if it times out.
func (s *Store) get(ctx context.Context, key string) (store.Item, error) {
	first, cancel := context.WithTimeout(ctx, readHedgeFactor*s.health.hedgeDelay())
	item, err := s.kv.Get(first, key)
	timedOut := first.Err() != nil
	cancel()
	if err == nil || !timedOut || ctx.Err() != nil {
		return item, err
	}
	call, cancel := s.call(ctx)
	defer cancel()
	return s.kv.Get(call, key)
}
