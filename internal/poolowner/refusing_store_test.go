package poolowner_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// pagedStore reads ranges in small pages, each at a later time, as the platform's client does.
type pagedStore struct{ store.Transactor }

func (s pagedStore) Range(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	const pageItems = 3
	var all []store.Item
	var oldest uint64
	for after := ""; ; time.Sleep(40 * time.Millisecond) {
		items, asOf, err := s.Transactor.Range(ctx, prefix, stale)
		if err != nil {
			return nil, 0, err
		}
		if after == "" || asOf < oldest {
			oldest = asOf
		}
		for len(items) > 0 && items[0].Key <= after {
			items = items[1:]
		}
		all = append(all, items[:min(len(items), pageItems)]...)
		if len(items) <= pageItems {
			return all, oldest, nil
		}
		after = all[len(all)-1].Key
	}
}

// refusingFleet are hosts that own one pool in turn, each with one jobstore for all its terms, which may overlap.
type refusingFleet struct {
	t       *testing.T
	kv      *memtxn.Store
	workers *ackedWorkers
	tasks   []scheduler.TaskID
	listed  []scheduler.Worker

	mu sync.Mutex
	// known holds, by fence, the tasks whose success was recorded before the term loaded its records.
	known map[uint64]map[scheduler.TaskID]bool
	// owners are the hosts of the terms in order.
	owners []string
	// stale are the tasks that a term started although it must know their success.
	stale []string
	terms sync.WaitGroup
}

// checkedJobs notes which successes are recorded before the records are loaded.
type checkedJobs struct {
	*jobstore.Store
	fleet *refusingFleet
	fence uint64
}

func (c checkedJobs) Load(ctx context.Context, pool string) (jobstore.Snapshot, uint64, error) {
	f := c.fleet
	known := make(map[scheduler.TaskID]bool)
	for _, id := range f.tasks {
		if f.workers.recorded(id) {
			known[id] = true
		}
	}
	f.mu.Lock()
	f.known[c.fence] = known
	f.mu.Unlock()
	return c.Store.Load(ctx, pool)
}

// checkedWorkers check that no term starts a task whose success was recorded before it loaded its records.
type checkedWorkers struct {
	*ackedWorkers
	fleet *refusingFleet
	fence uint64
}

func (c checkedWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	c.fleet.mu.Lock()
	if c.fleet.known[c.fence][o.Task] {
		c.fleet.stale = append(c.fleet.stale, fmt.Sprintf("%v under fence %d", o.Task, c.fence))
	}
	c.fleet.mu.Unlock()
	return c.ackedWorkers.Start(ctx, o, fence)
}

// host runs a host until ctx ends. As in package jobhost, a term begins without waiting for the end of the one before.
func (f *refusingFleet) host(ctx context.Context, name string) {
	client := pagedStore{f.kv.Client(name)}
	quiet := slog.New(slog.DiscardHandler)
	jobs := jobstore.New(client, time.Now, quiet, jobstore.Options{})
	ends := make(map[uint64]context.CancelFunc) // accessed by the elector's goroutine only
	var member *membership.Manager
	member = membership.New(client, membership.Self{Name: name, Incarnation: name}, membership.Events{
		Gained: func(_ string, fence uint64) {
			term, end := context.WithCancel(ctx)
			ends[fence] = end
			f.startTerm(term, name, fence, jobs, member)
		},
		Lost: func(_ string, fence uint64) {
			ends[fence]()
			delete(ends, fence)
		},
	}, time.Now, quiet, membership.Options{})
	member.SetPools([]string{pool})
	f.terms.Go(func() { assert.Check(f.t, member.Run(ctx)) })
}

func (f *refusingFleet) startTerm(ctx context.Context, name string, fence uint64, jobs *jobstore.Store, member *membership.Manager) {
	o := poolowner.Options{
		Pool: pool, Config: testConfig(fence), Workers: checkedWorkers{f.workers, f, fence}, Jobs: checkedJobs{jobs, f, fence},
		Intents: func(context.Context) (poolowner.Intents, error) { return poolowner.Intents{}, nil },
		Confirmed: func() bool {
			held, ok := member.Confirmed(pool)
			return ok && held == fence
		},
		ConfirmedFrom: func() time.Time { return member.ConfirmedFrom(pool, fence) },
		Confirm:       func(ctx context.Context) bool { return member.Confirm(ctx, pool, fence) },
		Replaced:      func() { member.Replaced(pool, fence) },
		Clock:         time.Now, Log: slog.New(slog.DiscardHandler),
	}
	o.Config.Retention = time.Hour
	f.mu.Lock()
	f.owners = append(f.owners, name)
	f.mu.Unlock()
	owner := poolowner.New(o)
	f.terms.Go(func() { assert.Check(f.t, owner.Run(ctx)) })
	owner.SetQueues(ctx, &queue.Table{Queues: []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}}})
	owner.SetWorkers(f.listed)
}

