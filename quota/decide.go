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
		if !w.dirty || !a.complete(w) {
			continue
		}
		w.dirty = false
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
// allocation keep that until it ends, and the others divide the rest. It returns what is left of total.
func (p *plan) settle(r int, total int64) int64 {
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
			c.present[r] = c.alloc[r]
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

// step returns the limit with which the first waiting step of c can start.
func (c *candidate) step() vector { return c.used.plus(c.next) }

// needs reports whether c's first waiting step does not fit into its limit, and may have a larger one.
func (p *plan) needs(c *candidate) bool {
	return !c.step().within(c.limit) && (c == p.saver || c.step().within(c.alloc))
}

// lower lowers limits, in the resources of which what is not reserved does not suffice for the steps that wait, or more is
// reserved than the cap allows. It reports whether there is such a resource.
func (p *plan) lower() (short bool) {
	var missing vector
	for _, c := range p.queue {
		if p.needs(c) {
			for r, v := range c.step() {
				missing[r] += max(0, v-c.reserved[r])
			}
		}
	}
	for r := range missing {
		if missing[r] <= p.free[r] {
			continue
		}
		short = true
		for _, c := range p.all {
			if c.sent == 0 {
				c.wanted[r] = min(c.limit[r], c.target[r])
			}
		}
	}
	return short
}

// raise raises limits from what is not reserved: for the steps that wait, by longest wait, then towards the allocations.
func (p *plan) raise(short bool) {
	held := false
	for _, c := range p.queue {
		if !p.needs(c) {
			continue
		}
		cost, fits := p.cost(c, c.step())
		if c.sent == 0 && fits {
			p.grow(c, c.step())
			continue
		}
		if !held {
			// Later steps may not use what the first one that does not fit waits for.
			held = true
			for r := range cost {
				p.free[r] -= min(max(0, p.free[r]), cost[r])
			}
		}
	}
	if p.saver != nil {
		return
	}
	for _, c := range p.queue {
		if c.sent != 0 || short && !p.needs(c) {
			continue
		}
		p.grow(c, p.affordable(c, c.present))
	}
}

// spread raises limits in advance, so that new work starts at once.
func (p *plan) spread() {
	for _, c := range p.all {
		if c.sent != 0 {
			continue
		}
		limit := p.affordable(c, c.target)
		for r := range limit {
			if limit[r]-c.wanted[r] < max(1, p.cap[r]/int64(spreadStep*len(p.all))) {
				limit[r] = c.wanted[r]
			}
		}
		p.grow(c, limit)
	}
}

// cost returns what a limit would add to what is reserved, and whether there is that much.
func (p *plan) cost(c *candidate, limit vector) (cost vector, fits bool) {
	reserved := c.reserved.max(c.wanted)
	fits = true
	for r := range limit {
		cost[r] = max(0, limit[r]-reserved[r])
		fits = fits && (cost[r] == 0 || cost[r] <= p.free[r])
	}
	return cost, fits
}

// affordable returns the limit, reduced to what is not reserved.
func (p *plan) affordable(c *candidate, limit vector) vector {
	cost, _ := p.cost(c, limit)
	for r := range limit {
		limit[r] -= cost[r] - min(cost[r], max(0, p.free[r]))
	}
	return limit
}

// grow raises the new limit of c and takes its cost from what is not reserved.
func (p *plan) grow(c *candidate, limit vector) {
	cost, _ := p.cost(c, limit)
	for r := range cost {
		p.free[r] -= cost[r]
	}
	c.wanted = c.wanted.max(limit)
}

// share divides a resource max-min fairly: each gets a common level, but at least its floor and at most its demand.
func (p *plan) share(total vector, of func(*candidate) (floor, demand vector)) []vector {
	out := make([]vector, len(p.all))
	floors, demands := make([]int64, len(p.all)), make([]int64, len(p.all))
	for r := range total {
		for i, c := range p.all {
			floor, demand := of(c)
			floors[i], demands[i] = floor[r], max(floor[r], demand[r])
		}
		for i, v := range waterFill(total[r], floors, demands) {
			out[i][r] = v
		}
	}
	return out
}

func waterFill(total int64, floors, demands []int64) []int64 {
	sum := func(level int64) (sum int64) {
		for i := range demands {
			sum += min(max(level, floors[i]), demands[i])
		}
		return sum
	}
	low, high := int64(0), slices.Max(demands)
	if sum(high) > total {
		for low < high {
			middle := (low + high + 1) / 2
			if sum(middle) <= total {
				low = middle
			} else {
				high = middle - 1
			}
		}
	}
	level := high
	left := total - sum(level)
	out := make([]int64, len(demands))
	for i := range demands {
		out[i] = min(max(level, floors[i]), demands[i])
		if left > 0 && out[i] < demands[i] {
			out[i]++
			left--
		}
	}
	return out
}
