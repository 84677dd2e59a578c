package admission_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateturn/agateturn/admission"
)

// simulation drives a scheduler through a generated history in virtual time and counts its violations of each rule.
type simulation struct {
	choose     func(n int) int
	scheduler  scheduler
	now        time.Time
	queued     map[uint64]admission.Request
	running    map[uint64]time.Time
	requests   map[uint64]admission.Request
	otherHosts map[string]int64
	started    map[uint64]bool
	outcomes   map[uint64]int
	violations map[string]int
	inTime     int
	lastID     uint64
}

func newSimulation(choose func(n int) int, scheduled scheduler) *simulation {
	return &simulation{
		choose: choose, scheduler: scheduled, now: time.Unix(1000, 0), queued: map[uint64]admission.Request{},
		running: map[uint64]time.Time{}, requests: map[uint64]admission.Request{}, otherHosts: map[string]int64{},
		started: map[uint64]bool{}, outcomes: map[uint64]int{}, violations: map[string]int{},
	}
}

func (s *simulation) usage(team string) int64 {
	n := s.otherHosts[team]
	for id := range s.running {
		if s.requests[id].Team == team {
			n++
		}
	}
	return n
}

func (s *simulation) queuedOf(team string) int {
	n := 0
	for _, r := range s.queued {
		if r.Team == team {
			n++
		}
	}
	return n
}

func (s *simulation) offer(r admission.Request) {
	s.lastID++
	r.ID, r.Pool, r.Arrival = s.lastID, "p", s.now
	s.requests[r.ID] = r
	d := s.scheduler.Offer(s.now, r)
	_, displaced := s.scheduler.Next(s.now, "p", 0)
	s.rejected(displaced)
	if d.Queued {
		s.queued[r.ID] = r
	} else {
		s.outcomes[r.ID]++
		if d.RetryAfter <= 0 {
			s.violations["rejection without a retry delay"]++
		}
	}
}

func (s *simulation) randomOffer() {
	s.offer(admission.Request{
		Service:  []string{"quick", "slow"}[s.choose(2)],
		Team:     teams[s.choose(len(teams))],
		Class:    admission.Class(s.choose(2)),
		Deadline: s.now.Add(time.Duration(s.choose(60)) * tick),
	})
}

// next starts requests in all free slots and checks each start, each rejection and the remaining queue.
func (s *simulation) next() {
	free := poolSlots - len(s.running)
	starts, rejects := s.scheduler.Next(s.now, "p", free)
	s.rejected(rejects)
	for _, id := range starts {
		s.start(id)
	}
	for _, r := range s.queued {
		if !r.Deadline.After(s.now) || r.Class == admission.ClassUrgent && s.now.Sub(r.Arrival) >= urgentStart {
			s.violations["queued after it could no longer be in time"]++
		}
		if len(s.running) < poolSlots && s.usage(r.Team) < quota {
			s.violations["idle slot while a request could start"]++
		}
	}
}

func (s *simulation) rejected(rejects []admission.Rejection) {
	for _, r := range rejects {
		s.end(r.ID)
		if r.RetryAfter <= 0 {
			s.violations["rejection without a retry delay"]++
		}
	}
}

// end records the outcome of a queued request and checks that it is the only one.
func (s *simulation) end(id uint64) admission.Request {
	r, ok := s.queued[id]
	if !ok {
		s.violations["second outcome"]++
	}
	delete(s.queued, id)
	s.outcomes[id]++
	return r
}

func (s *simulation) start(id uint64) {
	r := s.end(id)
	if !r.Deadline.After(s.now) {
		s.violations["started after its deadline"]++
	}
	if r.Class == admission.ClassUrgent && s.now.Sub(r.Arrival) > urgentStart {
		s.violations["urgent request started late"]++
	}
	s.started[id] = true
	s.running[id] = s.now
	if s.usage(r.Team) > quota {
		s.violations["quota exceeded"]++
	}
}

func (s *simulation) runTime(id uint64) time.Duration {
	if s.requests[id].Service == "quick" {
		return time.Duration(1+id%3) * tick
	}
	return time.Duration(10+id%9) * tick
}

func (s *simulation) finish() {
	for _, id := range sortedIDs(s.running) {
		if took := s.now.Sub(s.running[id]); took >= s.runTime(id) {
			delete(s.running, id)
			s.scheduler.Done(s.now, id, took, id%7 != 0)
			if !s.now.After(s.requests[id].Deadline) {
				s.inTime++
			}
		}
	}
}

func (s *simulation) cancel() {
	for _, id := range sortedIDs(s.queued) {
		if s.choose(2) == 0 {
			if !s.scheduler.Cancel(id) {
				s.violations["queued request can't be cancelled"]++
			}
			s.end(id)
		}
	}
}

// run generates a history of bursts, lulls, mass cancellations and usage on other entry hosts, and then lets all
// requests end.
func (s *simulation) run(ticks int) {
	for i := range ticks {
		if i%50 < 25 {
			for range s.choose(4) {
				s.randomOffer()
			}
		}
		switch s.choose(30) {
		case 0:
			s.cancel()
		case 1:
			team := teams[s.choose(len(teams))]
			s.otherHosts[team] = int64(s.choose(quota))
			s.scheduler.SetTeamUsage(team, s.otherHosts[team])
		}
		s.step()
	}
	const drain = 200
	for range drain {
		s.step()
	}
	for id := range s.requests {
		if s.outcomes[id] != 1 {
			s.violations["not exactly one outcome"]++
		}
	}
}

func (s *simulation) step() {
	s.finish()
	s.next()
	s.now = s.now.Add(tick)
}

func sortedIDs[V any](m map[uint64]V) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func seeded(seed uint64) func(n int) int { return rand.New(rand.NewPCG(seed, 0)).IntN }
