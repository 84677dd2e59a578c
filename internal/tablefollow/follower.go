// Package tablefollow follows the table of queues that the store holds under one key.
//
// A Follower receives new versions from the store and from peers, whichever comes first. It never returns to an older
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
	// watchWait is how long one watch call waits for changes. A dead connection is detected only when the call times
	// out; until then, changes arrive only from peers or by stale reads.
	watchWait = 4 * time.Second
	// watchSlack is added to watchWait to get the timeout of a watch.
	watchSlack = 500 * time.Millisecond
	// readTimeout is the initial timeout of a read. It doubles, up to maxReadTimeout, when a read exceeds it, since a large
	// table takes longer on a slow link.
	readTimeout    = time.Second
	maxReadTimeout = 8 * time.Second

	// pollInterval is the minimum time between stale reads, which are cheap and find changes that a stalled watch misses.
	// A large value is read less often: pollBytesPerSecond limits the bytes read on average.
	pollInterval       = 2 * time.Second
	pollBytesPerSecond = 32 << 10

	retryBase = 50 * time.Millisecond
	retryMax  = time.Second

	// outageLogDelay is how long the store must be silent before that is logged.
	outageLogDelay = watchWait + 2*time.Second

	// currentLimit is the maximum age of the last answer of the store with which the table counts as current.
	currentLimit = 2*watchWait + watchSlack
)

// Follower follows the key. It is safe for concurrent use.
type Follower struct {
	kv    store.Transactor
	key   string
	parse func([]byte) (*queue.Table, error)
	clock func() time.Time
	log   *slog.Logger

	current atomic.Pointer[version]
	// lastAnswer is the start of the last successful read or the end of the last successful watch call, whichever finished
	// last. Stale reads do not count.
	lastAnswer atomic.Pointer[time.Time]
	// confirmedAt is a time at which the table was the newest one, as far as the store and peers have shown. It is nil before the
	// first confirmation and changes while mu is held.
	confirmedAt atomic.Pointer[time.Time]
	// processed is the newest revision of the key that was processed, so that none is parsed twice.
	processed atomic.Uint64

	// extraTimeout is added to the timeouts of reads and watches, in ns.
	extraTimeout atomic.Int64
	// reading is a semaphore for one read.
	reading chan struct{}

	// outageLogged means that the outage of the store has been logged. Only the goroutine of Run accesses it.
	outageLogged bool

	mu      sync.Mutex // orders changes of current and confirmedAt
	changed chan struct{}
}

// version is a table with the bytes that it was parsed from.
type version struct {
	table    *queue.Table
	raw      []byte
	fromPeer bool
}

// New returns a Follower of the key. parse decodes the value into a table; its error describes what is wrong with the value.
// clock must be monotonic and count time in suspension; see package boottime.
func New(kv store.Transactor, key string, parse func([]byte) (*queue.Table, error), clock func() time.Time, log *slog.Logger,
) *Follower {
	return &Follower{kv: kv, key: key, parse: parse, clock: clock, log: log, changed: make(chan struct{}), reading: make(chan struct{}, 1)}
}

// Table returns the newest table, or nil if there is none yet.
func (f *Follower) Table() *queue.Table {
	if v := f.current.Load(); v != nil {
		return v.table
	}
	return nil
}

// Raw returns the newest version and the bytes that are offered to peers, or 0 and nil if there is none yet.
func (f *Follower) Raw() (int64, []byte) {
	if v := f.current.Load(); v != nil {
		return v.table.Version, v.raw
	}
	return 0, nil
}

// Changed returns a channel that is closed when a newer table comes into force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Offer puts a peer's version in force if it is newer and returns the version that is in force then. Without raw it changes
// nothing.
func (f *Follower) Offer(ctx context.Context, offered int64, raw []byte) int64 {
	have, _ := f.Raw()
	if offered <= have || len(raw) == 0 {
		return have
	}
	f.adopt(ctx, raw, true)
	have, _ = f.Raw()
	return have
}

