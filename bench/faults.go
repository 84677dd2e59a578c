package bench

import "time"

// account changes the load of a pool, after it has added the slot time that was idle while requests were queued.
func (x *simulation) account(pool string, running, queued int) {
	p := x.pools[pool]
	idle := min(p.slots-p.running, p.queued)
	if idle > 0 {
		x.result.IdleSlotSeconds += float64(idle) * x.now.Sub(p.since).Seconds()
	}
	p.since = x.now
	p.running += running
	p.queued += queued
}

// accountQueue adds (sign 1) or subtracts (sign -1) all queued requests of an entry host.
func (x *simulation) accountQueue(e *entryHost, sign int) {
	for _, p := range x.deployment.Pools {
		x.account(p.Name, 0, sign*e.waiting[p.Name])
	}
}

// kill ends an entry host with all its queued and running requests. The workers end its runs when its connections close.
func (x *simulation) kill() {
	e := x.entries[x.victim]
	e.dead = true
	x.diedAt = x.now
	x.accountQueue(e, -1)
	for _, n := range e.waiting {
		x.result.Lost += n
	}
	for id := range e.active {
		x.freeWorker(x.victim, id)
		x.result.Lost++
	}
	x.allocator.onDeath(x.victim)
	x.after(balancerDelay, func() { x.unavailable[x.victim] = true })
	x.sample()
}

// sample polls until the slots of the pool that was at its peak are usable again, and records the recovery time.
func (x *simulation) sample() {
	pool := x.deployment.Pools[deathBurst%len(x.deployment.Pools)].Name
	if float64(x.allocator.usable(pool)) >= recoveredShare*float64(x.pools[pool].slots) {
		x.result.Recovery = x.now.Sub(x.diedAt)
		return
	}
	if x.now.After(end()) {
		x.result.Recovery = x.now.Sub(x.diedAt)
		return
	}
	x.after(sampleInterval, x.sample)
}

// freeze stops an entry host for freezeTime and defers its events until then. Its queued requests are not counted in any
// pool meanwhile, since no strategy can start them.
func (x *simulation) freeze() {
	node := frozenEntry
	if x.entries[node].dead {
		node++
	}
	e := x.entries[node]
	e.frozen = true
	x.accountQueue(e, -1)
	x.after(balancerDelay, func() { x.unavailable[node] = true })
	x.after(freezeTime, func() {
		e.frozen = false
		x.accountQueue(e, 1)
		x.unavailable[node] = false
		deferred := e.deferred
		e.deferred = nil
		for _, do := range deferred {
			do()
		}
		x.pumpAll(node)
	})
}

// finishResult sets the figures that are known only at the end of a run.
func (x *simulation) finishResult() {
	seconds := end().Sub(start).Seconds()
	var total, most int64
	for _, e := range x.entries {
		total += e.sent
		most = max(most, e.sent)
	}
	x.result.ShedAfter /= time.Duration(max(1, x.result.Shed))
	x.result.MeanBytes = float64(total) / seconds / entryHosts
	x.result.MostBytes = float64(most) / seconds
	x.result.GoodputPerSecond = float64(x.result.InTime) / float64(bursts*burstPeriod/time.Second)
}
