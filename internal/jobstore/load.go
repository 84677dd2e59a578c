package jobstore

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

// watchGrace is how much longer than its wait a watch may take.
const watchGrace = 2 * time.Second

// Snapshot holds all records of a pool's jobs.
type Snapshot struct {
	Jobs     []*pb.JobRecord
	Progress []*pb.JobProgress
	// Cancelled are the cancellations; some may have no job.
	Cancelled []*pb.JobCancel
}

// Change is a submitted job or a cancellation; the other one is nil.
type Change struct {
	Job    *pb.JobRecord
	Cancel *pb.JobCancel
}

// Load reads a pool's records, and the revision at which its jobs and cancellations were read, from which Follow delivers
// later ones. It also saves the versions of the progress keys, which Record needs. An owner calls it after it has
// acquired the pool: from then on no other owner's writes succeed. Errors: store.Unavailable.
func (s *Store) Load(ctx context.Context, pool string) (Snapshot, uint64, error) {
	var snap Snapshot
	items, asOf, err := s.readRange(ctx, jobkeys.IncomingPrefix(pool), false)
	if err != nil {
		return snap, 0, err
	}
	for _, i := range items {
		change, ok := s.parse(ctx, pool, i)
		switch {
		case !ok:
		case change.Job != nil:
			snap.Jobs = append(snap.Jobs, change.Job)
		default:
			snap.Cancelled = append(snap.Cancelled, change.Cancel)
		}
	}
	recorded, _, err := s.readRange(ctx, jobkeys.ProgressPrefix(pool), false)
	if err != nil {
		return snap, 0, err
	}
	s.progress.reset(pool, recorded)
	for _, i := range recorded {
		p := &pb.JobProgress{}
		if err := proto.Unmarshal(i.Data, p); err != nil {
			s.logSkipped(ctx, i, err)
			continue
		}
		snap.Progress = append(snap.Progress, p)
	}
	return snap, asOf, nil
}

// readRange reads the items below a prefix. Its timeout is that of several calls, as a large range takes several pages.
func (s *Store) readRange(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	call, cancel := context.WithTimeout(ctx, rangeTimeoutFactor*s.opts.CallTimeout)
	defer cancel()
	return s.kv.Range(call, prefix, stale)
}

// rangeTimeoutFactor is the timeout of a Range as a multiple of CallTimeout.
const rangeTimeoutFactor = 3

// errOtherJob means that the id in a record differs from the one in its key.
var errOtherJob = errors.New("record belongs to another job")

// logSkipped logs a record that cannot be decoded.
func (s *Store) logSkipped(ctx context.Context, i store.Item, err error) {
	events.Log(ctx, s.log, events.RecordSkipped, slog.String("key", i.Key), slog.Uint64("version", i.Version),
		slog.String("err", err.Error()))
}

// parse decodes an item below IncomingPrefix(pool). It returns false for items to skip.
func (s *Store) parse(ctx context.Context, pool string, i store.Item) (Change, bool) {
	id, cancelled, ok := jobkeys.ParseIncoming(pool, i.Key)
	if !ok {
		return Change{}, false
	}
	if cancelled {
		return Change{Cancel: s.decodeCancel(ctx, id, i)}, true
	}
	job := &pb.JobRecord{}
	err := proto.Unmarshal(i.Data, job)
	if err == nil && job.GetId() != id {
		err = errOtherJob
	}
	if err != nil {
		s.logSkipped(ctx, i, err)
		return Change{}, false
	}
	return Change{Job: job}, true
}

// decodeCancel decodes the cancellation of a job. One that cannot be decoded counts as that of a caller without a workspace.
func (s *Store) decodeCancel(ctx context.Context, id string, i store.Item) *pb.JobCancel {
	c := &pb.JobCancel{}
	if err := proto.Unmarshal(i.Data, c); err != nil {
		s.logSkipped(ctx, i, err)
		c = &pb.JobCancel{}
	}
	c.Id = id
	return c
}

// Follow calls onChange for jobs and cancellations after revision asOf until ctx ends, and returns ctx's error. A change may
// be delivered more than once.
func (s *Store) Follow(ctx context.Context, pool string, asOf uint64, onChange func(Change)) error {
	f := follower{
		store: s, pool: pool, prefix: jobkeys.IncomingPrefix(pool), onChange: onChange,
		asOf: asOf, scannedTo: asOf, lastActivity: s.clock(),
	}
	backoff := store.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
	for ctx.Err() == nil {
		err := f.watchOnce(ctx)
		switch {
		case err == nil:
			backoff.Reset()
		case store.Compacted.Has(err):
			err = f.scan(ctx, false)
		}
		if err != nil {
			_ = backoff.Sleep(ctx) // the loop checks ctx
		}
	}
	return ctx.Err()
}

// follower is the state of one call of Follow.
type follower struct {
	store    *Store
	pool     string
	prefix   string
	asOf     uint64
	onChange func(Change)
	// scannedTo is the revision up to which a read has returned every change.
	scannedTo uint64
	// lastActivity is when a watch last returned changes or a read last checked for missed ones.
	lastActivity time.Time
}

// watchOnce makes one watch call. A watch without changes for QuietCheck may have stalled, so a cheap stale read
// checks for missed changes.
func (f *follower) watchOnce(ctx context.Context) error {
	s := f.store
	maxWait := min(s.opts.WatchWait, s.opts.QuietCheck)
	call, cancel := context.WithTimeout(ctx, maxWait+watchGrace)
	defer cancel()
	events, asOf, err := s.kv.Watch(call, f.prefix, f.asOf, maxWait)
	if err != nil {
		return err
	}
	for _, e := range events {
		if !e.Deleted {
			f.deliver(ctx, e.Item)
		}
	}
	f.asOf = asOf
	if len(events) > 0 {
		f.lastActivity = s.clock()
		return wait.For(ctx, s.opts.WatchSpacing)
	}
	now := s.clock()
	if now.Sub(f.lastActivity) < s.opts.QuietCheck {
		return nil
	}
	f.lastActivity = now
	return f.scan(ctx, true)
}

// scan reads the range and delivers the items newer than scannedTo. A read that is not stale also sets asOf, the revision
// from which the next watch starts.
func (f *follower) scan(ctx context.Context, stale bool) error {
	items, asOf, err := f.store.readRange(ctx, f.prefix, stale)
	if err != nil {
		return err
	}
	for _, i := range items {
		if i.Version > f.scannedTo {
			f.deliver(ctx, i)
		}
	}
	f.scannedTo = max(f.scannedTo, asOf)
	if !stale {
		f.asOf = asOf
	}
	return nil
}

func (f *follower) deliver(ctx context.Context, i store.Item) {
	if change, ok := f.store.parse(ctx, f.pool, i); ok {
		f.onChange(change)
	}
}
