package bench

import "time"

// account changes the load of a pool, after adding up the slots that were idle while work queued.
func (x *exchange) account(pool string, running, queued int) {
	p := x.pools[pool]
	idle := min(p.slots-p.running, p.queued)
	if idle > 0 {
		x.result.IdleSlotSeconds += float64(idle) * x.now.Sub(p.since).Seconds()
	}
	p.since = x.now
	p.running += running
	p.queued += queued
}

// accountQueue adds or takes away all that an entry host has queued.
func (x *exchange) accountQueue(e *entry, sign int) {
	for _, p := range x.deployment.Pools {
		x.account(p.Name, 0, sign*e.waiting[p.Name])
	}
}

// kill ends an entry host with all that it queued and ran. The workers end its runs with its connections.
func (x *exchange) kill() {
	e := x.entries[x.victim]
	e.dead = true
	x.diedAt = x.now
	x.accountQueue(e, -1)
	for _, n := range e.waiting {
		x.result.Lost += n
	}
	for id := range e.active {
		x.leaveWorker(x.victim, id)
		x.result.Lost++
	}
	x.way.died(x.victim)
	x.after(balancerNotices, func() { x.left[x.victim] = true })
	x.sample()
}

// sample watches until the pool that was at its peak has its slots back.
func (x *exchange) sample() {
	pool := x.deployment.Pools[deathTurn%len(x.deployment.Pools)].Name
	if float64(x.way.usable(pool)) >= recoveredShare*float64(x.pools[pool].slots) {
		x.result.Recovery = x.now.Sub(x.diedAt)
		return
	}
	if x.now.After(end()) {
		x.result.Recovery = x.now.Sub(x.diedAt)
		return
	}
	x.after(sampleTime, x.sample)
}

// freeze stops an entry host for a while; what happens to it meanwhile waits. What it has queued counts as queued for no
// pool until then, since no way of sharing slots can start it.
func (x *exchange) freeze() {
	node := frozenEntry
	if x.entries[node].dead {
		node++
	}
	e := x.entries[node]
	e.frozen = true
	x.accountQueue(e, -1)
	x.after(balancerNotices, func() { x.left[node] = true })
	x.after(freezeTime, func() {
		e.frozen = false
		x.accountQueue(e, 1)
		x.left[node] = false
		deferred := e.deferred
		e.deferred = nil
		for _, do := range deferred {
			do()
		}
		x.pumpAll(node)
	})
}

// finishResult fills in what is known only at the end.
func (x *exchange) finishResult() {
	seconds := end().Sub(start).Seconds()
	var total, most int64
	for _, e := range x.entries {
		total += e.sent
		most = max(most, e.sent)
	}
	x.result.ShedAfter /= time.Duration(max(1, x.result.Shed))
	x.result.MeanBytes = float64(total) / seconds / entryHosts
	x.result.MostBytes = float64(most) / seconds
	x.result.GoodputPerSecond = float64(x.result.InTime) / float64(turns*turnTime/time.Second)
}
