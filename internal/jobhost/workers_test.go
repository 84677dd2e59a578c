package jobhost

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
)

// taskDuration is how long a task runs on a fake worker.
const taskDuration = 400 * time.Millisecond

// fakeWorkers simulates workers in memory. Tasks with the payload "fail" fail.
type fakeWorkers struct {
	mu        sync.Mutex
	startedAt time.Time
	workers   map[string]*fakeWorker
}

type fakeWorker struct {
	fence      uint64
	running    []scheduler.RunningTask
	endAt      map[int64]time.Time
	fails      map[int64]bool
	ended      []scheduler.EndedRun
	lastNumber int64
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{startedAt: time.Now(), workers: map[string]*fakeWorker{}}
}

func (f *fakeWorkers) worker(id string) *fakeWorker {
	w := f.workers[id]
	if w == nil {
		w = &fakeWorker{endAt: map[int64]time.Time{}, fails: map[int64]bool{}}
		f.workers[id] = w
	}
	return w
}

// Start implements poolowner.Workers.
func (f *fakeWorkers) Start(_ context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return f.execute(o, fence, func(w *fakeWorker) {
		w.running = append(w.running, scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 100})
		w.endAt[o.Run] = time.Now().Add(taskDuration)
		w.fails[o.Run] = o.Payload == "fail"
	})
}

// execute carries out an order unless the worker has seen a higher fence.
func (f *fakeWorkers) execute(o scheduler.Order, fence uint64, apply func(w *fakeWorker)) scheduler.OrderResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.worker(o.Worker)
	if fence < w.fence {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeFenced}
	}
	w.fence = fence
	apply(w)
	return scheduler.OrderResult{Order: o, Clock: f.clock()}
}

// clock returns the time of the workers' clock in milliseconds.
func (f *fakeWorkers) clock() int64 { return time.Since(f.startedAt).Milliseconds() + 1 }

// Stop implements poolowner.Workers.
func (f *fakeWorkers) Stop(_ context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	return f.execute(o, fence, func(w *fakeWorker) {
		w.endRuns(func(r scheduler.RunningTask) (scheduler.RunEnd, bool) { return scheduler.EndStopped, r.Run == o.Run })
	})
}

// Pace implements poolowner.Workers.
func (f *fakeWorkers) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o}
}

// Forget implements poolowner.Workers.
func (f *fakeWorkers) Forget(string) {}

// Hold implements poolowner.Workers. It polls for ended runs for up to r.Wait.
func (f *fakeWorkers) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	for {
		report := f.report(r)
		if report.Fenced || len(report.Ended) > 0 || time.Since(sent) >= r.Wait {
			report.Sent, report.Received = sent, time.Now()
			return report, nil
		}
		select {
		case <-ctx.Done():
			return scheduler.Report{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *fakeWorkers) report(r poolowner.HoldRequest) scheduler.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.worker(r.Worker)
	if r.Fence < w.fence {
		return scheduler.Report{Worker: r.Worker, Fenced: true}
	}
	w.fence = r.Fence
	w.endRuns(func(t scheduler.RunningTask) (scheduler.RunEnd, bool) {
		end := scheduler.EndSucceeded
		if w.fails[t.Run] {
			end = scheduler.EndFailed
		}
		return end, time.Now().After(w.endAt[t.Run])
	})
	w.ended = slices.DeleteFunc(w.ended, func(e scheduler.EndedRun) bool { return e.Number <= r.LastSeen })
	return scheduler.Report{
		Worker: r.Worker, Clock: f.clock(), LastSeen: r.LastSeen, Until: r.Until,
		Running: slices.Clone(w.running), Ended: slices.Clone(w.ended),
	}
}

// endRuns moves the runs that are over to the ended ones.
func (w *fakeWorker) endRuns(isOver func(scheduler.RunningTask) (scheduler.RunEnd, bool)) {
	w.running = slices.DeleteFunc(w.running, func(r scheduler.RunningTask) bool {
		end, ok := isOver(r)
		if ok {
			w.lastNumber++
			w.ended = append(w.ended, scheduler.EndedRun{Number: w.lastNumber, Task: r.Task, Run: r.Run, End: end})
		}
		return ok
	})
}

// logBuffer holds log output. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
