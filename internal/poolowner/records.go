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
	// maxRecordBatch bounds the jobs of one write.
	maxRecordBatch = jobstore.MaxRecorded
	// recordBatchDelay is how long progress is collected before it is written.
	recordBatchDelay = 20 * time.Millisecond
	// minRecordRetryDelay is the delay after the first failed write; it doubles up to maxRecordRetryDelay.
	minRecordRetryDelay = 50 * time.Millisecond
	maxRecordRetryDelay = time.Second
	// recordWarnAfter is how long a write may fail before this is logged.
	recordWarnAfter = 500 * time.Millisecond
)

// recorder writes progress to the store in batches of jobs. Later progress of a job replaces progress that is still queued.
type recorder struct {
	owner *Owner
	mu    sync.Mutex
	// waiting holds the queued progress by job id; order lists these ids in order of arrival.
	waiting map[string]scheduler.Record
	order   []string
	wake    chan struct{}
	// pending counts the jobs in waiting and in the current write.
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

func (r *recorder) nextBatch() []scheduler.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.order), maxRecordBatch)
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
		_ = wait.For(ctx, recordBatchDelay)
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			r.write(ctx, batch)
			r.pending.Add(-int64(len(batch)))
		}
	}
}

// write retries until the batch is durable, the owner is replaced or ctx ends. Retries are safe, since a record replaces the
// whole progress of a job. A batch that is not durable after recordWarnAfter, or when the term ends, is logged.
func (r *recorder) write(ctx context.Context, batch []scheduler.Record) {
	progress := make([]*pb.JobProgress, 0, len(batch))
	for _, record := range batch {
		progress = append(progress, record.Progress)
	}
	delay := minRecordRetryDelay
	startedAt := r.owner.Clock()
	logged := false
	var err error
	for ctx.Err() == nil {
		err = r.owner.Jobs.Record(ctx, r.owner.Pool, r.owner.Config.Fence, progress)
		if err == nil {
			if logged {
				r.log(ctx, events.RecordsWritten, batch, startedAt)
			}
			r.complete(ctx, batch, startedAt)
			return
		}
		if jobstore.Fenced.Has(err) {
			r.owner.handleReplaced(ctx, "the store")
			_ = wait.For(ctx, maxRecordRetryDelay)
			return
		}
		if !logged && r.owner.Clock().Sub(startedAt) >= recordWarnAfter {
			logged = true
			r.log(ctx, events.RecordsWait, batch, startedAt, slog.String("err", err.Error()))
		}
		_ = wait.For(ctx, delay)
		delay = min(2*delay, maxRecordRetryDelay)
	}
	if !logged && err != nil {
		r.log(ctx, events.RecordsWait, batch, startedAt, slog.String("err", err.Error()))
	}
}

// logDurable logs the jobs whose final state has become durable.
func (r *recorder) logDurable(ctx context.Context, batch []scheduler.Record, startedAt time.Time) {
	elapsed := r.owner.Clock().Sub(startedAt)
	for _, record := range batch {
		state := record.Progress.GetState()
		if !jobstate.Final(state) {
			continue
		}
		events.Log(ctx, r.owner.Log, events.JobDurable,
			slog.String("job", record.Progress.GetId()), slog.String("pool", r.owner.Pool),
			slog.Uint64("fence", r.owner.Config.Fence), slog.String("state", jobstate.Name(state)),
			slog.Int64("took_ms", elapsed.Milliseconds()))
	}
}

// log logs a write that keeps failing, or that succeeds after a failure was logged.
func (r *recorder) log(ctx context.Context, event events.Event, batch []scheduler.Record, startedAt time.Time, extra ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("job", batch[0].Progress.GetId()),
		slog.String("pool", r.owner.Pool), slog.Uint64("fence", r.owner.Config.Fence),
		slog.Int("jobs", len(batch)), slog.Int64("waiting", r.pending.Load()),
		slog.Int64("age_ms", r.owner.Clock().Sub(startedAt).Milliseconds()),
	}, extra...)
	events.Log(ctx, r.owner.Log, event, attrs...)
}

func (r *recorder) complete(ctx context.Context, batch []scheduler.Record, startedAt time.Time) {
	r.logDurable(ctx, batch, startedAt)
	r.owner.enqueue(ctx, func(p *scheduler.Pool, now time.Time) {
		for _, record := range batch {
			p.Recorded(now, record.Progress.GetId(), record.Version)
		}
		r.owner.recorded.send()
	})
}
