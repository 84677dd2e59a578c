package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/agateturn/agateturn/contention"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
)

// runCounterBits is the number of low bits of a run number that count the runs of one owner; the owner's fencing
// token takes the higher bits.
const runCounterBits = 20

// Pool makes the scheduling decisions for the owner of one pool.
//
// Invariants:
//   - Mutual exclusion: a task has at most one run that may execute, unless its step is speculative.
//   - Capacity: all runs that may execute on a worker, whether reported or not, fit into it together.
//   - Durability: an end that changes a job is acknowledged, and a final state shown, only once its record is
//     durable. A cancellation is shown at once.
//   - Fencing: run numbers increase within an owner and from owner to owner.
type Pool struct {
	cfg Config
	// queueTerms holds the terms of the queues of the configuration in force, and of those that have left it with jobs.
	queueTerms map[string]*terms
	// enforcesCapacity means that workers refuse tasks that do not fit.
	enforcesCapacity bool

	workers map[string]*worker
	// sortedWorkers holds the workers sorted by id.
	sortedWorkers []*worker

	jobs       map[string]*job
	runCounter int64
	// reportSeq is the sequence number of the latest applied list of running tasks.
	reportSeq int64
	// restoring is set while progress recorded by a previous owner is loaded, so that its decisions are not logged
	// again.
	restoring bool
	// incarnations counts the incarnations for which a worker's fence was raised.
	incarnations uint64
	// fenced means that a worker has seen the fencing token of a later owner.
	fenced bool

	takeover takeover
	// hidingWorkers holds the workers whose endsHidden is set, as of the last Step.
	hidingWorkers []*worker
	// confirmedFrom limits the leases; see SetConfirmed.
	confirmedFrom time.Time
	// earlyCancels holds cancellations of jobs that are not known yet. forgotten holds purged jobs, so that they are
	// not added again.
	earlyCancels map[string]earlyCancel
	forgotten    map[string]time.Time
	lastSweepAt  time.Time
	nextPurgeAt  time.Time
	// orphans holds the runs of unknown jobs, by job.
	orphans map[string][]*run
	// unknownJobs holds the ended runs of unknown jobs, by job.
	unknownJobs map[string]*unknownJob
	// pending counts, by queue, the accepted jobs for which no task has started.
	pending map[string]int
	// ended holds the ended jobs that have not been purged.
	ended []*job

	// waitingSteps holds the steps with tasks that wait for a worker.
	waitingSteps []*step
	// repeating holds the jobs that still have occurrences to open.
	repeating []*job
	// openedTasks counts the tasks of the occurrences opened since the last step began.
	openedTasks int
	changedJobs []*job
	// missingRuns holds the runs that a list has proved absent, until the ownership was confirmed since.
	missingRuns []*run
	// lastLostAt is when a run was last lost with its incarnation, zero once the ownership was confirmed since.
	lastLostAt time.Time
	// watchedRuns holds the runs with a stop to order or an unanswered start to resolve.
	watchedRuns     []*run
	placementDue    bool
	nextPlacementAt time.Time
	lastPlacementAt time.Time
	// utilization is the share of the trusted workers' CPU in use at the last call of trustedWorkers.
	utilization float64
	// idleWorkers is the number of trusted workers that run nothing but trials.
	idleWorkers int

	learned       learned
	evacuatingIDs map[string]bool
	// leavingHosts are the hosts set by SetLeavingHosts; they apply until the first call of Evacuate.
	leavingHosts map[string]bool
	// movingSteps holds the steps of persistent tasks that are about to move.
	movingSteps []*step
	advice      adviceTracker
	arrivals    arrivals
	// hasSpeculative is set by the first start of a speculative task, hasBackfill by the first backfill step.
	hasSpeculative    bool
	lastSpeculationAt time.Time
	// lastPreemptionAt is when preemption was last checked.
	lastPreemptionAt time.Time
	hasBackfill      bool
	sendBudget       sendBudget
	// workspaceLimits holds what each workspace may have running in the pool. accounts holds the workspaces with a job in
	// this owner's term, sortedAccounts the same sorted by name.
	workspaceLimits map[string]Resources
	accounts        map[string]*account
	sortedAccounts  []*account
	// heldSteps counts the waiting steps that waited only for their workspaces' limits at the last placement.
	heldSteps int
	// weights are the weights of the workspaces, submitted marks the jobs that exceed them.
	weights   map[string]float64
	submitted contention.Arrivals
	// orderOf returns the positions of waiting steps in the placement order.
	orderOf contention.Ordering
	// trials holds the runs of suspected tasks that are not cleared yet.
	trials []*run
	// pendingTrials holds the suspected tasks whose trial is recorded and has not started.
	pendingTrials []*task
	// strictTrial is the task whose strict trial is due or under way, since strictSince.
	strictTrial *task
	strictSince time.Time
	containment containment

	out Actions
}

