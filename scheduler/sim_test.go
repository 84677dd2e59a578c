package scheduler_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
	"google.golang.org/protobuf/proto"
)

const (
	simAttempts = 3
	simEpoch    = 1_000_000_000
	// simStartup is the time in ms that a persistent task takes to become available.
	simStartup = 300
)

var simConfig = scheduler.Config{
	Lease: 4 * time.Second, MaxLease: 5 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second,
	Early: 250 * time.Millisecond, Retention: 10 * time.Minute, CrossRackFactor: 3, SaveInterval: time.Second,
	RestoreTime: 600 * time.Millisecond, Notice: 4500 * time.Millisecond, PaceDelay: 100 * time.Millisecond,
	HarmTime: 4 * time.Second, DrainTime: 2 * time.Second,
}

// faults are the faults of a simulation, as shares of calls and numbers of events.
type faults struct {
	lostCalls, lostAnswers, lateCalls        float64
	failing                                  float64
	crashes, takeovers, partitions, drains   int
	evacuations                              int
	failingWorker, hangingWorker, slowWorker bool
	lostRecords                              float64
	// refuses means that the address of a worker that is down refuses connections, so that its end is noticed early.
	refuses bool
	// overlap means that owners go on after they were replaced, until a worker fences them or their leases end. stalls is the number
	// of times that an owner's process stands still. lateHolds is the share of holds that are carried out, or answered, late.
	overlap   bool
	stalls    int
	lateHolds float64
	// revocations means that owners confirm the ownership by calls, and that takeovers begin with the loss of the pool's key, of which
	// the owner is not told. A hold then takes effect when it arrives, and sleepyHolds is the share of those that do not wake for an end.
	revocations bool
	sleepyHolds float64
	// resizes is the number of changes of the capacity of running workers. With any, each incarnation has its own.
	resizes int
}

type event struct {
	at  int64
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim simulates one pool in virtual time, in ms.
type sim struct {
	rng    *rand.Rand
	now    int64
	seq    int
	events eventHeap
	faults faults
	// naive makes the owner treat missing answers as failures.
	naive           bool
	faultsEnd       int64
	workers         []*simWorker
	byID            map[string]*simWorker
	jobs            map[string]*simJob
	jobIDs          []string
	durableProgress map[string]*pb.JobProgress
	// durableSeals is the record of the sealed workers, adoptedSeals the number of those that owners took over.
	durableSeals map[string]scheduler.SealedWorker
	adoptedSeals int
	// sealRNG draws the delays of that record, so that the other draws of a seed do not depend on it.
	sealRNG       *rand.Rand
	partitioned   map[string]bool
	drainListedAt map[string]int64
	// recordedBorn are the incarnations in the roster, recordedUnsettled and recordedMayForget the workers that are marked there.
	recordedBorn                         map[string]int64
	recordedUnsettled, recordedMayForget map[string]bool
	owner                                *simOwner
	// keyHolder is the owner whose fence is in the pool's key, with faults.revocations.
	keyHolder  *simOwner
	checker    *checker
	evacuating map[string]bool
	fence      uint64
	// load is set if the simulation measures an order.
	load *simLoad
	// rebootMs is the time in ms for which a worker is down after a crash under a task.
	rebootMs int64
	// onCrash, if set, is called before a worker crashes under a task, and onDecision for each decision of an owner.
	onCrash    func(*simWorker)
	onDecision func(scheduler.Decision)
	// preemptedRuns counts the preemptions.
	preemptedRuns int
	// longLeases makes leases last so long that silent workers outlast several owners.
	longLeases bool
	// endsPerReport limits the ends in one report, 0 means the default. recordDelay is how much longer records take, in ms.
	endsPerReport int
	recordDelay   int64
	// limits holds the limits of the workspaces.
	limits map[string]scheduler.Resources
}

type simJob struct {
	id          string
	rec         *pb.JobRecord
	accepted    bool
	cancelledAt int64
	lastShown   pb.JobState
	// shownAt is when lastShown was first shown.
	shownAt     int64
	alwaysFails bool
	// crashing tasks crash each worker that starts them, crashAfter ms after the start.
	crashing   map[scheduler.TaskID]bool
	crashAfter int64
}

func (j *simJob) due(occurrence int) int64 {
	if j.rec.GetSpec().GetRepeatCount() == 0 {
		return 0
	}
	return j.rec.GetSpec().GetStartAtMs() - simEpoch + int64(occurrence)*j.rec.GetSpec().GetIntervalMs()
}

func (j *simJob) persistent() bool { return j.rec.GetSpec().GetSteps()[0].GetPersistent() }

func (j *simJob) eachTask(do func(scheduler.TaskID, *pb.JobStep)) {
	for k := range max(1, j.rec.GetSpec().GetRepeatCount()) {
		for s, step := range j.rec.GetSpec().GetSteps() {
			for i := range step.GetCount() {
				do(scheduler.TaskID{Job: j.id, Occurrence: int(k), Step: s, Index: int(i)}, step)
			}
		}
	}
}

func newSim(seed uint64, workers int, f faults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), sealRNG: rand.New(rand.NewPCG(seed, 3)), faults: f, byID: map[string]*simWorker{}, jobs: map[string]*simJob{},
		durableProgress: map[string]*pb.JobProgress{}, partitioned: map[string]bool{}, drainListedAt: map[string]int64{}, fence: 10,
		recordedBorn: map[string]int64{}, recordedUnsettled: map[string]bool{}, recordedMayForget: map[string]bool{},
		evacuating: map[string]bool{}, rebootMs: 3000,
	}
	s.checker = newChecker(s)
	for i := range workers {
		w := &simWorker{
			sim: s, id: fmt.Sprintf("w%02d", i), rack: fmt.Sprintf("r%d", i%2), speed: 1, clockRate: 1 - 0.02*s.rng.Float64(),
			capacity: scaledCapacity(1), incarnationsAlike: i%2 == 1,
		}
		w.boot()
		s.workers = append(s.workers, w)
		s.byID[w.id] = w
	}
	return s
}

