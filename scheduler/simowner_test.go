package scheduler_test

import (
	"maps"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"google.golang.org/protobuf/proto"
)

// simOwner carries out the actions of a pool as a real owner would.
type simOwner struct {
	sim      *sim
	pool     *scheduler.Pool
	fence    uint64
	replaced bool
	// orderQueues serialize the orders to one worker about one task.
	orderQueues map[orderQueueKey][]scheduler.Order
	wakeAt      int64
	// incarnations holds the incarnations that the registry has listed.
	incarnations map[string]int64
	// inheritedSeals are the recorded seals of workers that have not been listed yet.
	inheritedSeals map[string]scheduler.SealedWorker
	// sealsHeld means that the pool may have sealed workers.
	sealsHeld bool
	// outlives means that the owner goes on after the next one has begun, until it is fenced. reachesAll means that the partitions
	// do not concern it then.
	outlives, reachesAll bool
	// stalledUntil is when the owner's process runs again.
	stalledUntil int64
	// unconfirmed is set from a hold without an answer until the next answer.
	unconfirmed map[string]bool
	// answeredBy holds the incarnations that have answered last.
	answeredBy map[string]int64
	// storedVersions holds the versions of the progress that this owner has stored.
	storedVersions map[string]uint64
	// confirmedFrom is the start of the last call that found this owner's fence in the pool's key. confirming means that one is under way.
	confirmedFrom time.Time
	confirming    bool
}

type orderQueueKey struct {
	worker string
	task   scheduler.TaskID
}

// startOwner starts an owner with a higher fencing token from the durable state.
func (s *sim) startOwner() {
	s.fence += 3
	if s.owner != nil && !s.owner.outlives {
		s.owner.replaced = true
	}
	cfg := s.config()
	if s.faults.overlap {
		cfg.UnconfirmedLease = time.Second
	}
	cfg.Fence = s.fence
	o := &simOwner{sim: s, pool: scheduler.New(cfg), fence: s.fence, orderQueues: map[orderQueueKey][]scheduler.Order{}, incarnations: map[string]int64{}, unconfirmed: map[string]bool{}, answeredBy: map[string]int64{}, storedVersions: map[string]uint64{}, inheritedSeals: maps.Clone(s.durableSeals)}
	s.owner = o
	var jobs []*pb.JobRecord
	var progress []*pb.JobProgress
	var cancelled []string
	for _, id := range s.jobIDs {
		j := s.jobs[id]
		if !j.accepted {
			continue
		}
		jobs = append(jobs, j.rec)
		if pr := s.durableProgress[id]; pr != nil {
			progress = append(progress, pr)
		}
		if j.cancelledAt > 0 {
			cancelled = append(cancelled, id)
		}
	}
	s.trace("EVENT takeover %d", s.fence)
	o.acquireKey()
	o.pool.SetQueues(s.time(), simQueues)
	if s.load != nil {
		o.pool.SetWorkspaces(s.time(), s.load.workspaces)
		o.pool.SetOrder(s.load.order)
	}
	o.pool.Load(s.time(), jobs, progress, cancelled)
	o.pool.SetWorkspaceLimits(s.time(), s.limits)
	s.updateEvacuations()
	o.updateRegistry()
	o.recordSeals()
	for _, w := range s.workers {
		o.hold(w)
	}
}

// handle passes an input to the pool and carries out the resulting actions.
func (o *simOwner) handle(do func(p *scheduler.Pool)) {
	if o.replaced || o.waitUntilRunning(func() { o.handle(do) }) {
		return
	}
	do(o.pool)
	o.step()
}

