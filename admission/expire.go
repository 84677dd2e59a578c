package admission

import "time"

// Expire rejects urgent requests that have not started within urgent_start and requests that can no longer finish
// before their deadline. It also returns the rejections of requests displaced by Offer.
func (q *Queue) Expire(now time.Time) []Rejection {
	out := q.takeDisplaced()
	for _, name := range q.names {
		out = q.expireService(now, q.services[name], out)
	}
	return out
}

// expireService appends the rejections of one service to out.
func (q *Queue) expireService(now time.Time, s *service, out []Rejection) []Rejection {
	for s.urgentLimits.len() > 0 && !now.Before(s.urgentLimits.first().urgentLimit) {
		out = append(out, q.evict(s.urgentLimits.first().item, ReasonUrgentStart))
	}
	for s.deadlines.len() > 0 && now.Add(s.learned.bound()).After(s.deadlines.first().Deadline) {
		out = append(out, q.evict(s.deadlines.first().item, ReasonDeadline))
	}
	if s.probe != nil && !now.Before(s.probe.Deadline) {
		out = append(out, q.evict(s.probe, ReasonDeadline))
	}
	return out
}

// evict drops a queued item. Its retry delay is estimated from the work queued in its class and pool.
func (q *Queue) evict(it *item, reason Reason) Rejection {
	p := q.pool(it.Pool)
	drain := time.Duration(it.lane.work / float64(p.servingSlots()) * float64(time.Second))
	q.drop(it)
	after := jitter(it.ID, max(drain, it.service.learned.mean/4))
	return Rejection{ID: it.ID, Reason: reason, RetryAfter: after}
}

// NextExpiry returns the time at which Expire next has something to reject if the queue doesn't change before, and
// false if nothing is queued.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, s := range q.services {
		if s.urgentLimits.len() > 0 {
			first = earlier(first, s.urgentLimits.first().urgentLimit)
		}
		if s.deadlines.len() > 0 {
			first = earlier(first, s.deadlines.first().Deadline.Add(1-s.learned.bound()))
		}
		if s.probe != nil {
			first = earlier(first, s.probe.Deadline)
		}
	}
	return first, !first.IsZero()
}

// earlier returns the earlier of two times; a zero a means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
