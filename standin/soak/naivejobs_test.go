package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/standin/jobcallers"
	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/wait"
)

// Defects of owners of pools.
const (
	noFence          defect = "no fence"
	ackBeforeStore   defect = "acknowledged before the store"
	noHold           defect = "no hold after takeover"
	ackBeforeDurable defect = "end acknowledged before it is durable"
	earlyDone        defect = "completed before its tasks"
	anyPool          defect = "started on any pool's worker"
	ignoresKeys      defect = "keys are not checked"

	ownerTick        = 30 * time.Millisecond
	takeoverInterval = 700 * time.Millisecond
	takeovers        = 3
	ownerPause       = 500 * time.Millisecond
	farLease         = 1 << 40
	orderTimeout     = 10 * time.Second // busy machines are slow
	machineCPU       = 4000
)

type jobStep struct {
	Count, CPU int
	After      []int
	Gang       bool
}

type jobRecord struct {
	id, pool, payload string
	steps             []jobStep
	cancelled         bool
}

// durable is the state that survives a takeover. All owners share its lock.
type durable struct {
	mu   sync.Mutex
	jobs map[string]*jobRecord
	done map[scheduler.TaskID]bool
}

// faultyOwner is an owner of all pools that may lack a safeguard.
type faultyOwner struct {
	defect  defect
	kv      *platform.Store
	workers *platform.Workers
	store   *durable
	fence   uint64

	jobs      map[string]*jobRecord
	done      map[scheduler.TaskID]bool
	started   map[scheduler.TaskID]bool
	running   map[scheduler.TaskID]string
	seen      map[string]int64
	free      map[string]int
	addresses map[string]scheduler.Worker
	run       int64
	// last holds the latest starts, which a paused owner sends again to other workers when it resumes.
	last []scheduler.Order
}

func (n *faultyOwner) successor(fence uint64) *faultyOwner {
	next := &faultyOwner{
		defect: n.defect, kv: n.kv, workers: n.workers, store: n.store, fence: fence, run: int64(fence) << 20,
		started: map[scheduler.TaskID]bool{}, running: map[scheduler.TaskID]string{}, seen: map[string]int64{}, addresses: map[string]scheduler.Worker{},
	}
	next.jobs, next.done = maps.Clone(n.store.jobs), maps.Clone(n.store.done)
	return next
}

// serve schedules tasks until ctx is done. An owner without a defect waits for a report of every worker first.
func (n *faultyOwner) serve(ctx context.Context) {
	defer n.resume(context.WithoutCancel(ctx))
	for first := true; wait.For(ctx, ownerTick) == nil; first = false {
		n.store.mu.Lock()
		orders := n.decide(n.renew(ctx, !first || n.defect != noHold))
		n.store.mu.Unlock()
		for _, o := range orders {
			if o.Kind == scheduler.OrderStop {
				n.workers.Stop(ctx, o, n.fence)
			} else if n.workers.Start(ctx, o, n.fence).Outcome == scheduler.OutcomeDone {
				n.last = append(n.last, o)
			}
		}
	}
}

// resume repeats the last orders, as an owner does that resumes after a pause. Fencing tokens reject them.
func (n *faultyOwner) resume(ctx context.Context) {
	time.Sleep(ownerPause)
	workers := slices.Collect(maps.Values(n.addresses))
	for i, o := range n.last {
		w := workers[i%len(workers)]
		if w.ID != o.Worker {
			o.Worker, o.Address, o.Run = w.ID, w.Address, o.Run+1
			n.workers.Start(ctx, o, n.fence)
		}
	}
}

// renew renews the lease of every worker, processes the reports and returns the workers of each pool.
func (n *faultyOwner) renew(ctx context.Context, hold bool) map[string][]scheduler.Worker {
	pools := map[string][]scheduler.Worker{}
	items, _, err := n.kv.Range(ctx, platform.WorkersPrefix, false)
	if err != nil {
		return nil
	}
	n.free = map[string]int{}
	for _, item := range items {
		w, pool, err := platform.ParseWorker(item.Key, item.Data)
		if err != nil {
			continue
		}
		pools[pool], n.free[w.ID], n.addresses[w.ID] = append(pools[pool], w), machineCPU, w
		if !hold {
			continue
		}
		report, err := n.workers.Hold(ctx, platform.HoldRequest{
			Address: w.Address, Worker: w.ID, Fence: n.fence, LastSeen: n.seen[w.ID], Until: farLease,
		})
		if err != nil || report.Fenced || report.Gone {
			return nil // no orders until all workers have reported
		}
		n.apply(w.ID, report)
	}
	return pools
}

