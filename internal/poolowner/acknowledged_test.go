package poolowner_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store/memtxn"
)

// ackedWorkers check that each success is recorded once it is acknowledged. They reject owners that were replaced, and are silent at times.
type ackedWorkers struct {
	*runningWorkers
	kv     *memtxn.Store
	fences map[string]uint64
	silent map[string]bool
	acks   int
	// unrecorded are the successes that were acknowledged and not recorded.
	unrecorded []scheduler.TaskID
}

// recorded reports whether the store has the success of a task.
func (a *ackedWorkers) recorded(id scheduler.TaskID) bool {
	for _, item := range a.kv.Items(jobkeys.Progress(pool, id.Job)) {
		p := &pb.JobProgress{}
		if err := proto.Unmarshal(item.Data, p); err != nil || p.GetId() != id.Job {
			continue
		}
		for _, c := range p.GetCompleted() {
			if n := int64(id.Occurrence) - c.GetFirst(); n >= 0 && n < c.GetCount() {
				return true
			}
		}
		for _, o := range p.GetOccurrences() {
			bits := o.GetSteps()[id.Step].GetSucceeded()
			if o.GetOccurrence() == int64(id.Occurrence) && id.Index/8 < len(bits) && bits[id.Index/8]&(1<<(id.Index%8)) != 0 {
				return true
			}
		}
		return jobstate.Final(p.GetState())
	}
	return false
}

// admit is called with the lock held.
func (a *ackedWorkers) admit(worker string, fence uint64) bool {
	a.fences[worker] = max(a.fences[worker], fence)
	return a.fences[worker] == fence
}

func (a *ackedWorkers) isSilent(worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent[worker]
}

func (a *ackedWorkers) Start(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	result := a.runningWorkers.Start(ctx, o, fence)
	a.mu.Lock()
	defer a.mu.Unlock()
	running := a.worker(o.Worker).running
	if run, ok := running[o.Task]; ok && run.run == o.Run && result.Outcome == scheduler.OutcomeDone {
		run.endsAt = run.endsAt.Add(time.Duration(o.Task.Index) * 300 * time.Millisecond)
		running[o.Task] = run
	}
	if a.silent[o.Worker] {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	return result
}

func (a *ackedWorkers) Stop(ctx context.Context, o scheduler.Order, fence uint64) scheduler.OrderResult {
	if a.isSilent(o.Worker) {
		return scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown}
	}
	return a.runningWorkers.Stop(ctx, o, fence)
}

func (a *ackedWorkers) Hold(ctx context.Context, h poolowner.HoldRequest) (scheduler.Report, error) {
	if a.isSilent(h.Worker) {
		time.Sleep(100 * time.Millisecond)
		return scheduler.Report{}, errSilent
	}
	a.mu.Lock()
	if !a.admit(h.Worker, h.Fence) {
		a.mu.Unlock()
		return scheduler.Report{Worker: h.Worker, Fenced: true, Sent: time.Now(), Received: time.Now()}, nil
	}
	for _, e := range a.worker(h.Worker).ended {
		if e.Number > h.LastSeen || e.End != scheduler.EndSucceeded {
			continue
		}
		a.acks++
		if !a.recorded(e.Task) {
			a.unrecorded = append(a.unrecorded, e.Task)
		}
	}
	a.mu.Unlock()
	return a.runningWorkers.Hold(ctx, h)
}

