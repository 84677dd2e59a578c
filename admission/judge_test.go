package admission_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateturn/agateturn/admission"
)

// judge drives a scheduler through a generated history in virtual time and collects what it breaks.
type judge struct {
	choose  func(n int) int
	s       scheduler
	now     time.Time
	queued  map[uint64]admission.Request
	running map[uint64]time.Time
	request map[uint64]admission.Request
	others  map[string]int64
	started map[uint64]bool
	ends    map[uint64]int
	faults  map[string]int
	inTime  int
	lastID  uint64
}

func newJudge(choose func(n int) int, s scheduler) *judge {
	return &judge{
		choose: choose, s: s, now: time.Unix(1000, 0), queued: map[uint64]admission.Request{},
		running: map[uint64]time.Time{}, request: map[uint64]admission.Request{}, others: map[string]int64{},
		started: map[uint64]bool{}, ends: map[uint64]int{}, faults: map[string]int{},
	}
}

func (j *judge) usage(team string) int64 {
	n := j.others[team]
	for id := range j.running {
		if j.request[id].Team == team {
			n++
		}
	}
	return n
}

func (j *judge) queuedOf(team string) int {
	n := 0
	for _, r := range j.queued {
		if r.Team == team {
			n++
		}
	}
	return n
}

func (j *judge) offer(r admission.Request) {
	j.lastID++
	r.ID, r.Pool, r.Arrival = j.lastID, "p", j.now
	j.request[r.ID] = r
	d := j.s.Offer(j.now, r)
	_, displaced := j.s.Next(j.now, "p", 0)
	j.rejected(displaced)
	if d.Queued {
		j.queued[r.ID] = r
	} else {
		j.ends[r.ID]++
		if d.RetryAfter <= 0 {
			j.faults["no time to come back"]++
		}
	}
}

func (j *judge) randomOffer() {
	j.offer(admission.Request{
		Service:  []string{"quick", "slow"}[j.choose(2)],
		Team:     teams[j.choose(len(teams))],
		Class:    admission.Class(j.choose(2)),
		Deadline: j.now.Add(time.Duration(j.choose(60)) * tick),
	})
}

// next lets requests start in all free slots, and checks each start, each rejection and what is left.
func (j *judge) next() {
	free := poolSlots - len(j.running)
	starts, rejects := j.s.Next(j.now, "p", free)
	j.rejected(rejects)
	for _, id := range starts {
		j.start(id)
	}
	for _, r := range j.queued {
		if !r.Deadline.After(j.now) || r.Class == admission.ClassUrgent && j.now.Sub(r.Arrival) >= urgentStart {
			j.faults["held after it was hopeless"]++
		}
		if len(j.running) < poolSlots && j.usage(r.Team) < quota {
			j.faults["idle slot beside a queue"]++
		}
	}
}

func (j *judge) rejected(rejects []admission.Rejection) {
	for _, r := range rejects {
		j.end(r.ID)
		if r.RetryAfter <= 0 {
			j.faults["no time to come back"]++
		}
	}
}

// end checks that a queued request has just one end.
func (j *judge) end(id uint64) admission.Request {
	r, ok := j.queued[id]
	if !ok {
		j.faults["a second end"]++
	}
	delete(j.queued, id)
	j.ends[id]++
	return r
}

func (j *judge) start(id uint64) {
	r := j.end(id)
	if !r.Deadline.After(j.now) {
		j.faults["started after its deadline"]++
	}
	if r.Class == admission.ClassUrgent && j.now.Sub(r.Arrival) > urgentStart {
		j.faults["urgent request started late"]++
	}
	j.started[id] = true
	j.running[id] = j.now
	if j.usage(r.Team) > quota {
		j.faults["quota exceeded"]++
	}
}

func (j *judge) runTime(id uint64) time.Duration {
	if j.request[id].Service == "quick" {
		return time.Duration(1+id%3) * tick
	}
	return time.Duration(10+id%9) * tick
}

func (j *judge) finish() {
	for _, id := range sortedIDs(j.running) {
		if took := j.now.Sub(j.running[id]); took >= j.runTime(id) {
			delete(j.running, id)
			j.s.Done(j.now, id, took, id%7 != 0)
			if !j.now.After(j.request[id].Deadline) {
				j.inTime++
			}
		}
	}
}

func (j *judge) cancel() {
	for _, id := range sortedIDs(j.queued) {
		if j.choose(2) == 0 {
			if !j.s.Cancel(id) {
				j.faults["queued request can't be cancelled"]++
			}
			j.end(id)
		}
	}
}

// run plays a history: bursts, lulls, waves of cancellations, usage elsewhere; then lets everything end.
func (j *judge) run(ticks int) {
	for i := range ticks {
		if i%50 < 25 {
			for range j.choose(4) {
				j.randomOffer()
			}
		}
		switch j.choose(30) {
		case 0:
			j.cancel()
		case 1:
			team := teams[j.choose(len(teams))]
			j.others[team] = int64(j.choose(quota))
			j.s.SetTeamUsage(team, j.others[team])
		}
		j.step()
	}
	const drain = 200
	for range drain {
		j.step()
	}
	for id := range j.request {
		if j.ends[id] != 1 {
			j.faults["not exactly one end"]++
		}
	}
}

func (j *judge) step() {
	j.finish()
	j.next()
	j.now = j.now.Add(tick)
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