func (o *simOwner) step() {
	s := o.sim
	a := o.pool.Step(s.time())
	o.replaced = o.replaced || a.Fenced && o.outlives
	for _, order := range a.Orders {
		o.checkOrder(order)
		key := orderQueueKey{order.Worker, order.Task}
		o.orderQueues[key] = append(o.orderQueues[key], order)
		if len(o.orderQueues[key]) == 1 {
			o.send(key)
		}
	}
	for _, d := range a.Decisions {
		if d.Kind == scheduler.DecisionPreempted {
			s.preemptedRuns++
		}
		if d.Kind == scheduler.DecisionGivenUp {
			s.checker.givenUp[d.Task] = true
		}
		if s.onDecision != nil {
			s.onDecision(d)
		}
		s.trace("owner %d decides %+v", o.fence, d)
	}
	for _, id := range a.Poll {
		o.poll(s.byID[id])
	}
	for _, r := range a.Advice {
		o.answerAdvice(r)
	}
	o.lookUp(a.Lookups)
	if a.Confirm {
		o.confirm()
	}
	for _, r := range a.Records {
		o.storeRecord(r)
	}
	o.checkStates()
	if !a.Wake.IsZero() {
		at := max(a.Wake.UnixMilli()-simEpoch, s.now+1)
		if o.wakeAt <= s.now || at < o.wakeAt {
			o.wakeAt = at
			s.after(at-s.now, func() { o.handle(func(*scheduler.Pool) {}) })
		}
	}
}

// lookUp looks up jobs that the owner does not know.
func (o *simOwner) lookUp(ids []string) {
	for _, id := range ids {
		if j := o.sim.jobs[id]; j == nil || !j.accepted {
			o.sim.after(5, func() { o.handle(func(p *scheduler.Pool) { p.MarkAbsent(id) }) })
		}
	}
}

// answerAdvice answers for the policy service, which permits about two workers in three.
func (o *simOwner) answerAdvice(r scheduler.AdviceRequest) {
	s := o.sim
	a := scheduler.Advice{
		Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Asked: r.Workers, Tickets: map[string]string{}, ValidFor: 3 * time.Second,
	}
	a.Failed = s.faultsActive() && s.chance(s.faults.lostAnswers)
	for _, id := range r.Workers {
		if w := s.byID[id]; w.permitted(r.Job) {
			a.Tickets[id] = w.ticket(r.Job, r.Step)
		}
	}
	s.after(20+5*int64(len(r.Workers)), func() {
		o.handle(func(p *scheduler.Pool) { p.ApplyAdvice(s.time(), a) })
	})
}

func (o *simOwner) storeRecord(r scheduler.Record) {
	s := o.sim
	pr := proto.Clone(r.Progress).(*pb.JobProgress)
	s.trace("owner %d records %s version %d state %v", o.fence, pr.GetId(), r.Version, pr.GetState())
	if s.faultsActive() && s.chance(s.faults.lostRecords) {
		return
	}
	s.after(s.recordDelay+5+s.rng.Int64N(30), func() {
		if o.replaced || s.owner != o || !o.hasKey() {
			return
		}
		if r.Version > o.storedVersions[pr.GetId()] { // a write that is overtaken by a newer one fails
			s.trace("durable %s version %d of owner %d", pr.GetId(), r.Version, o.fence)
			o.storedVersions[pr.GetId()], s.durableProgress[pr.GetId()] = r.Version, pr
		}
		s.after(s.rng.Int64N(10), func() {
			o.handle(func(p *scheduler.Pool) { p.Recorded(s.time(), pr.GetId(), r.Version) })
		})
	})
}

