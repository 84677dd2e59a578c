package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay given to a caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the largest fraction by which a retry delay is lengthened, so that callers don't retry all at
	// once.
	retryJitter = 0.5
)

// Offer decides whether a new request is queued or rejected. If the service's queue is full, the request may displace
// one of a team with a larger backlog relative to its weight; the next call of Next or Expire returns that rejection.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	s, reason := q.validate(&r, now)
	if reason != ReasonNone {
		return q.reject(s, r, reason, 0)
	}
	p := q.pool(r.Pool)
	p.arrivals.add(now)
	l := p.lanes[r.Class]
	it := &item{Request: r, service: s, lane: l, deadlineIndex: -1, urgentIndex: -1}
	it.teamQueue = l.teamQueue(q.teams[r.Team])
	it.cost = s.learned.mean.Seconds()
	it.urgentLimit = r.Arrival.Add(s.urgentStart)
	wait := p.wait(it)
	if reason, late := q.checkTiming(now, it, wait); reason != ReasonNone {
		return q.reject(s, r, reason, late)
	}
	if s.queued[r.Class] >= s.maxQueue && !q.makeRoom(it) {
		return q.reject(s, r, ReasonQueueFull, 0)
	}
	q.enqueue(it)
	return Decision{Queued: true}
}

// validate rejects requests of unknown services or teams, duplicates and requests over MaxRequests, and sets the
// default arrival and deadline.
func (q *Queue) validate(r *Request, now time.Time) (*service, Reason) {
	s := q.services[r.Service]
	if s == nil || !q.activeServices[r.Service] {
		return nil, ReasonUnknownService
	}
	if !q.activeTeams[r.Team] {
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

// makeRoom drops the newest request of the team with the largest backlog relative to its weight, so that one team can't
// keep the others out of a full queue. It returns false if that request is for another service or of the same team, or
// if the offered item's team would then have at least as large a backlog. The next call of Next or Expire returns the
// rejection.
func (q *Queue) makeRoom(it *item) bool {
	victim := it.lane.last()
	if victim == nil || victim.service != it.service || victim.teamQueue == it.teamQueue {
		return false
	}
	if (it.teamQueue.work+it.cost)/it.teamQueue.team.weight >= victim.teamQueue.work/victim.teamQueue.team.weight {
		return false
	}
	q.displaced = append(q.displaced, q.evict(victim, ReasonQueueFull))
	return true
}

// takeDisplaced returns and clears the rejections caused by Offer.
func (q *Queue) takeDisplaced() []Rejection {
	out := q.displaced
	q.displaced = nil
	return out
}

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

// wait estimates how long an item would be queued. It is the smaller of two upper bounds: the time to serve all work
// ahead of it in the pool, and the time to serve its own team's queue at the team's share of the slots.
func (p *pool) wait(it *item) time.Duration {
	slots := float64(p.servingSlots())
	ahead := it.lane.work
	if it.Class == ClassNormal {
		ahead += p.lanes[ClassUrgent].work
	}
	weight := it.lane.weight
	if it.teamQueue.items.Len() == 0 {
		weight += it.teamQueue.team.weight
	}
	own := it.teamQueue.work * weight / it.teamQueue.team.weight
	if it.Class == ClassNormal {
		own += p.lanes[ClassUrgent].work
	}
	return time.Duration(min(ahead, own) / slots * float64(time.Second))
}

// servingSlots returns the number of slots, at least 1, assumed in wait estimates.
func (p *pool) servingSlots() int { return max(1, p.slots.largest(), p.reachable) }

// checkTiming reports whether an item that waits this long can meet its limits, and if not, by how much it is late. If
// the learned run time alone rules out every request of a service, one request per probeInterval is marked as a probe
// and let through, so that a wrong estimate can recover.
func (q *Queue) checkTiming(now time.Time, it *item, wait time.Duration) (Reason, time.Duration) {
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

// reject returns a rejection. Its retry delay is 0 if a retry doesn't help, the estimated time until the queue has room
// if the queue or this entry host is full, and otherwise late.
func (q *Queue) reject(s *service, r Request, reason Reason, late time.Duration) Decision {
	d := Decision{Reason: reason}
	switch reason {
	case ReasonUnknownService, ReasonUnknownTeam, ReasonDuplicate, ReasonNone:
		return d
	case ReasonHostFull, ReasonQueueFull:
		d.RetryAfter = q.drainTime(r.Pool, s)
	case ReasonDeadline, ReasonUrgentStart:
		d.RetryAfter = late
	}
	d.RetryAfter = jitter(r.ID, max(d.RetryAfter, s.learned.mean/4))
	return d
}

// drainTime estimates the time until half of a pool's queue has been served.
func (q *Queue) drainTime(poolName string, s *service) time.Duration {
	p := q.pool(poolName)
	work := p.lanes[ClassNormal].work + p.lanes[ClassUrgent].work
	return max(s.learned.mean, time.Duration(work/2/float64(p.servingSlots())*float64(time.Second)))
}

// jitter lengthens a retry delay by a fraction derived from the request ID, and clamps it to minRetryAfter and
// maxRetryAfter.
func jitter(id uint64, d time.Duration) time.Duration {
	const steps = 1024
	fraction := float64((id*0x9e3779b97f4a7c15)>>54) / steps
	d = time.Duration(math.Min(float64(maxRetryAfter), float64(d)*(1+retryJitter*fraction)))
	return max(minRetryAfter, d)
}