func (n *faultyOwner) apply(worker string, report scheduler.Report) {
	for task, on := range n.running {
		if on == worker {
			delete(n.running, task)
		}
	}
	for _, e := range report.Ended {
		n.seen[worker] = max(n.seen[worker], e.Number)
		if e.End == scheduler.EndSucceeded {
			n.done[e.Task] = true
			n.persist(e.Task)
		}
	}
	for _, r := range report.Running {
		n.running[r.Task] = worker
		n.run = max(n.run, r.Run)
		if j := n.jobs[r.Task.Job]; j != nil {
			n.free[worker] -= j.steps[r.Task.Step].CPU
		}
	}
}

func (n *faultyOwner) persist(task scheduler.TaskID) {
	if n.defect == ackBeforeDurable {
		return
	}
	n.store.done[task] = true
}

func (n *faultyOwner) decide(pools map[string][]scheduler.Worker) (orders []scheduler.Order) {
	for _, j := range n.jobs {
		workers := pools[j.pool]
		if n.defect == anyPool {
			workers = slices.Concat(pools["right"], pools["left"])
		}
		for i, s := range j.steps {
			if !j.cancelled && n.open(j, s.After) {
				continue
			}
			orders = append(orders, n.step(j, i, workers)...)
		}
	}
	return orders
}

// open reports whether any of the steps has tasks that have not succeeded.
func (n *faultyOwner) open(j *jobRecord, steps []int) bool {
	for _, i := range steps {
		open := 0
		for index := range j.steps[i].Count {
			if !n.done[scheduler.TaskID{Job: j.id, Step: i, Index: index}] {
				open++
			}
		}
		if open > 0 && (!j.steps[i].Gang || open == j.steps[i].Count) {
			return true
		}
	}
	return false
}

// step returns the orders to start waiting tasks, or to stop the running ones of a cancelled job. A gang starts as a whole.
func (n *faultyOwner) step(j *jobRecord, step int, workers []scheduler.Worker) (orders []scheduler.Order) {
	s := j.steps[step]
	if s.Gang && !j.cancelled && !n.open(j, []int{step}) {
		return nil
	}
	n.run++
	for index := range s.Count {
		task := scheduler.TaskID{Job: j.id, Step: step, Index: index}
		on, runs := n.running[task]
		for _, w := range workers {
			o := scheduler.Order{Worker: w.ID, Address: w.Address, Task: task, Run: n.run, Payload: j.payload, Until: farLease}
			if runs && j.cancelled && on == w.ID {
				o.Kind = scheduler.OrderStop
				orders = append(orders, o)
			}
			if !runs && !j.cancelled && !n.done[task] && n.free[w.ID] >= s.CPU {
				o.Kind = scheduler.OrderStart
				orders, runs = append(orders, o), true
				n.running[task], n.started[task] = w.ID, true
				n.free[w.ID] -= s.CPU
			}
		}
		if s.Gang && !runs { // not all members fit
			return nil
		}
	}
	return orders
}

// entry answers callers on behalf of the current owner.
type entry struct {
	store *durable
	owner *faultyOwner
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	n := e.owner
	pool, id, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	if id == "" {
		_, _ = w.Write([]byte(`{"pending":0}`))
		return
	}
	if r.Method == http.MethodPost {
		n.accept(id, pool, r)
		return
	}
	j := n.jobs[id]
	switch {
	case j == nil:
		w.WriteHeader(http.StatusGone)
	case r.Method == http.MethodDelete:
		j.cancelled = true
	default:
		_ = json.NewEncoder(w).Encode(map[string]string{"state": n.state(j)})
	}
}

