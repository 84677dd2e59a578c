package scheduler_test

import (
	"math"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"google.golang.org/protobuf/proto"
)

// simOwner carries out the actions of a pool as a real owner would.
type simOwner struct {
	sim   *sim
	pool  *scheduler.Pool
	fence uint64
	dead  bool
	// lanes keep the orders to one worker about one task in turn.
	lanes map[laneKey][]scheduler.Order
	wake  int64
	// born holds the lifetimes that the registry has shown.
	born map[string]int64
	// doubt is set from a hold without an answer to the next one with it.
	doubt map[string]bool
}

type laneKey struct {
	worker string
	task   scheduler.TaskID
}

// takeOver starts an owner with a higher fence from what is durable.
func (s *sim) takeOver() {
	s.fence += 3
	if s.owner != nil {
		s.owner.dead = true
	}
	cfg := simConfig
	cfg.Fence = s.fence
	o := &simOwner{sim: s, pool: scheduler.New(cfg), fence: s.fence, lanes: map[laneKey][]scheduler.Order{}, born: map[string]int64{}, doubt: map[string]bool{}}
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
		if pr := s.progress[id]; pr != nil {
			progress = append(progress, pr)
		}
		if j.cancelledAt > 0 {
			cancelled = append(cancelled, id)
		}
	}
	s.trace("EVENT takeover %d", s.fence)
	o.pool.SetQueues(s.time(), simQueues)
	o.pool.Load(s.time(), jobs, progress, cancelled)
	s.tellEvacuations()
	o.registry()
	for _, w := range s.workers {
		o.hold(w)
	}
}

// input hands something to the pool and carries out what follows.
func (o *simOwner) input(do func(p *scheduler.Pool)) {
	if o.dead {
		return
	}
	do(o.pool)
	o.step()
}

func (o *simOwner) step() {
	s := o.sim
	a := o.pool.Step(s.time())
	for _, order := range a.Orders {
		s.check.ordered(order)
		key := laneKey{order.Worker, order.Task}
		o.lanes[key] = append(o.lanes[key], order)
		if len(o.lanes[key]) == 1 {
			o.send(key)
		}
	}
	for _, d := range a.Decisions {
		if d.Kind == scheduler.DecisionPreempted {
			s.preempted++
		}
		s.trace("owner %d decides %+v", o.fence, d)
	}
	for _, id := range a.Poll {
		o.poll(s.byID[id])
	}
	for _, r := range a.Advice {
		o.advise(r)
	}
	for _, r := range a.Records {
		o.record(r)
	}
	for _, id := range s.jobIDs {
		if s.jobs[id].accepted {
			s.check.shown(s.jobs[id], o.pool.State(id))
		}
	}
	if !a.Wake.IsZero() {
		at := max(a.Wake.UnixMilli()-simEpoch, s.now+1)
		if o.wake <= s.now || at < o.wake {
			o.wake = at
			s.after(at-s.now, func() { o.input(func(*scheduler.Pool) {}) })
		}
	}
}

// advise answers for the policy service: it permits two workers of three.
func (o *simOwner) advise(r scheduler.AdviceRequest) {
	s := o.sim
	a := scheduler.Advice{
		Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Asked: r.Workers, Tickets: map[string]string{}, ValidFor: 3 * time.Second,
	}
	a.Failed = s.faulty() && s.chance(s.f.lostAnswers)
	for _, id := range r.Workers {
		if w := s.byID[id]; w.permitted(r.Job) {
			a.Tickets[id] = w.ticket(r.Job, r.Step)
		}
	}
	s.after(20+5*int64(len(r.Workers)), func() {
		o.input(func(p *scheduler.Pool) { p.Advised(s.time(), a) })
	})
}

func (o *simOwner) record(r scheduler.Record) {
	s := o.sim
	pr := proto.Clone(r.Progress).(*pb.JobProgress)
	if s.faulty() && s.chance(s.f.lostRecords) {
		return
	}
	s.after(5+s.rng.Int64N(30), func() {
		if o.dead || s.owner != o {
			return
		}
		s.progress[pr.GetId()] = pr
		s.after(s.rng.Int64N(10), func() {
			o.input(func(p *scheduler.Pool) { p.Recorded(s.time(), pr.GetId(), r.Version) })
		})
	})
}

