package poolowner

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/scheduler"
)

const (
	// maxHoldWait is how long a worker may wait for a run to end before it answers.
	maxHoldWait = time.Second
	// holdTimeoutMargin is added to the wait of a hold for the deadline of the call.
	holdTimeoutMargin = 800 * time.Millisecond
	// holdRetryDelay is the delay after a hold without an answer.
	holdRetryDelay = 150 * time.Millisecond
	// refusedRetryDelay replaces holdRetryDelay once an address has refused more than refusalThreshold connections in a row.
	refusedRetryDelay = 600 * time.Millisecond
	// refusalThreshold is how many refused connections in a row make holds less frequent.
	refusalThreshold = 2
	// maxAckWait bounds how long a renewer delays the next hold until ended runs may be acknowledged.
	maxAckWait = 200 * time.Millisecond
)

// leaseRenewers runs one goroutine per worker that renews its lease and collects its reports.
type leaseRenewers struct {
	owner *Owner
	mu    sync.Mutex
	// running is keyed by worker id.
	running map[string]*leaseRenewer
	group   sync.WaitGroup
}

type leaseRenewer struct {
	worker scheduler.Worker
	cancel context.CancelFunc
}

func newLeaseRenewers(o *Owner) *leaseRenewers {
	return &leaseRenewers{owner: o, running: make(map[string]*leaseRenewer)}
}

// reconcile starts renewers for new workers, restarts those of workers whose address changed, and stops those of workers
// that are no longer listed.
func (l *leaseRenewers) reconcile(ctx context.Context, workers []scheduler.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		if old := l.running[w.ID]; old != nil && old.worker.Address == w.Address {
			continue
		}
		l.stop(w.ID)
		l.start(ctx, w)
	}
	for id := range l.running {
		if !listed[id] {
			l.stop(id)
		}
	}
}

func (l *leaseRenewers) start(ctx context.Context, w scheduler.Worker) {
	ctx, cancel := context.WithCancel(ctx)
	l.running[w.ID] = &leaseRenewer{worker: w, cancel: cancel}
	l.group.Go(func() { l.owner.renewLease(ctx, w) })
}

func (l *leaseRenewers) stop(id string) {
	old := l.running[id]
	if old == nil {
		return
	}
	old.cancel()
	delete(l.running, id)
	l.owner.Workers.Forget(old.worker.Address)
	l.owner.orders.forget(old.worker.Address)
}

// stopAll stops all renewers and closes their connections at the end of the term.
func (l *leaseRenewers) stopAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.running {
		l.stop(id)
	}
}

// poll sends extra holds in parallel with the long polls, so that starts without an answer are resolved early.
func (l *leaseRenewers) poll(ctx context.Context, ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if renewer := l.running[id]; renewer != nil {
			l.group.Go(func() { l.owner.pollWorker(ctx, renewer.worker) })
		}
	}
}

func (o *Owner) pollWorker(ctx context.Context, w scheduler.Worker) {
	report, err := o.holdOnce(ctx, w, 0, false)
	if err != nil {
		return
	}
	o.handleReport(ctx, w, report)
}

// handleReport passes a report to the scheduler, and handles one that shows the fence of a later owner.
func (o *Owner) handleReport(ctx context.Context, w scheduler.Worker, report scheduler.Report) {
	o.enqueue(ctx, func(p *scheduler.Pool, now time.Time) {
		p.Report(now, report)
		if report.Fenced && p.Fenced() {
			o.handleReplaced(ctx, w.ID)
		}
	})
}

// renewLease renews the lease of one worker until ctx ends.
func (o *Owner) renewLease(ctx context.Context, w scheduler.Worker) {
	first := true
	answered := false // whether the last hold was answered by this incarnation of the worker
	refusals := 0
	monitor := newSilenceMonitor(o, w)
	for ctx.Err() == nil {
		maxWait := maxHoldWait
		if first {
			maxWait = 0
		}
		report, err := o.holdOnce(ctx, w, maxWait, answered)
		answered = err == nil && !report.Gone
		monitor.observe(ctx, report.Gone, err)
		if err != nil {
			refusals = o.handleHoldFailure(ctx, w, refusals, err)
			_ = wait.For(ctx, retryAfter(refusals))
			continue
		}
		first = false
		refusals = 0
		w.Born = max(w.Born, report.Born)
		o.handleReport(ctx, w, report)
		if report.Gone || report.Fenced {
			_ = wait.For(ctx, holdRetryDelay)
			continue
		}
		o.awaitAck(ctx, w.ID, report)
	}
}