// StoreAge returns the time since the store last answered a watch or a read that is not stale, or the maximum duration if
// it never did.
func (f *Follower) StoreAge() time.Duration {
	answered := f.lastAnswer.Load()
	if answered == nil {
		return 1<<63 - 1
	}
	return f.clock().Sub(*answered)
}

// Current reports whether the store confirmed the table within currentLimit. What the table lacks was not configured at
// that time.
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
			f.logOutage(ctx, err)
			if backoff.Sleep(ctx) != nil {
				return
			}
		}
	}
}

// follow reads the value, then watches for its changes until an error occurs. It calls answered for each answer of the
// store.
func (f *Follower) follow(ctx context.Context, answered func()) error {
	after, err := f.read(ctx)
	for wait := watchWait; err == nil; {
		answered()
		f.logRecovery(ctx)
		after, wait, err = f.watch(ctx, after, wait)
	}
	return err
}

// logOutage logs once that the store does not answer, after outageLogDelay.
func (f *Follower) logOutage(ctx context.Context, err error) {
	if f.outageLogged || f.StoreAge() < outageLogDelay {
		return
	}
	f.outageLogged = true
	events.Emit(ctx, f.log, events.StoreUnreachable, "err", err)
}

// logRecovery logs that the store answers again if its outage has been logged.
func (f *Follower) logRecovery(ctx context.Context) {
	if f.outageLogged {
		events.Emit(ctx, f.log, events.StoreBack)
	}
	f.outageLogged = false
}

func (f *Follower) read(ctx context.Context) (asOf uint64, err error) {
	started := f.clock()
	items, asOf, err := f.get(ctx, false)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		f.process(ctx, item)
	}
	f.lastAnswer.Store(&started)
	f.confirm(started)
	return asOf, nil
}

// get reads the value within the current timeout, one read at a time: concurrent reads would compete for the bandwidth of
// a slow link.
func (f *Follower) get(ctx context.Context, stale bool) ([]store.Item, uint64, error) {
	select {
	case f.reading <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	defer func() { <-f.reading }()
	limit := readTimeout + time.Duration(f.extraTimeout.Load())
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	items, asOf, err := f.kv.Range(ctx, f.key, stale)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.extraTimeout.Store(int64(min(2*limit, maxReadTimeout) - readTimeout))
	}
	return items, asOf, err
}

// watch makes one watch call, and returns how long the next one waits.
func (f *Follower) watch(ctx context.Context, after uint64, wait time.Duration) (asOf uint64, nextWait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack+time.Duration(f.extraTimeout.Load()))
	defer cancel()
	started := f.clock()
	changes, asOf, err := f.kv.Watch(ctx, f.key, after, wait)
	if err != nil {
		return 0, 0, err
	}
	for _, change := range changes {
		if !change.Deleted {
			f.process(ctx, change.Item)
		}
	}
	answered := f.clock()
	f.lastAnswer.Store(&answered)
	return asOf, f.confirmByWatch(started, answered, wait, len(changes) > 0), nil
}

// poll reads the value periodically, independently of the watch.
func (f *Follower) poll(ctx context.Context) {
	for wait.For(ctx, f.pollDelay()) == nil {
		f.pollOnce(ctx)
	}
}

func (f *Follower) pollDelay() time.Duration {
	_, raw := f.Raw()
	return max(pollInterval, time.Second*time.Duration(len(raw))/pollBytesPerSecond)
}

func (f *Follower) pollOnce(ctx context.Context) {
	items, _, err := f.get(ctx, true)
	if err != nil {
		return
	}
	for _, item := range items {
		f.process(ctx, item)
	}
}

func (f *Follower) process(ctx context.Context, item store.Item) {
	if item.Key != f.key || item.Version <= f.processed.Load() {
		return
	}
	f.adopt(ctx, item.Data, false)
	f.processed.Store(item.Version)
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
	if v := f.current.Load(); v != nil && v.table.Version >= table.Version {
		return
	}
	f.current.Store(&version{table: table, raw: raw, fromPeer: fromPeer})
	close(f.changed)
	f.changed = make(chan struct{})
	events.Emit(ctx, f.log, events.ConfigInForce, "version", table.Version, "source", lo.Ternary(fromPeer, "peer", "store"))
}
