package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// staleAfter is how long after its last report a pool counts as cut off: two polls that timed out. What is reserved for
	// it stays, and the others share the rest.
	staleAfter = time.Second
	// saveAfter is how long a step that needs more than its pool's share waits before capacity is saved up for it.
	saveAfter = time.Second
	// saveLimit bounds saving without progress, and is how long the others then go first: runs that do not end, as those of
	// persistent tasks, may occupy what the step needs.
	saveLimit = 10 * time.Second
	// decisionSpacing, times the pools, is the least time between two decisions about a workspace: each report of a pool may
	// cause one, whose cost grows with the pools.
	decisionSpacing = 4 * time.Millisecond
	// spreadStep is the part of a pool's equal share below which unused cap is not spread, so that limits do not follow
	// every end of a task.
	spreadStep = 8
)

// saving is the state of saving up the cap for one step.
type saving struct {
	pool string
	// best is the largest part of the cap that was free, progressAt when it was reached.
	best       int64
	progressAt time.Time
	// paused is the pool for which nothing is saved up until pausedUntil.
	paused      string
	pausedUntil time.Time
}

// candidate is a pool in one decision. Resources without a cap are 0 everywhere.
type candidate struct {
	*part
	pool string
	// limit is the latest one, confirmed or not; reserved the most that may run.
	limit, reserved vector
	used, next      vector
	waiting         vector
	// demand is what it uses and has waiting for the limit; floor what it gets before the others share the rest.
	demand, floor vector
	// alloc is its part of the demand, present the same while others use more than theirs, and target adds its part of what
	// nobody needs.
	alloc, present, target vector
	// wanted is the new limit.
	wanted vector
}

// plan is one decision about one workspace.
type plan struct {
	// cap is what the active pools may share, free what of it is not reserved.
	cap, free vector
	all       []*candidate
	// queue holds the candidates that wait for the limit, the longest wait first.
	queue []*candidate
	// saver is the candidate for which the cap is saved up, or nil.
	saver *candidate
}

func (a *Allocator) decide(now time.Time) {
	active := make([]string, 0, len(a.names))
	for _, name := range a.names {
		if p := a.pools[name]; p.usageKnown && now.Sub(p.reportedAt) <= staleAfter {
			active = append(active, name)
		}
	}
	if !slices.Equal(active, a.active) {
		a.active = active
		a.markAll()
	}
	for _, w := range a.workspaces {
		if !w.dirty || !a.complete(w) || now.Before(w.decidedAt.Add(decisionSpacing*time.Duration(len(a.names)))) {
			continue
		}
		w.dirty, w.decidedAt = false, now
		if w.adopted && w.cap.isZero() {
			w.adoptCap()
		}
		if len(active) > 0 {
			a.decideWorkspace(now, w)
		}
	}
}

// adoptCap sets the cap of a workspace whose cap this fleet owner never knew to what is reserved, or to the largest step that
// waits: a cap that was in force allows both.
func (w *workspace) adoptCap() {
	w.cap = w.reserved()
	for _, p := range w.parts {
		w.cap = w.cap.max(p.next)
	}
	for _, p := range w.parts {
		for r := range w.cap {
			if p.unlimited[r] {
				w.cap[r] = 0
			}
		}
	}
}

func (a *Allocator) decideWorkspace(now time.Time, w *workspace) {
	p := a.newPlan(w)
	p.divide(now, w)
	short := p.lower()
	p.raise(short)
	if p.saver == nil && !short && !w.removed {
		p.spread()
	}
	for _, c := range p.all {
		if c.wanted != c.limit {
			a.version++
			c.grant, c.sent = c.wanted, a.version
		}
	}
}

func (a *Allocator) newPlan(w *workspace) *plan {
	p := &plan{cap: w.cap, all: make([]*candidate, 0, len(a.active))}
	active := make(map[string]bool, len(a.active))
	for _, name := range a.active {
		active[name] = true
		p.all = append(p.all, w.candidate(name))
	}
	for name, part := range w.parts {
		if !active[name] {
			for r, v := range w.masked(part.reserved()) {
				p.cap[r] = max(0, p.cap[r]-v)
			}
		}
	}
	p.free = p.cap
	for _, c := range p.all {
		for r := range p.free {
			p.free[r] -= c.reserved[r]
		}
		if !c.next.isZero() {
			p.queue = append(p.queue, c)
		}
	}
	slices.SortStableFunc(p.queue, func(x, y *candidate) int { return cmp.Compare(y.waited, x.waited) })
	return p
}

// masked returns v without the resources that have no cap.
func (w *workspace) masked(v vector) vector {
	for r := range v {
		if w.cap[r] == 0 {
			v[r] = 0
		}
	}
	return v
}

func (w *workspace) candidate(pool string) *candidate {
	p := w.parts[pool]
	c := &candidate{part: p, pool: pool, limit: w.masked(p.limit), reserved: w.masked(p.reserved())}
	if p.sent != 0 {
		c.limit = w.masked(p.grant)
	}
	c.used, c.next, c.waiting = w.masked(p.used), w.masked(p.next), w.masked(p.waiting)
	c.wanted, c.demand = c.limit, c.used
	if !c.next.isZero() {
		c.demand = c.used.plus(c.waiting.max(c.next))
	}
	return c
}

