package poolowner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
)

const (
	// holdWait is how long a worker may wait for an end before it answers.
	holdWait = time.Second
	// holdSlack is added to holdWait for the deadline of a hold.
	holdSlack = 800 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 150 * time.Millisecond
	// refusedRetry is the same for an address that refused connections more than refusalsGone times in a row.
	refusedRetry = 600 * time.Millisecond
	// refusalsGone is how many refused connections in a row show that a worker has ended.
	refusalsGone = 2
	// ackWait is how long a holder waits until ends may be acknowledged.
	ackWait = 200 * time.Millisecond
)

// Holders keeps one goroutine for each worker that renews its lease and brings its reports.
type holders struct {
	owner *Owner
	mu    sync.Mutex
	// running is keyed by worker id.
	running map[string]*holder
	group   sync.WaitGroup
}

type holder struct {
	worker scheduler.Worker
	cancel context.CancelFunc
}

func newHolders(o *Owner) *holders {
	return &holders{owner: o, running: make(map[string]*holder)}
}

// set starts holders for new workers and ends those of workers that are not listed.
func (h *holders) set(ctx context.Context, workers []scheduler.Worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		if old := h.running[w.ID]; old != nil && old.worker.Address == w.Address {
			continue
		}
		h.end(w.ID)
		h.begin(ctx, w)
	}
	for id := range h.running {
		if !listed[id] {
			h.end(id)
		}
	}
}

func (h *holders) begin(ctx context.Context, w scheduler.Worker) {
	ctx, cancel := context.WithCancel(ctx)
	h.running[w.ID] = &holder{worker: w, cancel: cancel}
	h.group.Go(func() { h.owner.holdWorker(ctx, w) })
}

func (h *holders) end(id string) {
	old := h.running[id]
	if old == nil {
		return
	}
	old.cancel()
	delete(h.running, id)
	h.owner.Workers.Forget(old.worker.Address)
	h.owner.orders.forget(old.worker.Address)
}

// forget closes the connections to all workers at the end of the term.
func (h *holders) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.running {
		h.end(id)
	}
}

// poll holds workers once more beside their long polls, so that starts without an answer are resolved early.
func (h *holders) poll(ctx context.Context, ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		if known := h.running[id]; known != nil {
			h.group.Go(func() { h.owner.pollWorker(ctx, known.worker) })
		}
	}
}

func (o *Owner) pollWorker(ctx context.Context, w scheduler.Worker) {
	report, err := o.holdOnce(ctx, w, 0, false)
	if err != nil {
		return
	}
	o.takeReport(ctx, w, report)
}

// takeReport hands a report in and notes that a worker has seen a higher fence.
func (o *Owner) takeReport(ctx context.Context, w scheduler.Worker, report scheduler.Report) {
	if report.Fenced {
		o.replaced(ctx, w.ID)
	}
	o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.Report(now, report) })
}

// holdWorker renews the lease of one worker until ctx ends.
func (o *Owner) holdWorker(ctx context.Context, w scheduler.Worker) {
	first := true
	answered := false // whether the last hold was
	refusals := 0
	heard := newHearing(o, w)
	for ctx.Err() == nil {
		longest := holdWait
		if first {
			longest = 0
		}
		sent := o.Clock()
		report, err := o.holdOnce(ctx, w, longest, answered)
		answered = err == nil && !report.Gone
		heard.note(ctx, err)
		if err != nil {
			refusals = o.noteFailure(ctx, w, sent, refusals, err)
			_ = wait.For(ctx, retryAfter(refusals))
			continue
		}
		first = false
		refusals = 0
		w.Born = max(w.Born, report.Born) // refusals prove the end of the lifetime heard last
		o.takeReport(ctx, w, report)
		if report.Gone || report.Fenced {
			_ = wait.For(ctx, holdRetry)
			continue
		}
		o.awaitAck(ctx, w.ID, report)
	}
}

// noteFailure counts refused connections in a row. A worker that refuses again has no process any more: its runs are over.
func (o *Owner) noteFailure(ctx context.Context, w scheduler.Worker, sent time.Time, refusals int, err error) int {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return 0
	}
	refusals++
	if refusals == refusalsGone {
		events.Log(ctx, o.Log, events.WorkerEnded, slog.String("worker", w.ID), slog.String("pool", o.Pool),
			slog.Uint64("fence", o.Config.Fence), slog.String("reason", "its address refuses connections"))
		gone := scheduler.Report{Worker: w.ID, Born: w.Born, Sent: sent, Received: o.Clock(), Gone: true}
		o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.Report(now, gone) })
	}
	return refusals
}

// holdOnce acknowledges ends only if asked to: where a call before had no answer, another lifetime under the same id may take
// this one, and would forget its own ends by their numbers.
// retryAfter is the pause after a hold without an answer.
func retryAfter(refusals int) time.Duration {
	if refusals > refusalsGone {
		return refusedRetry
	}
	return holdRetry
}

func (o *Owner) holdOnce(
	ctx context.Context, w scheduler.Worker, wait time.Duration, acknowledge bool,
) (scheduler.Report, error) {
	next, ok := o.nextHold(ctx, w.ID)
	if !ok {
		return scheduler.Report{}, ctx.Err()
	}
	if !acknowledge {
		next.LastSeen = 0
	}
	if next.Until == 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	return o.Workers.Hold(ctx, HoldRequest{
		Address: w.Address, Worker: w.ID, Born: w.Born, Fence: o.Config.Fence, Hold: next, Wait: wait,
	})
}

// nextHold is what the next hold of a worker asks for.
func (o *Owner) nextHold(ctx context.Context, worker string) (scheduler.Hold, bool) {
	return ask(ctx, o, func(p *scheduler.Pool, now time.Time) scheduler.Hold { return p.Hold(worker, now) })
}

// awaitAck waits until the ends of a report may be acknowledged: the worker would list them again at once otherwise.
func (o *Owner) awaitAck(ctx context.Context, worker string, r scheduler.Report) {
	if len(r.Ended) == 0 {
		return
	}
	last := r.Ended[len(r.Ended)-1].Number
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	for {
		recorded := o.recorded.wait()
		if next, ok := o.nextHold(ctx, worker); !ok || next.LastSeen >= last {
			return
		}
		select {
		case <-recorded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