func (s *sim) after(ms int64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + ms, s.seq, do})
}

func (s *sim) chance(share float64) bool { return s.rng.Float64() < share }
func (s *sim) faultsActive() bool        { return s.now < s.faultsEnd }

// faultsSettled reports whether no fault can still have an effect.
func (s *sim) faultsSettled() bool {
	return s.now > s.faultsEnd+20_000 || s.faults == faults{}
}

func (s *sim) time() time.Time { return time.UnixMilli(simEpoch + s.now) }

// run runs the simulation until end. Faults stop at faultsEnd.
func (s *sim) run(faultsEnd, end int64) []string {
	const tick = 10
	s.faultsEnd = faultsEnd
	s.startOwner()
	s.scheduleFaults(faultsEnd)
	var tickAll func()
	tickAll = func() {
		for _, w := range s.workers {
			w.tick(tick)
		}
		s.after(tick, tickAll)
	}
	s.after(0, tickAll)
	for s.now <= end && len(s.checker.violations) == 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	if len(s.checker.violations) == 0 {
		s.checker.checkFinal()
	}
	return s.checker.violations
}

// scheduleFaults draws the times of the faults.
func (s *sim) scheduleFaults(faultsEnd int64) {
	scheduleN := func(n int, do func()) {
		for range n {
			s.after(s.rng.Int64N(faultsEnd-1000), do)
		}
	}
	pick := func() *simWorker { return s.workers[s.rng.IntN(len(s.workers))] }
	scheduleN(s.faults.crashes, func() {
		w := pick()
		if w.up {
			w.crash()
			s.after(200+s.rng.Int64N(3000), w.boot)
		}
	})
	scheduleN(s.faults.takeovers, func() {
		s.owner.end()
		s.after(s.takeoverDelay(), s.startOwner)
	})
	scheduleN(s.faults.stalls, func() {
		s.owner.stalledUntil = max(s.owner.stalledUntil, s.now+200+s.rng.Int64N(7000))
	})
	scheduleN(s.faults.partitions, func() {
		w := pick()
		s.partitioned[w.id] = true
		s.after(500+s.rng.Int64N(9000), func() { s.partitioned[w.id] = false })
	})
	scheduleN(s.faults.drains, func() {
		w := pick()
		if w.draining || !w.up {
			return
		}
		w.draining = true
		s.drainListedAt[w.id] = math.MaxInt64
		s.after(6000, func() {
			w.crash()
			w.draining = false
			s.after(1000, w.boot)
		})
	})
	scheduleN(s.faults.resizes, func() { pick().resize(0.3 + 0.7*s.rng.Float64()) })
	scheduleN(s.faults.evacuations, func() { s.evacuateWorker(pick()) })
	if s.faults.failingWorker {
		w := pick()
		s.after(0, func() { w.failsAll = true })
		s.after(faultsEnd, func() { w.failsAll = false })
	}
	if s.faults.slowWorker {
		w := pick()
		w.speed = 0.2
		s.after(faultsEnd, func() { w.speed = 1 })
	}
	if s.faults.hangingWorker {
		w := pick()
		s.after(0, func() { w.hangs = true })
		s.after(faultsEnd, func() { w.hangs = false })
	}
}

