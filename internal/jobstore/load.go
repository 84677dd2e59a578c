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

// watchSlack is how much longer than its wait a watch may take.
const watchSlack = 2 * time.Second

// Snapshot is all that the store holds about a pool's jobs.
type Snapshot struct {
	Jobs     []*pb.JobRecord
	Progress []*pb.JobProgress
	// Cancelled are ids; some may name no job.
	Cancelled []string
}

// Change is one job handed in or one id cancelled.
type Change struct {
	Job       *pb.JobRecord
	Cancelled string
}

// Load reads a pool's records. An owner loads after it took the pool: from then on no other owner's writes succeed.
// Follow from asOf tells what callers handed in meanwhile. Errors: store.Unavailable.
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
			snap.Cancelled = append(snap.Cancelled, change.Cancelled)
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
			s.skipped(ctx, i, err)
			continue
		}
		snap.Progress = append(snap.Progress, p)
	}
	return snap, asOf, nil
}

// readRange has several calls' time, since a large prefix takes several pages.
func (s *Store) readRange(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	call, cancel := context.WithTimeout(ctx, rangeCalls*s.opts.CallTimeout)
	defer cancel()
	return s.kv.Range(call, prefix, stale)
}

// rangeCalls is how many times CallTimeout a Range may take.
const rangeCalls = 3

// errOtherJob is the error of a record whose id is not that of its key.
var errOtherJob = errors.New("the record is another job's")

// skipped tells of a record that cannot be read.
func (s *Store) skipped(ctx context.Context, i store.Item, err error) {
	events.Log(ctx, s.log, events.RecordSkipped, slog.String("key", i.Key), slog.Uint64("version", i.Version),
		slog.String("err", err.Error()))
}

// parse reads one item below Incoming(pool).
func (s *Store) parse(ctx context.Context, pool string, i store.Item) (Change, bool) {
	id, cancelled, ok := jobkeys.ParseIncoming(pool, i.Key)
	if !ok {
		return Change{}, false
	}
	if cancelled {
		return Change{Cancelled: id}, true
	}
	job := &pb.JobRecord{}
	err := proto.Unmarshal(i.Data, job)
	if err == nil && job.GetId() != id {
		err = errOtherJob
	}
	if err != nil {
		s.skipped(ctx, i, err)
		return Change{}, false
	}
	return Change{Job: job}, true
}

// Follow calls onChange for jobs and cancellations after asOf until ctx ends, and returns ctx's error. A change may be
// told more than once.
func (s *Store) Follow(ctx context.Context, pool string, asOf uint64, onChange func(Change)) error {
	f := follower{
		store: s, pool: pool, prefix: jobkeys.IncomingPrefix(pool), onChange: onChange,
		asOf: asOf, checked: asOf, heard: s.clock(),
	}
	backoff := store.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
	for ctx.Err() == nil {
		err := f.once(ctx)
		switch {
		case err == nil:
			backoff.Reset()
		case store.Compacted.Has(err):
			err = f.rangeSince(ctx, false)
		}
		if err != nil {
			_ = backoff.Sleep(ctx) // the loop looks at ctx
		}
	}
	return ctx.Err()
}

// follower is the state of one Follow.
type follower struct {
	store    *Store
	pool     string
	prefix   string
	asOf     uint64
	onChange func(Change)
	// checked is a revision up to which a read has shown everything.
	checked uint64
	// heard is when something last changed, or was looked for.
	heard time.Time
}

// once watches once; a watch that tells nothing for long may be deaf, so a cheap read looks after it.
func (f *follower) once(ctx context.Context) error {
	s := f.store
	longest := min(s.opts.WatchWait, s.opts.QuietCheck)
	call, cancel := context.WithTimeout(ctx, longest+watchSlack)
	defer cancel()
	events, asOf, err := s.kv.Watch(call, f.prefix, f.asOf, longest)
	if err != nil {
		return err
	}
	for _, e := range events {
		if !e.Deleted {
			f.tell(ctx, e.Item)
		}
	}
	f.asOf = asOf
	if len(events) > 0 {
		f.heard = s.clock()
		return wait.For(ctx, s.opts.WatchSpacing)
	}
	now := s.clock()
	if now.Sub(f.heard) < s.opts.QuietCheck {
		return nil
	}
	f.heard = now
	return f.rangeSince(ctx, true)
}

// rangeSince tells what a Range shows to be newer than checked.
func (f *follower) rangeSince(ctx context.Context, stale bool) error {
	items, asOf, err := f.store.readRange(ctx, f.prefix, stale)
	if err != nil {
		return err
	}
	for _, i := range items {
		if i.Version > f.checked {
			f.tell(ctx, i)
		}
	}
	f.checked = max(f.checked, asOf)
	if !stale {
		f.asOf = asOf
	}
	return nil
}

func (f *follower) tell(ctx context.Context, i store.Item) {
	if change, ok := f.store.parse(ctx, f.pool, i); ok {
		f.onChange(change)
	}
}