// Guards against a success that is acknowledged before its record is durable: two hosts own the pool several times each, beside owners that do
// not know yet that they were replaced, while calls to the store fail, hang, are carried out late or lose their answers.
func TestAcknowledgedSuccessesAreRecorded(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTerms(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func playTerms(t *testing.T, random *rand.Rand) {
	t.Helper()
	kv := memtxn.New()
	elector := kv.Client("elector")
	items := &pb.JobStep{Count: 3, CpuMilli: 500, EstimateMs: 1500, Speculative: true}
	gang := &pb.JobStep{Count: 3, CpuMilli: 500, EstimateMs: 1500, Gang: true, MaxPerHost: 1, After: []int64{0}}
	var jobs []string
	for i := range int64(10) {
		job := newJob(fmt.Sprint("job", i), 1)
		job.Spec = &pb.JobSpec{
			Steps: [][]*pb.JobStep{{items}, {{}, gang}, {items, gang}}[i%3], RepeatCount: 1 + i%2, IntervalMs: 4000,
			StartAtMs: time.Now().Add(time.Duration(2*i) * time.Second).UnixMilli(),
		}
		accept(t, elector, job)
		jobs = append(jobs, job.GetId())
	}
	workers := &ackedWorkers{runningWorkers: newRunningWorkers(), kv: kv, fences: map[string]uint64{}, silent: map[string]bool{}}
	workers.admits = workers.admit
	var hosts []*jobstore.Store
	for i := range 2 {
		hosts = append(hosts, jobstore.New(kv.Client(fmt.Sprint("h", i)), time.Now, slog.New(slog.DiscardHandler), jobstore.Options{}))
	}
	var replacedAt *atomic.Pointer[time.Time]
	var stops []func()
	for range 8 {
		kv.SetFaults(randomStoreFaults(random))
		if len(stops) > 0 && random.IntN(2) == 0 {
			stops[0]()
			stops = stops[1:]
		}
		now := time.Now()
		if replacedAt != nil {
			replacedAt.Store(&now)
		}
		replaced := &atomic.Pointer[time.Time]{}
		replacedAt = replaced
		o := newOptions(t, elector, workers)
		o.Jobs, o.Config.Retention = hosts[random.IntN(2)], time.Hour
		o.ConfirmedFrom = func() time.Time {
			if at := replaced.Load(); at != nil {
				return *at
			}
			return time.Now()
		}
		o.Confirmed = func() bool { return time.Since(o.ConfirmedFrom()) < 8*time.Second }
		o.Confirm = func(context.Context) bool { return replaced.Load() == nil }
		_, stop := startOwner(t, o, "w1", "w2", "w3")
		for range 1 + random.IntN(6) {
			workers.setRandomSilence(random)
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		stops = append(stops, stop)
	}
	kv.SetFaults(memtxn.Faults{})
	workers.endSilence()
	time.Sleep(time.Minute)
	for _, stop := range stops {
		stop()
	}
	assert.DeepEqual(t, workers.unrecorded, []scheduler.TaskID(nil))
	assert.Assert(t, workers.acks > len(jobs))
	for _, job := range jobs {
		assert.Assert(t, workers.recorded(scheduler.TaskID{Job: job, Occurrence: 1, Step: 1, Index: 2}), "%s has not ended", job)
	}
}

func (a *ackedWorkers) setRandomSilence(random *rand.Rand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[fmt.Sprint("w", 1+random.IntN(3))] = random.IntN(2) == 0
}

func (a *ackedWorkers) endSilence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.silent)
}

// randomStoreFaults returns faults of all clients but that which accepts jobs and elects owners.
func randomStoreFaults(random *rand.Rand) memtxn.Faults {
	outcomes := []memtxn.Outcome{
		memtxn.Serve, memtxn.Serve, memtxn.Refuse, memtxn.LoseRequest, memtxn.LoseAnswer, memtxn.ApplyLate, memtxn.Hang,
	}
	plan := rand.New(rand.NewPCG(random.Uint64(), 2)) // guarded by the store's lock
	share, rejectsWrites := 1+random.IntN(len(outcomes)), random.IntN(3) == 0
	return memtxn.Faults{
		Delay: time.Duration(random.IntN(300)) * time.Millisecond, LateBy: time.Duration(random.IntN(4000)) * time.Millisecond,
		Plan: func(client string, call memtxn.Call) memtxn.Outcome {
			switch {
			case client == "elector":
				return memtxn.Serve
			case rejectsWrites:
				return lo.Ternary(call == memtxn.CallCommit, memtxn.Refuse, memtxn.Serve)
			}
			return outcomes[plan.IntN(share)]
		},
	}
}
