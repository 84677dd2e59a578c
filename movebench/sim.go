package movebench

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

const (
	tick = 250 * time.Millisecond
	// ticksPerDecision is the number of ticks between two decisions.
	ticksPerDecision = 2
	// rollOut is the time until a change to the fleet is in force on all entry hosts; a move makes two changes.
	rollOut = time.Second
	// smoothing is the weight of the latest tick in the moving average of arrivals, and of the latest drain in the moving
	// average of drain times.
	smoothing        = 0.3
	initialDrainTime = 3 * time.Second
)

// result holds the measurements of one run.
type result struct {
	offered   int
	inTime    int
	moves     int
	rollOut   time.Duration
	idleSpare time.Duration
}

type request struct {
	due time.Duration
	run time.Duration
}

// queue holds the waiting requests of one pool, and its arrival rate per second.
type queue struct {
	pool    pool
	waiting []request
	rate    float64
}

// host is the state of one worker.
type host struct {
	ends []time.Duration
	// ordered is the time at which its move was ordered, and released the time at which its last request ended.
	ordered  time.Duration
	released time.Duration
	draining bool
}

type sim struct {
	d       deployment
	cfg     *pb.Configuration
	policy  policy
	demand  *demand
	at      time.Duration
	fleet   *pb.Fleet
	tracker *mover.Tracker
	queues  []*queue
	hosts   map[string]*host
	drains  map[string]time.Duration
	result  result
}

func newSim(d deployment, p policy, seed uint64) *sim {
	s := &sim{
		d: d, cfg: d.config(), policy: p, demand: newDemand(d, seed), tracker: mover.NewTracker(),
		hosts: map[string]*host{}, drains: map[string]time.Duration{},
	}
	s.fleet = fleet.Reconcile(&pb.Fleet{}, s.cfg, s.clock())
	for _, p := range s.demand.pools {
		s.queues = append(s.queues, &queue{pool: p})
	}
	for _, h := range s.cfg.Hosts {
		s.hosts[h.Name] = &host{}
	}
	for _, p := range d.pools {
		s.drains[p.name] = initialDrainTime
	}
	return s
}

// clock returns the virtual time as a time.Time.
func (s *sim) clock() time.Time { return time.Unix(1e6, 0).Add(s.at) }

func (s *sim) run(duration time.Duration) result {
	for n := 0; s.at < duration; n++ {
		s.demand.advance(s.at)
		s.finish()
		s.arrive()
		s.serve()
		if n%ticksPerDecision == 0 {
			s.decide()
		}
		s.progress()
		s.at += tick
	}
	return s.result
}

func (s *sim) finish() {
	for _, h := range s.hosts {
		running := h.ends[:0]
		for _, end := range h.ends {
			if end > s.at {
				running = append(running, end)
			}
		}
		h.ends = running
	}
}

func (s *sim) arrive() {
	for i, q := range s.queues {
		n := s.demand.arrivals(i, s.at)
		q.rate += smoothing * (float64(n)/tick.Seconds() - q.rate)
		s.result.offered += n
		for range n {
			q.waiting = append(q.waiting, request{due: s.at + deadline, run: s.demand.drawRunTime(q.pool)})
		}
	}
}

// serve drops requests that have waited beyond their deadlines, and starts as many others as the pools' hosts have slots
// for.
func (s *sim) serve() {
	for _, q := range s.queues {
		for len(q.waiting) > 0 && q.waiting[0].due < s.at {
			q.waiting = q.waiting[1:]
		}
	}
	for _, state := range s.fleet.Hosts {
		if state.Phase != pb.HostPhase_HOST_PHASE_ACTIVE {
			continue
		}
		if q := s.queue(state.Pool); q != nil {
			s.fill(s.hosts[state.Host], q)
			continue
		}
		s.result.idleSpare += tick
	}
}

func (s *sim) fill(h *host, q *queue) {
	for len(h.ends) < hostSlots && len(q.waiting) > 0 {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		h.ends = append(h.ends, s.at+r.run)
		s.result.inTime++
	}
}

func (s *sim) queue(pool string) *queue {
	for _, q := range s.queues {
		if q.pool.name == pool {
			return q
		}
	}
	return nil
}

func (s *sim) decide() {
	requests := make(map[string]int64, len(s.hosts))
	for name, h := range s.hosts {
		requests[name] = int64(len(h.ends))
	}
	moves := s.policy.step(s.clock(), mover.Input{
		Fleet: s.fleet, Config: s.cfg, Demand: s.tracker.Observe(s.clock(), s.samples()),
		Requests: requests, DrainTime: s.drains, RollOut: 2 * rollOut,
	})
	for i, m := range moves {
		f, err := fleet.BeginMove(s.fleet, m.Host, m.To, fmt.Sprint(s.at, i), s.clock())
		if err != nil {
			continue
		}
		s.fleet = f
		s.result.moves++
		h := s.hosts[m.Host]
		h.draining = true
		h.ordered = s.at
		h.released = 0
	}
}

func (s *sim) samples() map[string]mover.Sample {
	out := map[string]mover.Sample{}
	for _, q := range s.queues {
		out[q.pool.name] = mover.Sample{
			Queued: int64(len(q.waiting)), ArrivalsPerSecond: q.rate, RunTime: q.pool.runTime, Deadline: deadline, HostSlots: hostSlots,
		}
	}
	for _, state := range s.fleet.Hosts {
		sample, ok := out[state.Pool]
		if !ok || state.Phase != pb.HostPhase_HOST_PHASE_ACTIVE {
			continue
		}
		running := int64(len(s.hosts[state.Host].ends))
		sample.Running += running
		sample.Idle += hostSlots - running
		out[state.Pool] = sample
	}
	return out
}

// progress completes the moves of hosts that are drained.
func (s *sim) progress() {
	for _, state := range s.fleet.Hosts {
		h := s.hosts[state.Host]
		if !h.draining {
			continue
		}
		if len(h.ends) > 0 || s.at < h.ordered+rollOut {
			continue
		}
		if h.released == 0 {
			h.released = s.at
		}
		if s.at < h.released+rollOut {
			continue
		}
		s.complete(state, h)
	}
}

func (s *sim) complete(state *pb.HostState, h *host) {
	f, err := fleet.Complete(s.fleet, state.Host, fleet.Reports{Now: s.clock()})
	if err != nil {
		return
	}
	s.fleet = f
	h.draining = false
	s.result.rollOut += s.at - h.ordered
	drained := h.released - h.ordered - rollOut
	s.drains[state.Pool] += time.Duration(smoothing * float64(drained-s.drains[state.Pool]))
}
