package scheduler

import (
	"slices"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
)

// runCounterBits leaves room below the fence for the numbers of one owner's runs.
const runCounterBits = 20

// Pool decides for the owner of one pool.
//
// Invariants:
//   - Mutual exclusion: a task has at most one run that may execute, unless its step is speculative.
//   - Capacity: what may execute on a worker, whether seen or not, fits into it.
//   - Durability: an end that changes a job is acknowledged, and an ended state shown, only once its record is durable.
//   - Fencing: run numbers rise within an owner and from owner to owner.
type Pool struct {
	cfg      Config
	queues   map[string]queue.Queue
	enforces bool

	workers map[string]*worker
	// order holds the workers by id.
	order []*worker

	jobs    map[string]*job
	counter int64
	// counterMark tells reports apart.
	counterMark int64
	// restoring is set while what an earlier owner recorded is taken over: it is not decided anew.
	restoring bool
	fenced    bool

	takeover takeover
	// earlyCancels are cancellations of jobs that are not known yet; forgotten keeps a job from being taken twice.
	earlyCancels map[string]time.Time
	forgotten    map[string]time.Time
	lastSweep    time.Time
	forgetAt     time.Time
	// orphans are runs of jobs that are not known, by job.
	orphans map[string][]*run
	pending map[string]int
	ended   []*job

	// open holds the steps with tasks that wait for a worker.
	open []*step
	// repeating holds the jobs with occurrences to come.
	repeating []*job
	dirty     []*job
	// attention holds runs that need something done by a time.
	attention []*run
	place     bool
	placeAt   time.Time
	placedAt  time.Time
	// busy is the share of the capacity in use at the last placement.
	busy float64

	learned  learned
	evacuate map[string]bool
	// leaving are hosts that may be ordered away, until the first list of what to empty.
	leaving map[string]bool
	// moving holds the steps of persistent tasks that are about to move.
	moving   []*step
	advice   adviceDesk
	arrivals arrivals
	// speculates and fills tell whether such steps have been seen.
	speculates   bool
	speculatedAt time.Time
	// preemptedAt is when runs that give way were last looked for.
	preemptedAt time.Time
	fills       bool
	sending     sending

	out Actions
}

// New returns the decisions of an owner that has just taken over.
func New(cfg Config) *Pool {
	if cfg.Lease <= 0 || cfg.Lease > cfg.MaxLease {
		cfg.Lease = cfg.MaxLease
	}
	return &Pool{
		cfg:          cfg,
		queues:       map[string]queue.Queue{},
		workers:      map[string]*worker{},
		jobs:         map[string]*job{},
		earlyCancels: map[string]time.Time{},
		forgotten:    map[string]time.Time{},
		orphans:      map[string][]*run{},
		pending:      map[string]int{},
		learned:      newLearned(),
		evacuate:     map[string]bool{},
		advice:       newAdviceDesk(),
	}
}

// SetQueues takes the queues of the configuration in force. Queues that are missing stay for the jobs that they brought.
func (p *Pool) SetQueues(now time.Time, queues []queue.Queue) {
	named := make(map[string]bool, len(queues))
	for i := range queues {
		p.queues[queues[i].Name] = queues[i]
		named[queues[i].Name] = true
	}
	p.dropQueues(named)
	p.wakePlacement(now)
}

// dropQueues forgets queues that are not named and have no jobs here.
func (p *Pool) dropQueues(named map[string]bool) {
	if len(named) == len(p.queues) {
		return
	}
	used := map[string]bool{}
	for _, j := range p.jobs {
		used[j.queue] = true
	}
	for name := range p.queues {
		if !named[name] && !used[name] {
			delete(p.queues, name)
			delete(p.learned.work, name)
		}
	}
}

// SetEnforces tells whether workers refuse what does not fit.
func (p *Pool) SetEnforces(enforces bool) {
	p.enforces = enforces
}

// Step returns what follows from the inputs since the last call.
func (p *Pool) Step(now time.Time) Actions {
	if p.fenced {
		decided := p.out.Decisions
		p.out = Actions{}
		return Actions{Fenced: true, Decisions: decided}
	}
	p.checkWorkers(now)
	p.openOccurrences(now)
	p.checkTakeover(now)
	p.checkEvacuation(now)
	p.advice.expire(now)
	p.placeTasks(now)
	p.checkPreemption(now)
	p.checkSpeculation(now)
	p.checkPace(now)
	p.attend(now)
	p.emitRecords(now)
	p.forget(now)
	out := p.out
	p.out = Actions{}
	slices.Sort(out.Poll)
	out.Poll = slices.Compact(out.Poll)
	return out
}

// wake asks for a Step at the time.
func (p *Pool) wake(at time.Time) {
	if p.out.Wake.IsZero() || at.Before(p.out.Wake) {
		p.out.Wake = at
	}
}

// wakePlacement lets the next Step place tasks.
func (p *Pool) wakePlacement(time.Time) {
	p.place = true
}

func (p *Pool) decide(kind string, r *run, reason string) {
	d := Decision{Kind: kind, Task: r.id, Run: r.number, Reason: reason}
	if r.worker != nil {
		d.Worker = r.worker.ID
	}
	p.out.Decisions = append(p.out.Decisions, d)
}

func (p *Pool) nextRun() int64 {
	p.counter++
	return int64(p.cfg.Fence)<<runCounterBits + p.counter
}

func (p *Pool) queueOf(j *job) queue.Queue {
	return p.queues[j.queue]
}

// Pending counts the accepted jobs of a queue for which no task has started.
func (p *Pool) Pending(name string) int {
	return p.pending[name]
}

// State tells the state of a job as callers may see it, UNSPECIFIED if it is not known.
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
