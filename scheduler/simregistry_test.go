package scheduler_test

import (
	"maps"
	"math"
	"slices"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// updateRegistry lists the workers to the owner every 500 ms, so that changes arrive late.
func (o *simOwner) updateRegistry() {
	s := o.sim
	if o.replaced || o.waitUntilRunning(o.updateRegistry) {
		return
	}
	var ws []scheduler.Worker
	for _, w := range s.workers {
		// With overlap, the list stands for the roster too, which names all.
		if !w.up && !s.faults.overlap && s.chance(0.5) {
			continue
		}
		x := scheduler.Worker{
			ID: w.id, Address: w.id, Rack: w.rack, Labels: []string{w.rack}, Capacity: w.capacity, Born: w.incarnation, Draining: w.draining,
			RecordedBorn: s.recordedBorn[w.id], RecordedUnsettled: s.recordedUnsettled[w.id], RecordedMayForget: s.recordedMayForget[w.id],
		}
		if w.draining {
			x.DrainLeft = 2e9
			if s.owner == o && s.drainListedAt[w.id] == math.MaxInt64 {
				s.drainListedAt[w.id] = s.now
			}
		}
		ws = append(ws, x)
		o.incarnations[w.id] = w.incarnation
	}
	o.handle(func(p *scheduler.Pool) {
		p.SetWorkers(s.time(), slices.Clone(ws))
		o.adoptSeals(ws)
		o.recordIncarnations(p, ws)
	})
	s.after(500, o.updateRegistry)
}

// reportEnd reports that the worker's incarnation has ended, as the owner of the fleet does. The worker may be up again by then.
func (o *simOwner) reportEnd(w *simWorker) {
	s := o.sim
	incarnation := &pb.WorkerIncarnation{Id: w.id, Born: w.incarnation}
	s.after(150, func() {
		o.handle(func(p *scheduler.Pool) {
			p.MarkUnreachable(incarnation.GetId())
			p.EndIncarnations(s.time(), []*pb.WorkerIncarnation{incarnation})
		})
	})
}

// poll holds a worker once beside the waiting hold; either may answer first. It acknowledges nothing, since another
// incarnation may answer.
func (o *simOwner) poll(w *simWorker) {
	s := o.sim
	h := o.pool.Poll(w.id, s.time())
	sent := s.time()
	expected := o.incarnations[w.id]
	s.after(1+s.rng.Int64N(20), func() {
		if !w.up || o.cutOff(w) {
			return
		}
		rep := o.respond(w, h, expected)
		rep.Sent = sent
		s.after(1+s.rng.Int64N(100), func() {
			rep.Received = s.time()
			o.handle(func(p *scheduler.Pool) { p.Report(s.time(), rep) })
		})
	})
}

// evacuateWorker evacuates a worker, restarts it once it is reported as evacuated, and returns it to service.
func (s *sim) evacuateWorker(w *simWorker) {
	if s.evacuating[w.id] || w.draining {
		return
	}
	s.evacuating[w.id] = true
	s.updateEvacuations()
	var check func()
	check = func() {
		if s.owner.replaced {
			s.after(200, check)
			return
		}
		for _, load := range s.owner.pool.Status(s.time()).GetWorkers() {
			if load.GetId() != w.id || !load.GetEvacuated() {
				continue
			}
			if len(w.running) > 0 {
				s.checker.addViolation("%s reported as evacuated with %d runs", w.id, len(w.running))
			}
			w.crash()
			delete(s.evacuating, w.id)
			s.after(1500, w.boot)
			s.after(1600, s.updateEvacuations)
			return
		}
		s.after(200, check)
	}
	s.after(200, check)
}

func (s *sim) updateEvacuations() {
	ids := slices.Sorted(maps.Keys(s.evacuating))
	s.owner.handle(func(p *scheduler.Pool) { p.Evacuate(s.time(), ids) })
}
