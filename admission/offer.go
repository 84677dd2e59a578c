package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller is told to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// retrySpread is the part by which times to come back are spread out, so that callers don't return all at once.
	retrySpread = 0.5
)

// Offer decides on a new request: it is queued, or rejected for good. A request that finds its service's queue full may
// displace one of a team that has more queued for its weight; call Next or Expire after Offer to get that rejection.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	s, reason := q.check(&r, now)
	if reason != ReasonNone {
		return q.refuse(s, r, reason, 0)
	}
	p := q.pool(r.Pool)
	p.arrivals.add(now)
	l := p.lanes[r.Class]
	it := &item{Request: r, service: s, lane: l, deadlinePlace: -1, urgentPlace: -1}
	it.team = l.teamLane(q.teams[r.Team])
	it.cost = s.learned.mean.Seconds()
	it.urgentLimit = r.Arrival.Add(s.urgentStart)
	wait := p.wait(it)
	if reason, late := q.tooLate(now, it, wait); reason != ReasonNone {
		return q.refuse(s, r, reason, late)
	}
	if s.queued[r.Class] >= s.maxQueue && !q.makeRoom(it) {
		return q.refuse(s, r, ReasonQueueFull, 0)
	}
	q.enqueue(it)
	return Decision{Queued: true}
}

// check refuses what is unknown or over a bound, and fills in what the request leaves out.
func (q *Queue) check(r *Request, now time.Time) (*service, Reason) {
	s := q.services[r.Service]
	if s == nil || !q.active[r.Service] {
		return nil, ReasonUnknownService
	}
	if !q.known[r.Team] {
		return s, ReasonUnknownTeam
	}
	if q.items[r.ID] != nil {
		return s, ReasonDuplicate
	}
	if q.limits.MaxRequests > 0 && len(q.items) >= q.limits.MaxRequests {
		return s, ReasonHostFull
	}
	if r.Arrival.IsZero() {
		r.Arrival = now
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Arrival.Add(s.deadline)
	}
	return s, ReasonNone
}

// makeRoom drops the newest request of the team that is furthest behind, so that its flood can't shut other teams out of
// a full queue. It returns false if the offered item's own team would still be as far behind, or the item wouldn't help.
// The rejection is handed out by the next Next or Expire.
func (q *Queue) makeRoom(it *item) bool {
	victim := it.lane.last()
	if victim == nil || victim.service != it.service || victim.team == it.team {
		return false
	}
	if (it.team.work+it.cost)/it.team.team.weight >= victim.team.work/victim.team.team.weight {
		return false
	}
	q.displaced = append(q.displaced, q.giveUp(victim, ReasonQueueFull))
	return true
}

// takeDisplaced hands out the rejections that Offer has caused.
func (q *Queue) takeDisplaced() []Rejection {
	out := q.displaced
	q.displaced = nil
	return out
}

// enqueue adds an item to the queues.
func (q *Queue) enqueue(it *item) {
	q.items[it.ID] = it
	if p := q.pool(it.Pool); !slices.Contains(p.services, it.service) {
		p.services = append(p.services, it.service)
	}
	it.service.queued[it.Class]++
	it.lane.add(it)
	if it.probe {
		it.service.probe = it
	} else {
		it.service.deadlines.push(byDeadline{it})
	}
	if it.Class == ClassUrgent {
		it.service.urgentLimits.push(byUrgentLimit{it})
	}
}

// wait estimates how long an item would queue: the shorter of two bounds, by all that is ahead in its pool and by its
// team's queue on the team's share.
func (p *pool) wait(it *item) time.Duration {
	slots := float64(p.servingSlots())
	ahead := it.lane.work
	if it.Class == ClassNormal {
		ahead += p.lanes[ClassUrgent].work
	}
	weight := it.lane.weight
	if it.team.queue.Len() == 0 {
		weight += it.team.team.weight
	}
	own := it.team.work * weight / it.team.team.weight
	if it.Class == ClassNormal {
		own += p.lanes[ClassUrgent].work
	}
	return time.Duration(min(ahead, own) / slots * float64(time.Second))
}

// servingSlots is the number of slots by which waits are estimated.
func (p *pool) servingSlots() int { return max(1, p.slots.largest(), p.reachable) }

// tooLate says whether an item that waits so long can be in time, and if not, by how much it is late. A service whose
// learned run time alone rules out the request gets a probe now and then, so that a wrong estimate can mend.
func (q *Queue) tooLate(now time.Time, it *item, wait time.Duration) (Reason, time.Duration) {
	s := it.service
	if it.Class == ClassUrgent {
		if late := now.Add(wait).Sub(it.urgentLimit); late >= 0 {
			return ReasonUrgentStart, late
		}
	}
	if !it.Deadline.After(now) {
		return ReasonDeadline, 0
	}
	run := s.learned.bound()
	if now.Add(run).After(it.Deadline) && s.running == 0 && s.probe == nil && now.Sub(s.lastStart) >= probeInterval {
		it.probe = true
		return ReasonNone, 0
	}
	if late := now.Add(wait + run).Sub(it.Deadline); late > 0 {
		return ReasonDeadline, late
	}
	return ReasonNone, 0
}

// refuse returns a rejection, with the time after which the queue has room again.
func (q *Queue) refuse(s *service, r Request, reason Reason, late time.Duration) Decision {
	d := Decision{Reason: reason}
	switch reason {
	case ReasonUnknownService, ReasonUnknownTeam, ReasonDuplicate, ReasonNone:
		return d
	case ReasonHostFull, ReasonQueueFull:
		d.RetryAfter = q.drainTime(r.Pool, s)
	case ReasonDeadline, ReasonUrgentStart:
		d.RetryAfter = late
	}
	d.RetryAfter = spread(r.ID, max(d.RetryAfter, s.learned.mean/4))
	return d
}

// drainTime is the time until half of a pool's queue has been served.
func (q *Queue) drainTime(poolName string, s *service) time.Duration {
	p := q.pool(poolName)
	work := p.lanes[ClassNormal].work + p.lanes[ClassUrgent].work
	return max(s.learned.mean, time.Duration(work/2/float64(p.servingSlots())*float64(time.Second)))
}

// spread bounds a time to come back and lengthens it by a part that depends on the request.
func spread(id uint64, d time.Duration) time.Duration {
	const steps = 1024
	part := float64((id*0x9e3779b97f4a7c15)>>54) / steps
	d = time.Duration(math.Min(float64(maxRetryAfter), float64(d)*(1+retrySpread*part)))
	return max(minRetryAfter, d)
}
