// Package workerlist follows the registry of workers in the store.
//
// A watch brings the changes. Workers write their entries often, so a watch that shows nothing for a while has probably
// stalled. The registry is then read while the watch goes on, and the watch starts again if the reading shows changes that
// it has missed. Readings are never stale: a stale one could name workers that have left, and lack those that have come.
package workerlist

import (
	"context"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// watchWait is the longest time that one watch waits for a change.
	watchWait = 5 * time.Second
	// watchDelay is the delay between two watches. It bounds the calls to the store, since workers write often and each
	// watch returns at the first change.
	watchDelay = 150 * time.Millisecond
	// removalGrace is how long a worker stays in the list, marked as unlisted, after its entry was removed. Entries that
	// expire while the store is down, or while the worker cannot reach it, are restored later.
	removalGrace = 3 * time.Second
	// The registry is read beside the watch after a time without an event: quietFactor times the mean time between two
	// answers, within these limits. It doubles with each reading that shows nothing new.
	quietFactor   = 5
	minQuietLimit = 800 * time.Millisecond
	maxQuietLimit = 4 * time.Second
	// intervalWeight is the weight of the newest interval in the mean.
	intervalWeight = 0.3
	// readTimeout limits one reading of the registry.
	readTimeout = 3 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 250 * time.Millisecond
)

// Parse parses an entry of the registry and returns the worker and its pool.
type Parse func(key string, data []byte) (scheduler.Worker, string, error)

// List follows the registry. It is not safe for concurrent use; Run calls onChange from its own goroutine.
type List struct {
	kv       store.Transactor
	prefix   string
	parse    Parse
	clock    func() time.Time
	log      *slog.Logger
	onChange func(pools map[string][]scheduler.Worker)
	// entries is keyed by store key.
	entries map[string]entry
	// invalid holds the versions of entries that cannot be parsed, by key, so that each key is logged once until it is valid.
	invalid map[string]uint64
	// asOf is the store revision up to which the entries are current, or 0 before the first read.
	asOf uint64
	// lastEvent is when the watch last returned an event, or when it began.
	lastEvent time.Time
	// meanInterval is the mean time between two answers with events, and quiet the present limit of the time without one.
	meanInterval time.Duration
	quiet        time.Duration
	// lostAt is the time of the last event before the watch was lost; zero while it works.
	lostAt time.Time
}

// New returns a List that calls onChange with all workers by pool whenever a change matters to the scheduler.
func New(kv store.Transactor, prefix string, parse Parse, clock func() time.Time, log *slog.Logger,
	onChange func(pools map[string][]scheduler.Worker),
) *List {
	return &List{
		kv: kv, prefix: prefix, parse: parse, clock: clock, log: log, onChange: onChange,
		entries: make(map[string]entry), invalid: make(map[string]uint64),
		meanInterval: maxQuietLimit / quietFactor, quiet: maxQuietLimit,
	}
}

// Run follows the registry until ctx ends.
func (l *List) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.syncOnce(ctx); err != nil {
			l.logLost(ctx, err.Error())
			_ = wait.For(ctx, retryDelay)
			continue
		}
		_ = wait.For(ctx, watchDelay)
	}
}

// syncOnce reads the whole registry if there is no revision to watch it from, and otherwise watches it once.
func (l *List) syncOnce(ctx context.Context) error {
	if l.asOf == 0 {
		l.lastEvent = l.clock()
		_, err := l.read(ctx)
		return err
	}
	return l.watch(ctx)
}
