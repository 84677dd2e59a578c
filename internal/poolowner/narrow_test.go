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
	// linkBytesPerSecond is what the owner can send, 2 Mbit/s.
	linkBytesPerSecond = 250_000
	// callBytes is what a call takes without the texts of its order.
	callBytes = 400
	// wayBack is the time from a call's arrival to its answer.
	wayBack = 2 * time.Millisecond
	// narrowRun is how long each task works.
	narrowRun = time.Second
)

// narrow are workers behind one link of the owner: calls leave one after the other, also those that were given up on.
type narrow struct {
	mu      sync.Mutex
	free    time.Time
	starts  int
	done    map[scheduler.TaskID]bool
	workers map[string]*narrowWorker
}

type narrowWorker struct {
	running []scheduler.RunningTask
	begun   []time.Time
	ended   []scheduler.EndedRun
	count   int64
}

func newNarrow(ids []string) *narrow {
	n := &narrow{done: make(map[scheduler.TaskID]bool), workers: make(map[string]*narrowWorker)}
	for _, id := range ids {
		n.workers[id] = &narrowWorker{}
	}
	return n
}

// carry sends bytes over the link and runs arrive there. It reports whether the answer came before ctx ended.
func (n *narrow) carry(ctx context.Context, bytes int, arrive func()) bool {
	n.mu.Lock()
	now := time.Now()
	if n.free.Before(now) {
		n.free = now
	}
	n.free = n.free.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	takes := n.free.Sub(now)
	n.mu.Unlock()
	answered := make(chan struct{})
	time.AfterFunc(takes+wayBack, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
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

func (n *narrow) order(ctx context.Context, o scheduler.Order, arrive func(*narrowWorker) scheduler.Outcome) scheduler.OrderResult {
	result := scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	var outcome scheduler.Outcome
	if n.carry(ctx, callBytes+len(o.Payload), func() { outcome = arrive(n.workers[o.Worker]) }) {
		result.Outcome = outcome
	}
	return result
}

func (n *narrow) Start(ctx context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return n.order(ctx, o, func(w *narrowWorker) scheduler.Outcome {
		n.starts++
		w.running = append(w.running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
		w.begun = append(w.begun, time.Now())
		return scheduler.OutcomeDone
	})
}

func (n *narrow) Stop(ctx context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return n.order(ctx, o, func(w *narrowWorker) scheduler.Outcome {
		for i, r := range w.running {
			if r.Task == o.Task && r.Run == o.Run {
				w.end(i, scheduler.EndStopped)
				break
			}
		}
		return scheduler.OutcomeDone
	})
}

func (n *narrow) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone}
}

func (*narrow) Forget(string) {}

func (n *narrow) Hold(ctx context.Context, r poolowner.HoldRequest) (scheduler.Report, error) {
	report := scheduler.Report{Worker: r.Worker, Sent: time.Now(), LastSeen: r.LastSeen, Until: r.Until}
	deadline := time.Now().Add(r.Wait)
	for {
		listed := false
		if !n.carry(ctx, callBytes, func() { listed = n.list(n.workers[r.Worker], &report, !time.Now().Before(deadline)) }) {
			return scheduler.Report{}, ctx.Err()
		}
		if listed {
			report.Received = time.Now()
			return report, nil
		}
		for waiting := true; waiting; {
			time.Sleep(wayBack)
			n.mu.Lock()
			n.workers[r.Worker].settle(n.done)
			waiting = len(n.workers[r.Worker].ended) == 0 && time.Now().Before(deadline)
			n.mu.Unlock()
		}
	}
}

// list fills a report if there is an end to tell, or if it is time.
func (n *narrow) list(w *narrowWorker, report *scheduler.Report, late bool) bool {
	w.settle(n.done)
	for len(w.ended) > 0 && w.ended[0].Number <= report.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && !late {
		return false
	}
	report.Clock = time.Now().UnixMilli()
	report.Running = append([]scheduler.RunningTask(nil), w.running...)
	report.Ended = append([]scheduler.EndedRun(nil), w.ended...)
	return true
}

func (w *narrowWorker) settle(done map[scheduler.TaskID]bool) {
	for i := 0; i < len(w.running); i++ {
		if time.Since(w.begun[i]) >= narrowRun {
			done[w.running[i].Task] = true
			w.end(i, scheduler.EndSucceeded)
			i--
		}
	}
}

func (w *narrowWorker) end(i int, end scheduler.RunEnd) {
	w.count++
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.count, Task: w.running[i].Task, Run: w.running[i].Run, End: end})
	w.running = append(w.running[:i], w.running[i+1:]...)
	w.begun = append(w.begun[:i], w.begun[i+1:]...)
}

// A pool with room for more starts than its owner's link carries: orders queued for so long that none was answered in time,
// each task was started and stopped again and again, and hardly any job got on.
func TestNarrowLinkCarriesStartsInTime(t *testing.T) {
	const (
		hosts, jobs, tasks = 60, 24, 20
		payload            = 4000
	)
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New().Client("host")
		incoming := jobstore.New(kv, time.Now, slog.New(slog.DiscardHandler), jobstore.Options{})
		accepting, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, incoming.Run(accepting)) })
		for i := range jobs {
			assert.NilError(t, incoming.Accept(t.Context(), &pb.JobRecord{
				Id: fmt.Sprintf("%016x", i+1), Pool: pool, Queue: "q", AcceptedMs: time.Now().UnixMilli(),
				Spec: &pb.JobSpec{Payload: strings.Repeat("x", payload), Steps: []*pb.JobStep{{
					Count: tasks, CpuMilli: 1000, EstimateMs: narrowRun.Milliseconds(),
				}}},
			}))
		}
		ids := make([]string, hosts)
		for i := range ids {
			ids[i] = fmt.Sprintf("w%02d", i)
		}
		workers := newNarrow(ids)
		_, end := term(t, options(t, kv, workers), ids...)
		// The link alone takes 8.4 s for the orders.
		time.Sleep(14 * time.Second)
		workers.mu.Lock()
		done, starts := len(workers.done), workers.starts
		workers.mu.Unlock()
		end()
		stop()
		group.Wait()
		assert.Equal(t, done, jobs*tasks, "%d tasks done after %d starts", done, starts)
		assert.Assert(t, starts < jobs*tasks*11/10, "%d starts for %d tasks", starts, jobs*tasks)
	})
}
