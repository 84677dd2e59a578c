package jobstore_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/store/memtxn"
)

const pool = "kettle"

// durableRecords are the writes that were acknowledged to callers and owners, and counts of the owners' loads and
// records.
type durableRecords struct {
	mu       sync.Mutex
	accepted map[string]bool
	// recorded is the progress counter of each job, which is stored in JobProgress.ended_ms.
	recorded map[string]int64
	loads    int
	records  int
}

func (d *durableRecords) copy() (accepted map[string]bool, recorded map[string]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	accepted, recorded = make(map[string]bool), make(map[string]int64)
	for id := range d.accepted {
		accepted[id] = true
	}
	for id, n := range d.recorded {
		recorded[id] = n
	}
	return accepted, recorded
}

// owner loads the pool whenever it acquires it, and then records progress while it owns the pool.
type owner struct {
	t       *testing.T
	durable *durableRecords
	jobs    *jobstore.Store
	member  *membership.Manager
	gained  chan uint64
}

func (o *owner) run(ctx context.Context) {
	for {
		select {
		case fence := <-o.gained:
			o.recordProgress(ctx, fence)
		case <-ctx.Done():
			return
		}
	}
}

// holds reports whether the ownership with this fencing token is confirmed at present.
func (o *owner) holds(fence uint64) bool {
	current, ok := o.member.Confirmed(pool)
	return ok && current == fence
}

func (o *owner) recordProgress(ctx context.Context, fence uint64) {
	counts, ok := o.load(ctx, fence)
	for ok && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		if current, _ := o.member.Confirmed(pool); current != fence {
			return
		}
		if !o.holds(fence) {
			continue
		}
		var ps []*pb.JobProgress
		for id := range counts {
			counts[id]++
			ps = append(ps, &pb.JobProgress{Id: id, EndedMs: counts[id]})
		}
		err := o.jobs.Record(ctx, pool, fence, ps)
		if jobstore.Fenced.Has(err) {
			o.member.Replaced(pool, fence)
			return
		}
		if err != nil {
			continue
		}
		o.durable.mu.Lock()
		o.durable.records++
		for _, p := range ps {
			o.durable.recorded[p.GetId()] = max(o.durable.recorded[p.GetId()], p.GetEndedMs())
		}
		o.durable.mu.Unlock()
	}
}

func (d *durableRecords) hasLoads(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loads >= n
}

// load reads the pool and checks that no acknowledged record is missing.
func (o *owner) load(ctx context.Context, fence uint64) (map[string]int64, bool) {
	accepted, recorded := o.durable.copy()
	snap, _, err := o.jobs.Load(ctx, pool)
	for err != nil && ctx.Err() == nil {
		if current, _ := o.member.Confirmed(pool); current != fence {
			return nil, false
		}
		time.Sleep(200 * time.Millisecond)
		snap, _, err = o.jobs.Load(ctx, pool)
	}
	if err != nil {
		return nil, false
	}
	counts := make(map[string]int64)
	for _, j := range snap.Jobs {
		counts[j.GetId()] = 0
	}
	for _, p := range snap.Progress {
		counts[p.GetId()] = p.GetEndedMs()
	}
	for id := range accepted {
		_, ok := counts[id]
		assert.Check(o.t, ok, "accepted job %s is lost", id)
	}
	for id, n := range recorded {
		assert.Check(o.t, counts[id] >= n, "job %s was recorded at %d and is at %d", id, n, counts[id])
	}
	o.durable.mu.Lock()
	o.durable.loads++
	o.durable.mu.Unlock()
	return counts, true
}

// TestNothingDurableIsLostOverOwners changes owners under faults. Each new owner must load every acknowledged record.
func TestNothingDurableIsLostOverOwners(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateOwners(t, rand.New(rand.NewPCG(seed, 6))) })
		})
	}
}

func simulateOwners(t *testing.T, random *rand.Rand) {
	kv := memtxn.New()
	d := &durableRecords{accepted: make(map[string]bool), recorded: make(map[string]int64)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var fronts []*jobstore.Store
	for i := range 4 {
		front := startHost(ctx, t, kv, d, fmt.Sprint("h", i), &running)
		fronts = append(fronts, front)
	}
	time.Sleep(2 * time.Second)
	for i := range 120 {
		if i%10 == 0 {
			kv.SetFaults(randomFaults(random))
		}
		if random.IntN(12) == 0 {
			kv.RevokeAll()
		}
		id := fmt.Sprint(i)
		call, end := context.WithTimeout(ctx, time.Second)
		err := fronts[random.IntN(len(fronts))].Accept(call, &pb.JobRecord{Id: id, Pool: pool})
		end()
		if err == nil {
			d.mu.Lock()
			d.accepted[id] = true
			d.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
	kv.SetFaults(memtxn.Faults{})
	// How often owners change depends on the order of goroutines in one instant of virtual time.
	for range 10 {
		kv.RevokeAll()
		time.Sleep(5 * time.Second)
		if d.hasLoads(3) {
			break
		}
	}
	cancel()
	running.Wait()
	t.Logf("%d accepted, %d loads, %d records", len(d.accepted), d.loads, d.records)
	assert.Assert(t, len(d.accepted) > 30 && d.loads > 2 && d.records > 10)
}

func startHost(
	ctx context.Context, t *testing.T, kv *memtxn.Store, d *durableRecords, name string, running *sync.WaitGroup,
) *jobstore.Store {
	client, log := kv.Client(name), slog.New(slog.DiscardHandler)
	o := &owner{t: t, durable: d, gained: make(chan uint64, 1000)}
	o.jobs = jobstore.New(client, time.Now, log, jobstore.Options{})
	events := membership.Events{
		Gained: func(_ string, fence uint64) { o.gained <- fence },
		Lost:   func(string, uint64) {},
	}
	self := membership.Self{Name: name, Incarnation: name}
	o.member = membership.New(client, self, events, time.Now, log, membership.Options{})
	o.member.SetPools([]string{pool})
	running.Go(func() { assert.Check(t, o.jobs.Run(ctx)) })
	running.Go(func() { assert.Check(t, o.member.Run(ctx)) })
	running.Go(func() { o.run(ctx) })
	return o.jobs
}

func randomFaults(random *rand.Rand) memtxn.Faults {
	f := memtxn.Faults{Delay: time.Duration(random.IntN(30)) * time.Millisecond, OmitAbsent: random.IntN(2) == 0}
	switch random.IntN(5) {
	case 0:
		f.Cut = map[string]bool{"h0": true, "h2": true}
	case 1:
		f.StallWatches = true
	case 2, 3:
		outcomes := []memtxn.Outcome{
			memtxn.Serve, memtxn.Serve, memtxn.Serve, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang,
		}
		plan := rand.New(rand.NewPCG(random.Uint64(), 7)) // guarded by the store's lock
		f.LateBy = time.Duration(plan.IntN(4000)) * time.Millisecond
		f.Plan = func(string, memtxn.Call) memtxn.Outcome { return outcomes[plan.IntN(len(outcomes))] }
	}
	return f
}