func (s *sim) newRun(w *simWorker, o scheduler.Order) *simRun {
	j := s.jobs[o.Task.Job]
	step := j.rec.GetSpec().GetSteps()[o.Task.Step]
	r := &simRun{sim: s, task: o.Task, run: o.Run, step: step, startedAt: s.now, checkpoint: o.Checkpoint}
	r.workDone = workSavedIn(o.Checkpoint)
	r.savedWork = r.workDone
	if s.load != nil {
		r.workNeeded = s.load.durations[o.Task]
		if a := step.GetAffinity(); a != "" && a != w.rack {
			r.workNeeded *= simConfig.CrossRackFactor
		}
		return r
	}
	r.workNeeded = float64(step.GetEstimateMs()) * (0.6 + 0.8*s.rng.Float64())
	r.workNeeded = max(r.workNeeded, r.workDone+1)
	r.fails = j.alwaysFails || s.faultsActive() && (w.failsAll || s.chance(s.faults.failing))
	r.hangs = w.hangs && s.faultsActive()
	r.crashes, r.crashAfter = j.crashing[o.Task], j.crashAfter
	if r.fails {
		r.workNeeded = r.workDone + (r.workNeeded-r.workDone)/4
	}
	return r
}

// addJob submits a job at the given time.
func (s *sim) addJob(at int64, spec *pb.JobSpec) *simJob {
	id := fmt.Sprintf("j%03d", len(s.jobIDs))
	spec.Payload = "payload of " + id
	j := &simJob{id: id, rec: &pb.JobRecord{Id: id, Queue: "q", Pool: "p", Spec: spec, AcceptedMs: simEpoch + at}}
	s.jobs[id] = j
	s.jobIDs = append(s.jobIDs, id)
	s.after(at, func() { s.submit(j) })
	return j
}

// submit accepts the job, unless the load rejects it; its caller then submits it again later.
func (s *sim) submit(j *simJob) {
	if s.load != nil {
		if retryAfter := s.load.rejects(j); retryAfter > 0 {
			s.after(retryAfter, func() { s.submit(j) })
			return
		}
		j.rec.AcceptedMs = simEpoch + s.now
	}
	j.accepted = true
	s.after(s.rng.Int64N(50), func() { s.owner.handle(func(p *scheduler.Pool) { p.Add(s.time(), j.rec) }) })
	s.after(2000, func() { s.owner.handle(func(p *scheduler.Pool) { p.Add(s.time(), j.rec) }) })
}

func (s *sim) cancelJob(at int64, j *simJob) {
	s.after(at, func() {
		if !j.accepted || j.lastShown == pb.JobState_JOB_STATE_COMPLETED || j.lastShown == pb.JobState_JOB_STATE_FAILED {
			return
		}
		j.cancelledAt = s.now
		by := jobstate.Requester{Workspace: j.rec.GetWorkspace()}
		cancel := func() { s.owner.handle(func(p *scheduler.Pool) { p.CancelBy(s.time(), j.id, by) }) }
		cancel()
		s.after(2000, cancel)
	})
}

// gangComplete reports whether all members of the attempt are running.
func (s *sim) gangComplete(r *simRun) bool { return len(s.members(r)) == int(r.step.GetCount()) }

func (s *sim) members(r *simRun) map[*simRun]*simWorker {
	out := map[*simRun]*simWorker{}
	for _, w := range s.workers {
		for _, x := range w.running {
			if x.run == r.run && x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.task.Occurrence == r.task.Occurrence {
				out[x] = w
			}
		}
	}
	return out
}

// endGangAttempt ends the other members of an attempt; they succeed if one has succeeded.
func (s *sim) endGangAttempt(r *simRun, how scheduler.RunEnd) {
	rest := s.members(r)
	order := slices.SortedFunc(maps.Keys(rest), func(a, b *simRun) int { return a.task.Index - b.task.Index })
	for _, x := range order {
		if how == scheduler.EndSucceeded {
			x.workNeeded = x.workDone
			rest[x].endMember(x, scheduler.EndSucceeded)
			continue
		}
		rest[x].endMember(x, scheduler.EndBroken)
	}
}

func (w *simWorker) endMember(r *simRun, how scheduler.RunEnd) {
	gangStep := r.step
	r.step = proto.Clone(gangStep).(*pb.JobStep)
	r.step.Gang = false
	w.end(r, how)
}
