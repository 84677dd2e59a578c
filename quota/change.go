package quota

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
