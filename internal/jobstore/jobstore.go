// Package jobstore keeps the durable records of jobs in the shared store.
//
// Entry hosts write jobs and cancellations; those that arrive within a few milliseconds share a transaction. A pool's
// owner loads and follows them, and records progress on the condition that it still owns the pool.
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

// Error kinds. Test for them with Kind.Has(err).
var (
	// NotAccepted means that the job is not stored and never will be by this call.
	NotAccepted = errs.Class("jobstore: not stored; hand the job in again later")
	// Undecided means that the job or cancellation may be stored, now or later.
	Undecided = errs.Class("jobstore: may be stored or not; repeat the call with the same id")
	// Fenced means that another owner has the pool.
	Fenced = errs.Class("jobstore: another owner has the pool; drop it")
	// Unreadable means that there is a record whose content is not known.
	Unreadable = errs.Class("jobstore: the record cannot be read; take its content for unknown")
)

// queueSize bounds the arrivals that wait for a transaction.
const queueSize = 4096

// readLatencies is how long the first call of a read may take, in terms of health.hedgeAfter.
const readLatencies = 2

// Options tune a Store. Zero values mean the defaults.
type Options struct {
	// GroupWindow is how long an arrival waits for others to share a transaction while one is in flight. Default 3 ms.
	GroupWindow time.Duration
	// InFlight bounds the group commits at a time. Default 8.
	InFlight int
	// CallTimeout bounds each call on the store, besides watches. Default 2 s.
	CallTimeout time.Duration
	// WatchWait is how long a watch waits. Default 10 s.
	WatchWait time.Duration
	// WatchSpacing is the least time from one watch of Follow that told something to the next: fewer calls where jobs
	// reach the owner on another way too. Default 0.
	WatchSpacing time.Duration
	// QuietCheck is how long a watch may tell nothing before a cheap read looks for changes. Default 5 s.
	QuietCheck time.Duration
	// RememberUndecided is how long an id whose write was not answered is never told to be NotAccepted. Default 5 min.
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

// Store reads and writes the records. It is safe for concurrent use.
type Store struct {
	kv    store.Transactor
	clock func() time.Time
	log   *slog.Logger
	opts  Options

	arrivals  *ring.Ring[*arrival]
	undecided *undecidedIDs
	closed    chan struct{} // closed when Run has ended
	health    health
	progress  progressKeys
}

// New returns a Store; Accept and Cancel need its Run. clock must be steady.
func New(kv store.Transactor, clock func() time.Time, log *slog.Logger, opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		kv: kv, clock: clock, log: log, opts: opts,
		arrivals:  ring.New[*arrival]("job arrivals", queueSize),
		undecided: newUndecidedIDs(opts.RememberUndecided),
		closed:    make(chan struct{}),
		progress:  progressKeys{pools: make(map[string]*poolKeys)},
	}
}

// call returns a context with the deadline of one call on the store.
func (s *Store) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.opts.CallTimeout)
}

// get reads a key. Since an answer may be lost without a trace, the first of two calls has less time.
func (s *Store) get(ctx context.Context, key string) (store.Item, error) {
	first, cancel := context.WithTimeout(ctx, readLatencies*s.health.hedgeAfter())
	item, err := s.kv.Get(first, key)
	silent := first.Err() != nil
	cancel()
	if err == nil || !silent || ctx.Err() != nil {
		return item, err
	}
	call, cancel := s.call(ctx)
	defer cancel()
	return s.kv.Get(call, key)
}
