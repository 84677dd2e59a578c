// Package tablefollow keeps the table of queues that the store holds under one key.
//
// A Follower learns of new versions from the store and from peers, whichever tells first. It never goes back to an older
// version.
package tablefollow

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// watchWait is how long one watch waits. A silent connection is noticed when it is over. Until then peers are the only
	// way to learn of a change.
	watchWait = 4 * time.Second
	// watchSlack is what an answer may take beyond watchWait.
	watchSlack = 500 * time.Millisecond
	// readTimeout bounds one read at first. It doubles up to longestRead when it was too short: a large table takes its time
	// on a narrow link.
	readTimeout = time.Second
	longestRead = 8 * time.Second

	// pollEvery is the time between cheap reads, which see what a deaf watch misses. A larger value is read less often:
	// pollBytesPerSecond bounds what they bring.
	pollEvery          = 2 * time.Second
	pollBytesPerSecond = 32 << 10

	retryBase = 50 * time.Millisecond
	retryMax  = time.Second

	// tellAfter is how long the store must be silent until operators are told.
	tellAfter = watchWait + 2*time.Second

	// currentLimit is the age of the last word from the store up to which the table counts as current.
	currentLimit = 2*watchWait + watchSlack
)

// Follower follows the key. All methods may be called concurrently.
type Follower struct {
	kv    store.Transactor
	key   string
	parse func([]byte) (*queue.Table, error)
	clock func() time.Time
	log   *slog.Logger

	present atomic.Pointer[version]
	heard   atomic.Pointer[time.Time]
	// taken is the newest revision of the key that was looked at, so that none is parsed twice.
	taken atomic.Uint64

	// longer is what reads get beyond readTimeout, in ns.
	longer atomic.Int64
	// reading has room for one read.
	reading chan struct{}

	// told means that operators know of a silent store. It belongs to Run.
	told bool

	mu      sync.Mutex // orders changes of present
	changed chan struct{}
}

// version is a table with the bytes that it was parsed from.
type version struct {
	table    *queue.Table
	raw      []byte
	fromPeer bool
}

// New returns a follower of the key. parse turns the value into a table; its error says what is wrong with the value.
// clock must be steady and count suspension; see package boottime.
func New(kv store.Transactor, key string, parse func([]byte) (*queue.Table, error), clock func() time.Time, log *slog.Logger,
) *Follower {
	return &Follower{kv: kv, key: key, parse: parse, clock: clock, log: log, changed: make(chan struct{}), reading: make(chan struct{}, 1)}
}

// Table returns the newest table, or nil if there is none yet.
func (f *Follower) Table() *queue.Table {
	if v := f.present.Load(); v != nil {
		return v.table
	}
	return nil
}

// Raw returns the newest version and the bytes that peers are offered; 0 and nil if there is none yet.
func (f *Follower) Raw() (int64, []byte) {
	if v := f.present.Load(); v != nil {
		return v.table.Version, v.raw
	}
	return 0, nil
}

// Changed returns a channel that is closed when a newer table is in force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Offer takes a peer's version over if it is newer, and returns the version that is in force then. Without raw it takes
// nothing over.
func (f *Follower) Offer(ctx context.Context, offered int64, raw []byte) int64 {
	have, _ := f.Raw()
	if offered <= have || len(raw) == 0 {
		return have
	}
	f.adopt(ctx, raw, true)
	have, _ = f.Raw()
	return have
}

// StoreAge is the time since the store last answered; it is very long if it never did.
func (f *Follower) StoreAge() time.Duration {
	heard := f.heard.Load()
	if heard == nil {
		return 1<<63 - 1
	}
	return f.clock().Sub(*heard)
}

// Current reports whether the store confirmed the table lately: what it lacks was not configured then.
func (f *Follower) Current() bool { return f.StoreAge() < currentLimit }

// Run follows the key until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Go(func() { f.poll(ctx) })
	defer polling.Wait()
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		err := f.follow(ctx, backoff.Reset)
		if ctx.Err() != nil {
			return
		}
		if !store.Compacted.Has(err) {
			f.silent(ctx, err)
			if backoff.Sleep(ctx) != nil {
				return
			}
		}
	}
}

// follow reads the value and then its changes, until an error. answered is called for each answer of the store.
func (f *Follower) follow(ctx context.Context, answered func()) error {
	after, err := f.read(ctx)
	for err == nil {
		answered()
		f.answers(ctx)
		after, err = f.watch(ctx, after)
	}
	return err
}

// silent tells operators once that the store does not answer, if that lasts.
func (f *Follower) silent(ctx context.Context, err error) {
	if f.told || f.StoreAge() < tellAfter {
		return
	}
	f.told = true
	events.Emit(ctx, f.log, events.StoreUnreachable, "err", err)
}

// answers tells operators that the store is back, if they know that it was away.
func (f *Follower) answers(ctx context.Context) {
	if f.told {
		events.Emit(ctx, f.log, events.StoreBack)
	}
	f.told = false
}

func (f *Follower) read(ctx context.Context) (asOf uint64, err error) {
	asked := f.clock()
	items, asOf, err := f.get(ctx, false)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		f.take(ctx, item)
	}
	f.heard.Store(&asked)
	return asOf, nil
}

// get reads the value within the time that it took lately. Two reads at once would take each other's room on a narrow link.
func (f *Follower) get(ctx context.Context, stale bool) ([]store.Item, uint64, error) {
	select {
	case f.reading <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	defer func() { <-f.reading }()
	limit := readTimeout + time.Duration(f.longer.Load())
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	items, asOf, err := f.kv.Range(ctx, f.key, stale)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.longer.Store(int64(min(2*limit, longestRead) - readTimeout))
	}
	return items, asOf, err
}

func (f *Follower) watch(ctx context.Context, after uint64) (asOf uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack+time.Duration(f.longer.Load()))
	defer cancel()
	changes, asOf, err := f.kv.Watch(ctx, f.key, after, watchWait)
	if err != nil {
		return 0, err
	}
	for _, change := range changes {
		if !change.Deleted {
			f.take(ctx, change.Item)
		}
	}
	answered := f.clock()
	f.heard.Store(&answered)
	return asOf, nil
}

// poll reads the value now and then, whatever the watch says.
func (f *Follower) poll(ctx context.Context) {
	for wait.For(ctx, f.pollPause()) == nil {
		f.pollOnce(ctx)
	}
}

func (f *Follower) pollPause() time.Duration {
	_, raw := f.Raw()
	return max(pollEvery, time.Second*time.Duration(len(raw))/pollBytesPerSecond)
}

func (f *Follower) pollOnce(ctx context.Context) {
	items, _, err := f.get(ctx, true)
	if err != nil {
		return
	}
	for _, item := range items {
		f.take(ctx, item)
	}
}

func (f *Follower) take(ctx context.Context, item store.Item) {
	if item.Key != f.key || item.Version <= f.taken.Load() {
		return
	}
	f.adopt(ctx, item.Data, false)
	f.taken.Store(item.Version)
}

// adopt puts the value in force if it is a newer version.
func (f *Follower) adopt(ctx context.Context, raw []byte, fromPeer bool) {
	table, err := f.parse(raw)
	if err != nil {
		events.Emit(ctx, f.log, events.ConfigRefused, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.present.Load(); v != nil && v.table.Version >= table.Version {
		return
	}
	f.present.Store(&version{table: table, raw: raw, fromPeer: fromPeer})
	close(f.changed)
	f.changed = make(chan struct{})
	events.Emit(ctx, f.log, events.ConfigInForce, "version", table.Version, "source", lo.Ternary(fromPeer, "peer", "store"))
}