// handleHoldFailure marks the worker as unreachable and returns the new number of refused connections in a row; any other
// failure resets it.
func (o *Owner) handleHoldFailure(ctx context.Context, w scheduler.Worker, refusals int, err error) int {
	o.enqueue(ctx, func(p *scheduler.Pool, _ time.Time) { p.MarkUnreachable(w.ID) })
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return 0
	}
	return refusals + 1
}

// retryAfter returns the delay after a hold without an answer.
func retryAfter(refusals int) time.Duration {
	if refusals > refusalThreshold {
		return refusedRetryDelay
	}
	return holdRetryDelay
}

// holdOnce sends one hold. It acknowledges ended runs only if acknowledge is set: after a call without an answer, this call
// may reach a new incarnation under the same id, which would drop its own ended runs up to the acknowledged number. A hold that
// acknowledges ends does not wait, so that it is not under way when the worker ends.
func (o *Owner) holdOnce(
	ctx context.Context, w scheduler.Worker, maxWait time.Duration, acknowledge bool,
) (scheduler.Report, error) {
	next, ok := o.nextHold(ctx, w.ID, acknowledge)
	if !ok {
		return scheduler.Report{}, ctx.Err()
	}
	if next.Until == 0 || next.LastSeen > 0 {
		maxWait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, maxWait+holdTimeoutMargin)
	defer cancel()
	report, err := o.Workers.Hold(callCtx, HoldRequest{
		Address: w.Address, Worker: w.ID, Born: w.Born, Hold: next, Wait: maxWait,
	})
	report.Address, report.Fence = w.Address, next.Fence
	o.settleAck(ctx, w, next, report, err)
	if err == nil && report.LastSeen < next.LastSeen {
		_ = wait.For(ctx, holdRetryDelay) // the worker lists the same ends again at once
	}
	return report, err
}

// settleAck passes on what became of the acknowledgement of a hold, if that is known.
func (o *Owner) settleAck(ctx context.Context, w scheduler.Worker, h scheduler.Hold, report scheduler.Report, err error) {
	result := scheduler.AckApplied
	switch {
	case h.LastSeen == 0:
		return
	case report.LastSeen == 0, err == nil && (report.Gone || report.Fenced):
		result = scheduler.AckNotSent
	case err != nil || report.Born != w.Born:
		return
	}
	o.enqueue(ctx, func(p *scheduler.Pool, _ time.Time) { p.SettleAck(w.ID, h, result) })
}

// nextHold returns the parameters of the next hold of a worker.
func (o *Owner) nextHold(ctx context.Context, worker string, acknowledge bool) (scheduler.Hold, bool) {
	return runInLoop(ctx, o, func(p *scheduler.Pool, now time.Time) scheduler.Hold {
		if !acknowledge {
			return p.Poll(worker, now)
		}
		return p.Hold(worker, now)
	})
}

// awaitAck waits up to maxAckWait until the ended runs of a report may be acknowledged. To a hold that does not acknowledge
// them, the worker would report them again at once.
func (o *Owner) awaitAck(ctx context.Context, worker string, r scheduler.Report) {
	if len(r.Ended) == 0 {
		return
	}
	last := r.Ended[len(r.Ended)-1].Number
	timer := time.NewTimer(maxAckWait)
	defer timer.Stop()
	for {
		recorded := o.recorded.wait()
		acknowledged, ok := runInLoop(ctx, o, func(p *scheduler.Pool, _ time.Time) int64 { return p.Acknowledged(worker) })
		if !ok || acknowledged >= last {
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
