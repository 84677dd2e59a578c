package poolowner_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/carriers"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/carry"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	carriedWorkers = 90
	carriedRun     = 1500 * time.Millisecond
)

// runningWorkers are workers that run each task for carriedRun, keep leases, and reject runs that were stopped or have ended
// there. They record a task that runs twice at once, or again after its success was acknowledged.
type runningWorkers struct {
	mu       sync.Mutex
	workers  map[string]*runningWorker
	done     map[scheduler.TaskID]bool
	acked    map[scheduler.TaskID]bool
	violated []string
	// admits reports whether a worker accepts a call with a fence; nil accepts all.
	admits func(worker string, fence uint64) bool
}

type runningWorker struct {
	until   int64
	running map[scheduler.TaskID]activeRun
	highest map[scheduler.TaskID]int64
	ended   []scheduler.EndedRun
	ends    int64
}

type activeRun struct {
	run    int64
	endsAt time.Time
}

func newRunningWorkers() *runningWorkers {
	return &runningWorkers{
		workers: map[string]*runningWorker{}, done: map[scheduler.TaskID]bool{}, acked: map[scheduler.TaskID]bool{},
	}
}

// worker returns a worker as it is now.
func (r *runningWorkers) worker(id string) *runningWorker {
	w := r.workers[id]
	if w == nil {
		w = &runningWorker{running: map[scheduler.TaskID]activeRun{}, highest: map[scheduler.TaskID]int64{}}
		r.workers[id] = w
	}
	for task, run := range w.running {
		switch {
		case !time.Now().Before(run.endsAt):
			r.done[task] = true
			w.end(task, run.run, scheduler.EndSucceeded)
		case time.Now().UnixMilli() > w.until:
			w.end(task, run.run, scheduler.EndLapsed)
		}
	}
	return w
}

func (w *runningWorker) end(task scheduler.TaskID, run int64, how scheduler.RunEnd) {
	delete(w.running, task)
	w.ends++
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.ends, Task: task, Run: run, End: how})
}

func (w *runningWorker) extend(until int64) {
	w.until = max(w.until, min(until, time.Now().Add(maxLease).UnixMilli()))
}