// send carries the first order of a lane; the next follows after its answer.
func (o *simOwner) send(key laneKey) {
	s := o.sim
	order := o.lanes[key][0]
	w := s.byID[order.Worker]
	answer := func(outcome scheduler.Outcome, clock int64) {
		o.lanes[key] = o.lanes[key][1:]
		s.trace("answer %+v %v", order, outcome)
		if len(o.lanes[key]) > 0 && !o.dead {
			o.send(key)
		}
		if s.naive && outcome == scheduler.OutcomeUnknown {
			outcome = scheduler.OutcomeNotSent
		}
		o.input(func(p *scheduler.Pool) {
			p.Result(s.time(), scheduler.OrderResult{Order: order, Outcome: outcome, Clock: clock})
		})
	}
	sentAt, sentTo := s.now, w.born
	execute := func() (scheduler.Outcome, int64) {
		switch {
		case !w.up:
			return scheduler.OutcomeUnknown, 0
		case !w.meant(order.Born):
			return scheduler.OutcomeGone, 0
		case order.Kind == scheduler.OrderStart:
			return w.start(o.fence, order), w.clock()
		case order.Kind == scheduler.OrderStop:
			s.check.stopped(w, order, s.now-sentAt)
			return w.stop(o.fence, order), w.clock()
		}
		return scheduler.OutcomeDone, w.clock()
	}
	timeout := func() { answer(scheduler.OutcomeUnknown, 0) }
	switch {
	case s.cut[w.id], s.faulty() && s.chance(s.f.lostCalls):
		s.after(500, timeout)
	case s.faulty() && s.chance(s.f.lateCalls):
		s.after(s.rng.Int64N(8000), func() {
			if w.born == sentTo { // a connection ends with its lifetime
				execute()
			}
		})
		s.after(500, timeout)
	case s.faulty() && s.chance(s.f.lostAnswers):
		s.after(3, func() { execute() })
		s.after(500, timeout)
	default:
		s.after(1+s.rng.Int64N(5), func() {
			outcome, clock := execute()
			s.after(1+s.rng.Int64N(20), func() { answer(outcome, clock) })
		})
	}
}

// hold keeps calling one worker, waiting at most a second for an end.
func (o *simOwner) hold(w *simWorker) {
	s := o.sim
	if o.dead {
		return
	}
	h := o.pool.Hold(w.id, s.time())
	if o.doubt[w.id] {
		h.LastSeen = 0
	}
	o.doubt[w.id] = true
	sent := s.time()
	expected := o.born[w.id]
	again := func(ms int64) { s.after(ms, func() { o.hold(w) }) }
	lost := s.cut[w.id] || !w.up || s.faulty() && s.chance(s.f.lostCalls)
	if lost {
		if s.naive {
			o.input(func(p *scheduler.Pool) {
				p.Report(s.time(), scheduler.Report{Worker: w.id, Sent: sent, Received: s.time(), Gone: true})
			})
		}
		again(1000)
		return
	}
	deadline := s.now + 1000
	var poll func()
	poll = func() {
		if !w.up || s.cut[w.id] {
			again(1000)
			return
		}
		if len(w.ended) == 0 && s.now < deadline && h.LastSeen != 0 {
			s.after(20, poll)
			return
		}
		rep := o.answer(w, h, expected)
		rep.Sent = sent
		if s.faulty() && s.chance(s.f.lostAnswers) {
			again(1000)
			return
		}
		s.after(1+s.rng.Int64N(30), func() {
			rep.Received = s.time()
			o.doubt[w.id] = false
			o.input(func(p *scheduler.Pool) { p.Report(s.time(), rep) })
			again(20)
		})
	}
	s.after(1+s.rng.Int64N(5), poll)
}

// poll holds a worker once beside the waiting hold; the two may overtake each other. It acknowledges nothing, as another
// lifetime may answer.
func (o *simOwner) poll(w *simWorker) {
	s := o.sim
	h := o.pool.Hold(w.id, s.time())
	h.LastSeen = 0
	sent := s.time()
	expected := o.born[w.id]
	s.after(1+s.rng.Int64N(20), func() {
		if !w.up || s.cut[w.id] {
			return
		}
		rep := o.answer(w, h, expected)
		rep.Sent = sent
		s.after(1+s.rng.Int64N(100), func() {
			rep.Received = s.time()
			o.input(func(p *scheduler.Pool) { p.Report(s.time(), rep) })
		})
	})
}

// answer is what the worker says to a hold that names the lifetime it expects.
func (o *simOwner) answer(w *simWorker, h scheduler.Hold, expected int64) scheduler.Report {
	if !w.meant(expected) {
		return scheduler.Report{Worker: w.id, Born: expected, Gone: true}
	}
	return w.hold(o.fence, h)
}

// registry shows the workers to the owner from time to time, a little late.
func (o *simOwner) registry() {
	s := o.sim
	if o.dead {
		return
	}
	var ws []scheduler.Worker
	for _, w := range s.workers {
		if !w.up && s.chance(0.5) {
			continue
		}
		x := scheduler.Worker{
			ID: w.id, Address: w.id, Rack: w.rack, Labels: []string{w.rack}, Capacity: w.capacity, Born: w.born, Draining: w.draining,
		}
		if w.draining {
			x.DrainLeft = 2e9
			if s.drainKnown[w.id] == math.MaxInt64 {
				s.drainKnown[w.id] = s.now
			}
		}
		ws = append(ws, x)
		o.born[w.id] = w.born
	}
	o.input(func(p *scheduler.Pool) { p.SetWorkers(s.time(), slices.Clone(ws)) })
	s.after(500, o.registry)
}
