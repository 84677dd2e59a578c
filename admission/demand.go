package admission

import (
	"math"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// arrivalWindow is the time constant of the moving average of arrivals.
	arrivalWindow = 2 * time.Second
	// slotsWindow is the length of the windows over which the maximum number of slots is taken.
	slotsWindow = time.Second
)

// arrivalRate is an exponentially weighted moving average of arrivals per second.
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

// recentSlots tracks the largest number of slots that served a pool in the current and the previous window.
type recentSlots struct {
	current     int
	previous    int
	windowStart time.Time
}

func (s *recentSlots) observe(now time.Time, slots int) {
	if now.Sub(s.windowStart) >= slotsWindow {
		s.previous = s.current
		s.current = 0
		s.windowStart = now
	}
	s.current = max(s.current, slots)
}

func (s *recentSlots) largest() int { return max(s.current, s.previous) }

// Demand returns the load of each pool that has a service or a request, by name. Requests that wait for their team's
// quota don't count as queued, since more slots wouldn't start them. Idle is the number of slots that the pool's last
// Next left unused; a caller that knows the current number of free slots overwrites it.
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

// TeamUsage returns the running and queued requests of each team on this entry host, sorted by team name; teams without
// either are left out.
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

// TeamsAtQuota returns, by name of each team at its quota, the number of requests that the team runs on this entry
// host; teams that run nothing here are left out.
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

// startable returns the number of queued requests that could start if there were slots, and the oldest arrival of all
// queued requests.
func (p *pool) startable() (queued int64, oldest time.Time) {
	for _, l := range p.lanes {
		for _, tq := range l.byTag.slice {
			queued += max(0, min(int64(tq.items.Len()), tq.team.room()))
			oldest = earlier(oldest, tq.items.Front().Value.(*item).Arrival)
		}
	}
	return queued, oldest
}
