package poolowner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
)

const (
	// recordBatch bounds the jobs of one write.
	recordBatch = jobstore.MaxRecorded
	// recordGather is how long ends are collected before they are written.
	recordGather = 20 * time.Millisecond
	// recordRetry is the first pause after a write without success; it doubles up to recordRetryMax.
	recordRetry    = 50 * time.Millisecond
	recordRetryMax = time.Second
	// recordTell is how long a write may fail before the log tells.
	recordTell = 500 * time.Millisecond
)

// recorder makes progress durable, many jobs to a write. Later progress of a job replaces earlier one that waits.
type recorder struct {
	owner *Owner
	mu    sync.Mutex
	// waiting is keyed by job; order keeps the jobs in the order in which they came.
	waiting map[string]scheduler.Record
	order   []string
	wake    chan struct{}
	// pending counts the jobs of waiting and of the write under way.
	pending atomic.Int64
}

func newRecorder(o *Owner) *recorder {
	return &recorder{owner: o, waiting: make(map[string]scheduler.Record), wake: make(chan struct{}, 1)}
}

func (r *recorder) add(records []scheduler.Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	for _, record := range records {
		id := record.Progress.GetId()
		if _, ok := r.waiting[id]; !ok {
			r.order = append(r.order, id)
			r.pending.Add(1)
		}
		r.waiting[id] = record
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *recorder) take() []scheduler.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.order), recordBatch)
	batch := make([]scheduler.Record, 0, n)
	for _, id := range r.order[:n] {
		batch = append(batch, r.waiting[id])
		delete(r.waiting, id)
	}
	r.order = r.order[n:]
	return batch
}

func (r *recorder) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		_ = wait.For(ctx, recordGather)
		for batch := r.take(); len(batch) > 0; batch = r.take() {
			r.write(ctx, batch)
			r.pending.Add(-int64(len(batch)))
		}
	}
}

// write repeats until the batch is durable, the owner is replaced or ctx ends. Repeating is safe: the content is whole.
// The log tells of what is not durable for long, or not when the term ends.
func (r *recorder) write(ctx context.Context, batch []scheduler.Record) {
	progress := make([]*pb.JobProgress, 0, len(batch))
	for _, record := range batch {
		progress = append(progress, record.Progress)
	}
	pause := recordRetry
	began := r.owner.Clock()
	told := false
	var err error
	for ctx.Err() == nil {
		err = r.owner.Jobs.Record(ctx, r.owner.Pool, r.owner.Config.Fence, progress)
		if err == nil {
			if told {
				r.tell(ctx, events.RecordsWritten, batch, began)
			}
			r.done(ctx, batch, began)
			return
		}
		if jobstore.Fenced.Has(err) {
			r.owner.replaced(ctx, "the store")
			_ = wait.For(ctx, recordRetryMax)
			return
		}
		if !told && r.owner.Clock().Sub(began) >= recordTell {
			told = true
			r.tell(ctx, events.RecordsWait, batch, began, slog.String("err", err.Error()))
		}
		_ = wait.For(ctx, pause)
		pause = min(2*pause, recordRetryMax)
	}
	if !told && err != nil {
		r.tell(ctx, events.RecordsWait, batch, began, slog.String("err", err.Error()))
	}
}

// tellDurable logs the jobs whose end is durable now.
func (r *recorder) tellDurable(ctx context.Context, batch []scheduler.Record, began time.Time) {
	took := r.owner.Clock().Sub(began)
	for _, record := range batch {
		state := record.Progress.GetState()
		if !jobstate.Final(state) {
			continue
		}
		events.Log(ctx, r.owner.Log, events.JobDurable,
			slog.String("job", record.Progress.GetId()), slog.String("pool", r.owner.Pool),
			slog.Uint64("fence", r.owner.Config.Fence), slog.String("state", jobstate.Name(state)),
			slog.Int64("took_ms", took.Milliseconds()))
	}
}

// tell logs a write that fails, or that it succeeds after all.
func (r *recorder) tell(ctx context.Context, event events.Event, batch []scheduler.Record, began time.Time, more ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("job", batch[0].Progress.GetId()),
		slog.String("pool", r.owner.Pool), slog.Uint64("fence", r.owner.Config.Fence),
		slog.Int("jobs", len(batch)), slog.Int64("waiting", r.pending.Load()),
		slog.Int64("age_ms", r.owner.Clock().Sub(began).Milliseconds()),
	}, more...)
	events.Log(ctx, r.owner.Log, event, attrs...)
}

func (r *recorder) done(ctx context.Context, batch []scheduler.Record, began time.Time) {
	r.tellDurable(ctx, batch, began)
	r.owner.put(ctx, func(p *scheduler.Pool, now time.Time) {
		for _, record := range batch {
			p.Recorded(now, record.Progress.GetId(), record.Version)
		}
		r.owner.recorded.send()
	})
}
