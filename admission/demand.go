package admission

import (
	"math"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// arrivalWindow is the time over which arrivals are averaged.
	arrivalWindow = 2 * time.Second
	// slotsWindow is the time for which the largest number of slots seen counts.
	slotsWindow = time.Second
)

// arrivalRate is a moving mean of arrivals a second.
type arrivalRate struct {
	rate float64
	last time.Time
}

func (a *arrivalRate) add(now time.Time) {
	a.rate = a.at(now) + 1/arrivalWindow.Seconds()
	if now.After(a.last) {
		a.last = now
	}
}

func (a *arrivalRate) at(now time.Time) float64 {
	age := max(0, now.Sub(a.last).Seconds())
	return a.rate * math.Exp(-age/arrivalWindow.Seconds())
}

// slotsSeen is the number of slots that served a pool lately: the largest number within a window or two.
type slotsSeen struct {
	value    int
	previous int
	since    time.Time
}

func (s *slotsSeen) see(now time.Time, slots int) {
	if now.Sub(s.since) >= slotsWindow {
		s.previous = s.value
		s.value = 0
		s.since = now
	}
	s.value = max(s.value, slots)
}

func (s *slotsSeen) largest() int { return max(s.value, s.previous) }

// Demand returns the load of each pool that has a service or a request, by name. Requests that wait for their team's
// quota don't count as queued, since more slots wouldn't start them. Idle is what the last Next of the pool left unused;
// an embedder that knows the free slots of now puts them in its place.
func (q *Queue) Demand(now time.Time) []*pb.PoolDemand {
	out := make([]*pb.PoolDemand, 0, len(q.pools))
	for _, p := range q.pools {
		queued, oldest := p.startable()
		d := &pb.PoolDemand{
			Pool:              p.name,
			Queued:            queued,
			Running:           int64(p.running),
			Idle:              int64(p.idle),
			ArrivalsPerSecond: p.arrivals.at(now),
		}
		if !oldest.IsZero() {
			d.OldestQueuedMs = max(0, now.Sub(oldest).Milliseconds())
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetPool() < out[j].GetPool() })
	return out
}

// TeamUsage returns what each team uses and has queued on this entry host, by name; teams without either are left out.
func (q *Queue) TeamUsage() []*pb.TeamUsage {
	var out []*pb.TeamUsage
	for _, t := range q.teams {
		if t.running > 0 || t.queued > 0 {
			out = append(out, &pb.TeamUsage{Team: t.name, Running: t.running, Queued: t.queued})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetTeam() < out[j].GetTeam() })
	return out
}

// TeamsAtQuota returns what each team without room under its quota runs on this entry host, by name; teams that run nothing
// here are left out.
func (q *Queue) TeamsAtQuota() map[string]int64 {
	var out map[string]int64
	for _, t := range q.teams {
		if t.running == 0 || t.room() > 0 {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[t.name] = t.running
	}
	return out
}

// startable counts the queued requests that could start if there were slots, and finds the oldest arrival.
func (p *pool) startable() (queued int64, oldest time.Time) {
	for _, l := range p.lanes {
		for _, tl := range l.backlog.slice {
			queued += max(0, min(int64(tl.queue.Len()), tl.team.room()))
			oldest = earlier(oldest, tl.queue.Front().Value.(*item).Arrival)
		}
	}
	return queued, oldest
}
