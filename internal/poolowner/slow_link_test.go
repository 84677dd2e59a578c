package poolowner_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	// linkBytesPerSecond is the bandwidth of the owner's link, 2 Mbit/s.
	linkBytesPerSecond = 250_000
	// callOverheadBytes is the size of a call without the payload of its order.
	callOverheadBytes = 400
	// replyDelay is the time from the arrival of a call to that of its answer.
	replyDelay = 2 * time.Millisecond
	// taskDuration is how long each task runs.
	taskDuration = time.Second
)

// slowLink simulates workers behind one link of the owner. The link sends calls one after the other, including those whose
// deadline has passed.
type slowLink struct {
	mu      sync.Mutex
	freeAt  time.Time
	starts  int
	done    map[scheduler.TaskID]bool
	workers map[string]*linkedWorker
}

type linkedWorker struct {
	running    []scheduler.RunningTask
	startedAt  []time.Time
	ended      []scheduler.EndedRun
	lastNumber int64
}

func newSlowLink(ids []string) *slowLink {
	l := &slowLink{done: make(map[scheduler.TaskID]bool), workers: make(map[string]*linkedWorker)}
	for _, id := range ids {
		l.workers[id] = &linkedWorker{}
	}
	return l
}

// transmit sends bytes over the link and calls arrive on arrival. It reports whether the answer came before ctx ended.
func (l *slowLink) transmit(ctx context.Context, bytes int, arrive func()) bool {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	duration := l.freeAt.Sub(now)
	l.mu.Unlock()
	answered := make(chan struct{})
	time.AfterFunc(duration+replyDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		arrive()
		close(answered)
	})
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *slowLink) deliver(ctx context.Context, o scheduler.Order, arrive func(*linkedWorker) scheduler.Outcome) scheduler.OrderResult {
	result := scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	var outcome scheduler.Outcome
	if l.transmit(ctx, callOverheadBytes+len(o.Payload), func() { outcome = arrive(l.workers[o.Worker]) }) {
		result.Outcome = outcome
	}
	return result
}

func (l *slowLink) Start(ctx context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return l.deliver(ctx, o, func(w *linkedWorker) scheduler.Outcome {
		l.starts++
		w.running = append(w.running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
		w.startedAt = append(w.startedAt, time.Now())
		return scheduler.OutcomeDone
	})
}

func (l *slowLink) Stop(ctx context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return l.deliver(ctx, o, func(w *linkedWorker) scheduler.Outcome {
		for i, r := range w.running {
			if r.Task == o.Task && r.Run == o.Run {
				w.end(i, scheduler.EndStopped)
				break
			}
		}
		return scheduler.OutcomeDone
	})
}

func (l *slowLink) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (*slowLink) Forget(string) {}

func (l *slowLink) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	report := scheduler.Report{Worker: r.Worker, Sent: time.Now(), LastSeen: r.LastSeen, Until: r.Until}
	deadline := time.Now().Add(r.Wait)
	for {
		filled := false
		if !l.transmit(ctx, callOverheadBytes, func() { filled = l.fillReport(l.workers[r.Worker], &report, !time.Now().Before(deadline)) }) {
			return scheduler.Report{}, ctx.Err()
		}
		if filled {
			report.Received = time.Now()
			return report, nil
		}
		for waiting := true; waiting; {
			time.Sleep(replyDelay)
			l.mu.Lock()
			l.workers[r.Worker].completeTasks(l.done)
			waiting = len(l.workers[r.Worker].ended) == 0 && time.Now().Before(deadline)
			l.mu.Unlock()
		}
	}
}

// fillReport fills the report and returns true if there are ended runs to report, or if the wait is over.
func (l *slowLink) fillReport(w *linkedWorker, report *scheduler.Report, waitOver bool) bool {
	w.completeTasks(l.done)
	for len(w.ended) > 0 && w.ended[0].Number <= report.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && !waitOver {
		return false
	}
	report.Clock = time.Now().UnixMilli()
	report.Running = append([]scheduler.RunningTask(nil), w.running...)
	report.Ended = append([]scheduler.EndedRun(nil), w.ended...)
	return true
}

func (w *linkedWorker) completeTasks(done map[scheduler.TaskID]bool) {
	for i := 0; i < len(w.running); i++ {
		if time.Since(w.startedAt[i]) >= taskDuration {
			done[w.running[i].Task] = true
			w.end(i, scheduler.EndSucceeded)
			i--
		}
	}
}

func (w *linkedWorker) end(i int, end scheduler.RunEnd) {
	w.lastNumber++
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.lastNumber, Task: w.running[i].Task, Run: w.running[i].Run, End: end})
	w.running = append(w.running[:i], w.running[i+1:]...)
	w.startedAt = append(w.startedAt[:i], w.startedAt[i+1:]...)
}

// A pool has capacity for more starts than its owner's link can transmit. Without a send window, orders queued for so long
// that none was answered within orderTimeout: each task was started and stopped repeatedly, and hardly any job made progress.
func TestSlowLinkDeliversStartsInTime(t *testing.T) {
	const (
		hosts, jobs, tasks = 60, 24, 20
		payload            = 4000
	)
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		store := jobstore.New(kv, time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		storeCtx, stopStore := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, store.Run(storeCtx)) })
		for i := range jobs {
			assert.NilError(t, store.Accept(t.Context(), &pb.JobRecord{
				Id: fmt.Sprintf("%016x", i+1), Pool: pool, Queue: "q", AcceptedMs: time.Now().UnixMilli(),
				Spec: &pb.JobSpec{Payload: strings.Repeat("x", payload), Steps: []*pb.JobStep{{
					Count: tasks, CpuMilli: 1000, EstimateMs: taskDuration.Milliseconds(),
				}}},
			}))
		}
		ids := make([]string, hosts)
		for i := range ids {
			ids[i] = fmt.Sprintf("w%02d", i)
		}
		workers := newSlowLink(ids)
		_, stopOwner := startOwner(t, newOptions(t, kv, workers), ids...)
		// The link needs 8.4 s for the orders alone.
		time.Sleep(14 * time.Second)
		workers.mu.Lock()
		done, starts := len(workers.done), workers.starts
		workers.mu.Unlock()
		stopOwner()
		stopStore()
		group.Wait()
		assert.Equal(t, done, jobs*tasks, "%d tasks done after %d starts", done, starts)
		assert.Assert(t, starts < jobs*tasks*11/10, "%d starts for %d tasks", starts, jobs*tasks)
	})
}