func (r *runningWorkers) Start(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	time.Sleep(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	result := scheduler.OrderResult{Order: o, Clock: time.Now().UnixMilli()}
	w := r.worker(o.Worker)
	switch {
	case r.admits != nil && !r.admits(o.Worker, o.Fence):
		result.Outcome = scheduler.OutcomeFenced
		return result
	case w.running[o.Task].run == o.Run:
		return result
	case o.Run <= w.highest[o.Task]:
		result.Outcome = scheduler.OutcomeOutdated
		return result
	case o.Until < time.Now().UnixMilli():
		result.Outcome = scheduler.OutcomeLate
		return result
	}
	for id := range r.workers {
		if _, twice := r.worker(id).running[o.Task]; twice {
			r.violated = append(r.violated, fmt.Sprintf("%v runs on %s and starts on %s", o.Task, id, o.Worker))
		}
	}
	if r.acked[o.Task] {
		r.violated = append(r.violated, fmt.Sprintf("%v starts again after its success", o.Task))
	}
	w.highest[o.Task] = o.Run
	w.extend(o.Until)
	w.running[o.Task] = activeRun{run: o.Run, endsAt: time.Now().Add(carriedRun)}
	return result
}

func (r *runningWorkers) Stop(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	time.Sleep(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker(o.Worker)
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run, ok := w.running[o.Task]; ok && run.run == o.Run {
		w.end(o.Task, o.Run, scheduler.EndStopped)
	}
	return scheduler.OrderResult{Order: o, Clock: time.Now().UnixMilli()}
}

func (r *runningWorkers) Pace(_ context.Context, o scheduler.Order, _ uint64) scheduler.OrderResult {
	return scheduler.OrderResult{Order: o}
}

func (r *runningWorkers) Forget(string) {}

func (r *runningWorkers) Hold(ctx context.Context, h poolowner.HoldRequest) (scheduler.Report, error) {
	sent := time.Now()
	r.mu.Lock()
	w := r.worker(h.Worker)
	w.extend(h.Until)
	var kept []scheduler.EndedRun
	for _, e := range w.ended {
		if e.Number > h.LastSeen {
			kept = append(kept, e)
		} else if e.End == scheduler.EndSucceeded {
			r.acked[e.Task] = true
		}
	}
	w.ended = kept
	r.mu.Unlock()
	for deadline := sent.Add(h.Wait); time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return scheduler.Report{}, ctx.Err()
		case <-time.After(25 * time.Millisecond):
		}
		r.mu.Lock()
		ended := len(r.worker(h.Worker).ended)
		r.mu.Unlock()
		if ended > 0 {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w = r.worker(h.Worker)
	report := scheduler.Report{
		Worker: h.Worker, Born: 1, Clock: time.Now().UnixMilli(), Sent: sent, Received: time.Now(), LastSeen: h.LastSeen,
		Until: h.Until, Ended: append([]scheduler.EndedRun(nil), w.ended...),
	}
	for task, run := range w.running {
		report.Running = append(report.Running, scheduler.RunningTask{Task: task, Run: run.run, Percent: 100})
	}
	return report, nil
}

// unreliablePeers call carriers that may be silent, lose answers, or get calls seconds late.
type unreliablePeers struct {
	servers map[string]*carry.Server
	mu      sync.Mutex
	rand    *rand.Rand
	// mode is the fault of each carrier; empty means none.
	mode map[string]string
	late sync.WaitGroup
}

func (u *unreliablePeers) fault(address string) (mode string, delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mode[address], time.Duration(500+u.rand.IntN(7000)) * time.Millisecond
}

func (u *unreliablePeers) SubmitCalls(ctx context.Context, address string, r *pb.SubmitCallsRequest) error {
	mode, delay := u.fault(address)
	submit := func() error {
		_, err := u.servers[address].SubmitCalls(context.WithoutCancel(ctx), connect.NewRequest(r))
		return err
	}
	switch mode {
	case "silent":
		<-ctx.Done()
		return ctx.Err()
	case "late":
		u.late.Go(func() {
			time.Sleep(delay)
			_ = submit()
		})
		<-ctx.Done()
		return ctx.Err()
	}
	return submit()
}

func (u *unreliablePeers) CollectCalls(ctx context.Context, address string, r *pb.CollectCallsRequest) ([]*pb.CarriedResult, error) {
	if mode, _ := u.fault(address); mode == "silent" || mode == "late" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := u.servers[address].CollectCalls(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	if mode, _ := u.fault(address); mode == "lossy" {
		return nil, nil
	}
	return answer.Msg.GetResults(), nil
}

// setRandomFault gives a random carrier a random fault, or none.
func (u *unreliablePeers) setRandomFault() {
	u.mu.Lock()
	defer u.mu.Unlock()
	address := fmt.Sprintf("c%d", u.rand.IntN(len(u.servers)))
	u.mode[address] = []string{"", "", "silent", "late", "late", "lossy"}[u.rand.IntN(6)]
}

// Pattern: the carriers of a large pool fall silent, lose answers and make calls seconds late, in any order, while hundreds of
// short tasks run. No task runs on two workers or again after its success, and all end once the carriers answer again.
func TestNothingRunsTwiceOverUnreliableCarriers(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playUnreliableCarriers(t, seed) })
		})
	}
}

func playUnreliableCarriers(t *testing.T, seed uint64) {
	t.Helper()
	const tasks = 1500
	kv := memtxn.New().Client("host")
	acceptJob(t, kv, tasks)
	workers := newRunningWorkers()
	peers := &unreliablePeers{servers: map[string]*carry.Server{}, rand: rand.New(rand.NewPCG(seed, 1)), mode: map[string]string{}}
	serving, stopServing := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var hosts []carriers.Host
	for i := range 3 {
		name := fmt.Sprintf("c%d", i)
		server := carry.NewServer(func() (poolowner.Workers, func()) { return workers, func() {} }, time.Now)
		peers.servers[name] = server
		group.Go(func() { server.Run(serving) })
		hosts = append(hosts, carriers.Host{Name: name, Address: name, CPUMilli: 200})
	}
	client := carry.NewClient(carry.ClientOptions{
		Pool: pool, Fence: 1, Session: "term", Direct: workers, Peers: peers, Clock: time.Now, Log: slog.New(slog.DiscardHandler),
		Hosts: func() []carriers.Host { return hosts },
	})
	var ids []string
	for i := range carriedWorkers {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	_, stop := startOwner(t, newOptions(t, kv, client), ids...)
	for range 60 {
		time.Sleep(400 * time.Millisecond)
		peers.setRandomFault()
	}
	peers.mu.Lock()
	clear(peers.mode)
	peers.mu.Unlock()
	time.Sleep(30 * time.Second)
	stop()
	client.Close()
	peers.late.Wait()
	stopServing()
	group.Wait()
	synctest.Wait()
	assert.DeepEqual(t, workers.violated, []string(nil))
	assert.Equal(t, len(workers.done), tasks)
}