// New returns the scheduler of an owner that has just acquired the pool.
func New(cfg Config) *Pool {
	if cfg.Lease <= 0 || cfg.Lease > cfg.MaxLease {
		cfg.Lease = cfg.MaxLease
	}
	cfg.MaxEndsPerReport = cmp.Or(cfg.MaxEndsPerReport, DefaultMaxEndsPerReport)
	return &Pool{
		cfg:           cfg,
		queueTerms:    map[string]*terms{},
		workers:       map[string]*worker{},
		jobs:          map[string]*job{},
		earlyCancels:  map[string]earlyCancel{},
		forgotten:     map[string]time.Time{},
		orphans:       map[string][]*run{},
		unknownJobs:   map[string]*unknownJob{},
		pending:       map[string]int{},
		accounts:      map[string]*account{},
		learned:       newLearned(),
		evacuatingIDs: map[string]bool{},
		advice:        newAdviceTracker(),
		orderOf:       contention.Order,
	}
}

// SetQueues sets the queues of the configuration in force. A missing queue is kept while it has jobs in the
// pool.
func (p *Pool) SetQueues(now time.Time, queues []queue.Queue) {
	named := make(map[string]bool, len(queues))
	for i := range queues {
		p.setQueueTerms(&queues[i])
		named[queues[i].Name] = true
	}
	p.dropQueues(named)
	p.wakePlacement(now)
}

// dropQueues removes queues that are not named and have no jobs in the pool.
func (p *Pool) dropQueues(named map[string]bool) {
	if len(named) == len(p.queueTerms) {
		return
	}
	used := map[string]bool{}
	for _, j := range p.jobs {
		used[j.queue] = true
	}
	for name := range p.queueTerms {
		if !named[name] && !used[name] {
			delete(p.queueTerms, name)
			delete(p.learned.work, name)
		}
	}
}

// SetEnforcesCapacity sets whether workers refuse tasks that do not fit.
func (p *Pool) SetEnforcesCapacity(enforces bool) {
	p.enforcesCapacity = enforces
}

// Step returns the actions that follow from the inputs since the last call.
func (p *Pool) Step(now time.Time) Actions {
	if p.fenced {
		decided := p.out.Decisions
		p.out = Actions{}
		return Actions{Fenced: true, Decisions: decided}
	}
	p.checkWorkers(now)
	p.endConfirmedMissing(now)
	p.checkLossConfirmed(now)
	p.checkArrivals(now)
	p.openOccurrences(now)
	p.checkTakeover(now)
	p.checkEvacuation(now)
	p.advice.expire(now)
	p.checkTrials(now)
	p.checkContainment(now)
	p.placeTasks(now)
	p.checkPreemption(now)
	p.checkSpeculation(now)
	p.checkPace(now)
	p.processWatchedRuns(now)
	p.emitRecords(now)
	p.purgeEndedJobs(now)
	p.requestLookups(now)
	out := p.out
	p.out = Actions{}
	slices.Sort(out.Poll)
	out.Poll = slices.Compact(out.Poll)
	return out
}

// wake requests a Step at the given time.
func (p *Pool) wake(at time.Time) {
	if p.out.Wake.IsZero() || at.Before(p.out.Wake) {
		p.out.Wake = at
	}
}

// wakePlacement makes the next Step place tasks.
func (p *Pool) wakePlacement(time.Time) {
	p.placementDue = true
}

func (p *Pool) addDecision(kind string, r *run, reason string) {
	d := Decision{Kind: kind, Task: r.id, Run: r.number, Reason: reason}
	if r.worker != nil {
		d.Worker = r.worker.ID
	}
	p.out.Decisions = append(p.out.Decisions, d)
}

func (p *Pool) nextRun() int64 {
	p.runCounter++
	return int64(p.cfg.Fence)<<runCounterBits + p.runCounter
}

// Pending returns the number of accepted jobs of a queue for which no task has started.
func (p *Pool) Pending(name string) int {
	return p.pending[name]
}

// State returns the state of a job as callers may see it, or UNSPECIFIED if the job is unknown.
func (p *Pool) State(id string) pb.JobState {
	j := p.jobs[id]
	if j == nil {
		return pb.JobState_JOB_STATE_UNSPECIFIED
	}
	return j.visibleState()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