// divide computes what each pool may have. The demand that waits for the limit is served first: max-min fairly, except for
// steps that the cap has room for now and those that need more than their pool's share, which are served by longest wait.
func (p *plan) divide(now time.Time, w *workspace) {
	fair := p.share(p.cap, func(c *candidate) (floor, demand vector) { return vector{}, c.demand })
	p.serveSteps(now, w, fair)
	left := p.cap
	if p.saver != nil {
		for r := range left {
			left[r] = max(0, left[r]-p.saver.used[r]-p.saver.next[r])
		}
	}
	alloc := p.share(left, p.claim)
	for i, c := range p.all {
		c.alloc = alloc[i]
	}
	for r := range left {
		left[r] = p.settle(r, left[r])
	}
	if p.saver != nil {
		p.saver.alloc, p.saver.present = p.saver.used, p.saver.used
	}
	p.divideRest(left)
}

// claim returns the least and the most that a pool gets of the cap. The saver's part is set aside.
func (p *plan) claim(c *candidate) (floor, demand vector) {
	if c == p.saver {
		return vector{}, vector{}
	}
	return c.floor, c.demand
}

// settle computes what the pools may have of one resource at present, as nothing is stopped: pools that use more than their
// part keep that until it ends, and the others divide the rest. It returns what is left of total.
func (p *plan) settle(r int, total int64) int64 {
	if p.cap[r] == 0 {
		return 0
	}
	floors, demands, values := make([]int64, len(p.all)), make([]int64, len(p.all)), make([]int64, len(p.all))
	over := make([]bool, len(p.all))
	for i, c := range p.all {
		floor, demand := p.claim(c)
		floors[i], demands[i], values[i] = floor[r], max(floor[r], demand[r]), c.alloc[r]
	}
	for changed := true; changed; {
		changed = false
		for i, c := range p.all {
			if !over[i] && c != p.saver && c.used[r] > values[i] {
				over[i], changed = true, true
				total -= c.used[r]
				floors[i], demands[i] = 0, 0
			}
		}
		if changed {
			values = waterFill(max(0, total), floors, demands)
		}
	}
	for i, c := range p.all {
		c.present[r] = values[i]
		total -= values[i]
		if over[i] {
			c.present[r] = min(c.alloc[r], c.used[r])
		}
	}
	return total
}

// divideRest adds what the waiting demand leaves: first to the pools whose tasks wait for room, then equally.
func (p *plan) divideRest(left vector) {
	for r := range left {
		left[r] = max(0, left[r])
	}
	extra := p.share(left, func(c *candidate) (floor, demand vector) {
		if !c.next.isZero() {
			return vector{}, vector{}
		}
		return vector{}, c.waiting
	})
	for _, e := range extra {
		for r := range left {
			left[r] -= e[r]
		}
	}
	for i, c := range p.all {
		c.target = c.present.plus(extra[i])
		if p.saver != nil {
			c.target = c.present
			continue
		}
		for r := range left {
			c.target[r] += left[r] / int64(len(p.all))
		}
	}
}

// serveSteps sets floors, and the saver. fair holds the max-min fair shares.
func (p *plan) serveSteps(now time.Time, w *workspace, fair []vector) {
	var busy vector
	shares := make(map[*candidate]vector, len(p.all))
	for i, c := range p.all {
		busy = busy.plus(c.used)
		shares[c] = fair[i]
	}
	for _, c := range p.queue {
		below, wide := true, false
		for r, n := range c.next {
			below = below && (n == 0 || c.used[r] < shares[c][r])
			wide = wide || n > shares[c][r]
		}
		if (below || wide) && busy.plus(c.next).within(p.cap) {
			c.floor = c.used.plus(c.next)
			busy = busy.plus(c.next)
			continue
		}
		if wide && c.waited >= saveAfter && c.next.within(p.cap) && !c.step().within(c.limit) && w.saving.allows(now, c.pool, p.free) {
			p.saver = c
			w.dirty = true
			return
		}
	}
	w.saving.pool = ""
}

func (v vector) within(limit vector) bool {
	for r := range v {
		if v[r] > limit[r] {
			return false
		}
	}
	return true
}

// allows reports whether the cap may be saved up for a pool, and records the progress.
func (s *saving) allows(now time.Time, pool string, free vector) bool {
	if pool == s.paused && now.Before(s.pausedUntil) {
		return false
	}
	sum := free[0] + free[1] + free[2]
	if pool != s.pool {
		s.pool, s.best, s.progressAt = pool, sum, now
	}
	if sum > s.best {
		s.best, s.progressAt = sum, now
	}
	if now.Sub(s.progressAt) < saveLimit {
		return true
	}
	s.pool, s.paused, s.pausedUntil = "", pool, now.Add(saveLimit)
	return false
}