// revoke ends the store lease of a host.
func (f *refusingFleet) revoke(name string) {
	for _, item := range f.kv.Items(jobkeys.Member(name)) {
		assert.Check(f.t, f.kv.Client("operator").Revoke(f.t.Context(), item.Lease))
	}
}

// Guards against a term that begins with older progress than an owner in between has recorded, and against a work item that starts again
// after its acknowledged success: the store refuses some hosts and revokes their leases while they reach all workers, others take the pool
// over, and the same processes own it again. Some workers are silent meanwhile.
func TestRefusedHostsOwnThePoolAgain(t *testing.T) {
	const plays = 20
	returns := 0
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { returns += playRefusals(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
	assert.Assert(t, returns > plays, "%d times a host owned the pool again after another one", returns)
}

// returnsOf counts the terms of hosts that had owned the pool before the owner in between.
func returnsOf(owners []string) int {
	n := 0
	for i, name := range owners {
		if i > 1 && name != owners[i-1] && slices.Contains(owners[:i-1], name) {
			n++
		}
	}
	return n
}

func playRefusals(t *testing.T, random *rand.Rand) (returns int) {
	t.Helper()
	kv := memtxn.New()
	f := &refusingFleet{t: t, kv: kv, known: map[uint64]map[scheduler.TaskID]bool{}, listed: testWorkers([]string{"w1", "w2", "w3", "w4"})}
	f.workers = &ackedWorkers{runningWorkers: newRunningWorkers(), kv: kv, fences: map[string]uint64{}, silent: map[string]bool{}}
	f.workers.admits = f.workers.admit
	elector := kv.Client("elector")
	for i := range 14 {
		job := newJob(fmt.Sprint("job", i), 1)
		job.Spec = &pb.JobSpec{
			Steps:     []*pb.JobStep{{Count: 3, CpuMilli: 700, EstimateMs: 1500}, {Count: 2, CpuMilli: 700, EstimateMs: 1500, After: []int64{0}}},
			StartAtMs: time.Now().Add(time.Duration(2*i) * time.Second).UnixMilli(),
		}
		accept(t, elector, job)
		for step, count := range []int{3, 2} {
			for index := range count {
				f.tasks = append(f.tasks, scheduler.TaskID{Job: job.GetId(), Step: step, Index: index})
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	names := []string{"h0", "h1", "h2"}
	for _, name := range names {
		f.host(ctx, name)
	}
	time.Sleep(2 * time.Second)
	for range 12 {
		f.refuseSome(random, names)
		f.workers.setRandomSilence(random)
		time.Sleep(time.Duration(1+random.IntN(3500)) * time.Millisecond)
	}
	kv.SetFaults(memtxn.Faults{})
	f.workers.endSilence()
	time.Sleep(time.Minute)
	cancel()
	f.terms.Wait()
	t.Logf("terms of %s, %d acknowledged", strings.Join(f.owners, " "), f.workers.acks)
	assert.DeepEqual(t, f.stale, []string(nil))
	assert.DeepEqual(t, f.workers.violated, []string(nil))
	assert.DeepEqual(t, f.workers.unrecorded, []scheduler.TaskID(nil))
	for _, id := range f.tasks {
		assert.Assert(t, f.workers.recorded(id), "%v has not ended", id)
	}
	return returnsOf(f.owners)
}

// refuseSome sets the faults of the next seconds: the store refuses all calls of some hosts and revokes their leases, and answers of the
// others may be lost or come late.
func (f *refusingFleet) refuseSome(random *rand.Rand, names []string) {
	refused := make(map[string]bool)
	for _, name := range names {
		refused[name] = random.IntN(3) == 0
	}
	if owner := f.lastOwner(); random.IntN(2) == 0 {
		refused[owner] = true
	}
	plan := rand.New(rand.NewPCG(random.Uint64(), 4)) // guarded by the store's lock
	odd := []memtxn.Outcome{memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.LoseRequest, memtxn.Refuse}
	share := random.IntN(3) * 8 // percent of the calls of the others
	f.kv.SetFaults(memtxn.Faults{
		Delay: time.Duration(random.IntN(120)) * time.Millisecond, LateBy: time.Duration(random.IntN(4000)) * time.Millisecond,
		StallWatches: random.IntN(4) == 0, OmitAbsent: random.IntN(2) == 0, StaleBy: time.Duration(random.IntN(3000)) * time.Millisecond,
		Plan: func(client string, _ memtxn.Call) memtxn.Outcome {
			switch {
			case client == "elector" || client == "operator":
				return memtxn.Serve
			case refused[client]:
				return memtxn.Refuse
			case plan.IntN(100) < share:
				return odd[plan.IntN(len(odd))]
			}
			return memtxn.Serve
		},
	})
	if random.IntN(3) == 0 {
		f.kv.Compact()
	}
	for _, name := range names {
		if refused[name] {
			f.revoke(name)
		}
	}
}

func (f *refusingFleet) lastOwner() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[len(f.owners)-1]
}