func (n *faultyOwner) accept(id, pool string, r *http.Request) {
	var body struct {
		Spec  string
		Steps []jobStep
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || n.jobs[id] != nil {
		return
	}
	j := &jobRecord{id: id, pool: pool, payload: body.Spec, steps: body.Steps}
	n.jobs[id] = j
	if n.defect != ackBeforeStore {
		n.store.jobs[id] = j
	}
}

func (n *faultyOwner) state(j *jobRecord) string {
	if j.cancelled {
		return "cancelled"
	}
	all := lo.Range(len(j.steps))
	shown := n.defect == earlyDone && n.started[scheduler.TaskID{Job: j.id}]
	if n.open(j, all) && !shown {
		return "running"
	}
	return "completed"
}

// runFaultyOwners submits jobs while one owner after the other takes over, and returns the violations.
func runFaultyOwners(t *testing.T, d defect, network string, seed uint64) string {
	t.Helper()
	p, err := jobplatform.New(t.Context(), jobplatform.Options{
		Address: network + ".100:18500", Network: network, WorkerPort: workerPort,
		Pools: []jobplatform.PoolOptions{{Name: "left", Machines: 4}, {Name: "right", Machines: 4}},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	first := &faultyOwner{
		defect: d, kv: platform.NewStore(network+".100:18500", platform.StoreOptions{}), workers: platform.NewWorkers(platform.WorkersOptions{Timeout: orderTimeout}),
		store: &durable{jobs: map[string]*jobRecord{}, done: map[scheduler.TaskID]bool{}},
	}
	e := &entry{store: first.store, owner: first.successor(1)}
	server := httptest.NewServer(e)
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, p.Run(ctx)) })
	running.Go(func() { e.takeOver(ctx) })
	queues := []jobplatform.Queue{{Name: "left", Host: "h", Prefix: "/left/", Pool: "left"}, {Name: "right", Host: "h", Prefix: "/right/", Pool: "right"}}
	var workspaces []jobplatform.Workspace
	if d == ignoresKeys {
		workspaces = []jobplatform.Workspace{{Name: "atlas", Key: "key-1"}}
	}
	report := jobcallers.Run(ctx, jobcallers.Options{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Queues: queues, Workspaces: workspaces, Seed: seed, Duration: 2500 * time.Millisecond, Rate: 6, Drain: 15 * time.Second,
	}, p.History())
	server.Close()
	cancel()
	first.kv.Close()
	first.workers.Close()
	running.Wait()
	_, violations := p.History().Verdict()
	if len(violations) == 0 && !report.Held() {
		return report.String()
	}
	return strings.Join(violations, "\n")
}

// takeOver replaces the owner several times. With noFence, the previous owner is not fenced off.
func (e *entry) takeOver(ctx context.Context) {
	var owners sync.WaitGroup
	defer owners.Wait()
	for i := range uint64(takeovers) {
		ownerCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		e.store.mu.Lock()
		n := e.owner
		e.store.mu.Unlock()
		owners.Go(func() { n.serve(ownerCtx) })
		if i+1 == takeovers || wait.For(ctx, takeoverInterval) != nil {
			<-ctx.Done()
			return
		}
		fence := i + 2
		if n.defect == noFence {
			fence = 1
		}
		e.store.mu.Lock()
		e.owner = n.successor(fence)
		e.store.mu.Unlock()
		cancel()
	}
}

// maxVariantRuns limits the runs of a defect, because whether a run triggers it depends on timing.
const maxVariantRuns = 3

// TestFaultyOwnersAreDetected runs owners that lack one safeguard each; the history reports the violated guarantee.
func TestFaultyOwnersAreDetected(t *testing.T) {
	want := map[defect]string{
		noDefect: "", noFence: "runs twice at once", ackBeforeStore: "was accepted and is not known", noHold: "runs twice at once",
		ackBeforeDurable: "after its success was acknowledged", earlyDone: "was shown as completed with", anyPool: "of pool",
		ignoresKeys: "to an unknown key",
	}
	number := 0
	for d, text := range want {
		number++
		network := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, 50+number)
		t.Run(string(d), func(t *testing.T) {
			t.Parallel()
			found := ""
			for seed := uint64(2); seed < 2+maxVariantRuns; seed++ {
				found = runFaultyOwners(t, d, network, seed)
				if d == noDefect || strings.Contains(found, text) {
					break
				}
			}
			assert.Assert(t, strings.Contains(found, text), "%s", found)
			assert.Assert(t, (found == "") == (d == noDefect), "%s", found)
		})
	}
}