// send sends the first order of a queue. The next one follows after the answer.
func (o *simOwner) send(key orderQueueKey) {
	s := o.sim
	order := o.orderQueues[key][0]
	w := s.byID[order.Worker]
	answer := func(outcome scheduler.Outcome, clock int64) {
		o.orderQueues[key] = o.orderQueues[key][1:]
		s.trace("answer %+v %v", order, outcome)
		if len(o.orderQueues[key]) > 0 && !o.replaced {
			o.send(key)
		}
		if s.naive && outcome == scheduler.OutcomeUnknown {
			outcome = scheduler.OutcomeNotSent
		}
		o.handle(func(p *scheduler.Pool) {
			p.Result(s.time(), scheduler.OrderResult{Order: order, Outcome: outcome, Clock: clock})
		})
	}
	sentAt, sentToIncarnation := s.now, w.incarnation
	execute := func() (scheduler.Outcome, int64) { return o.execute(w, order, sentAt) }
	timeout := func() { answer(scheduler.OutcomeUnknown, 0) }
	switch {
	case !w.up && !s.faults.refuses, o.cutOff(w), s.faultsActive() && s.chance(s.faults.lostCalls):
		s.after(500, timeout)
	case s.faultsActive() && s.chance(s.faults.lateCalls):
		s.after(s.rng.Int64N(8000), func() {
			if w.incarnation == sentToIncarnation || order.Kind != scheduler.OrderStart { // starts: see EVIDENCE.md, "Open"
				execute()
			}
		})
		s.after(500, timeout)
	case s.faultsActive() && s.chance(s.faults.lostAnswers):
		s.after(3, func() { execute() })
		s.after(500, timeout)
	default:
		s.after(1+s.rng.Int64N(5), func() {
			outcome, clock := execute()
			s.after(1+s.rng.Int64N(20), func() { answer(outcome, clock) })
		})
	}
}

// execute has the worker carry out an order that was sent at the given time.
func (o *simOwner) execute(w *simWorker, order scheduler.Order, sentAt int64) (scheduler.Outcome, int64) {
	s := o.sim
	switch {
	case !w.up && s.faults.refuses:
		return scheduler.OutcomeNotSent, 0
	case !w.up:
		return scheduler.OutcomeUnknown, 0
	case !w.matchesIncarnation(order.Born):
		return scheduler.OutcomeGone, 0
	case order.Kind == scheduler.OrderStart:
		return w.start(order), w.clock()
	case order.Kind == scheduler.OrderStop:
		if order.Fence >= w.fence { // others have no effect
			s.checker.checkStop(w, order, s.now-sentAt)
		}
		return w.stop(order), w.clock()
	}
	return scheduler.OutcomeDone, w.clock()
}

// nextHold returns the next hold of a worker, and whether the worker may wait for an end. An acknowledgement is bound to a connection,
// which ends with its incarnation.
func (o *simOwner) nextHold(w *simWorker) (h scheduler.Hold, waits bool) {
	if o.unconfirmed[w.id] || o.answeredBy[w.id] != w.incarnation {
		h = o.pool.Poll(w.id, o.sim.time())
	} else {
		h = o.pool.Hold(w.id, o.sim.time())
	}
	waits = h.Until != 0 && h.LastSeen == 0
	o.unconfirmed[w.id] = true
	return h, waits
}

// hold keeps holding one worker, and waits at most a second for a run to end.
func (o *simOwner) hold(w *simWorker) {
	s := o.sim
	if o.replaced || o.waitUntilRunning(func() { o.hold(w) }) {
		return
	}
	h, waits := o.nextHold(w)
	sent := s.time()
	expected := o.incarnations[w.id]
	holdAgain := func(ms int64) { s.after(ms, func() { o.hold(w) }) }
	lost := o.cutOff(w) || !w.up || s.faultsActive() && s.chance(s.faults.lostCalls)
	if lost {
		o.loseHold(w, h)
		holdAgain(o.delayAfterLostHold(w))
		return
	}
	c := &simHold{owner: o, worker: w, hold: h, waits: waits, sent: sent, expected: expected, deadline: s.now + 1000}
	c.sleeps = s.faults.revocations && s.chance(s.faults.sleepyHolds)
	s.after(1+s.rng.Int64N(5), c.poll)
}

// respond returns the worker's response to a hold that names the expected incarnation.
func (o *simOwner) respond(w *simWorker, h scheduler.Hold, expected int64) scheduler.Report {
	if !w.matchesIncarnation(expected) {
		return scheduler.Report{Worker: w.id, Address: w.id, Gone: true}
	}
	return w.hold(h)
}
