package bench

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// credits is the strategy in which a dispatcher for each pool lends slots for a bounded time, in proportion to need.
type credits struct {
	x     *simulation
	pools map[string]*creditPool
	// held holds the current credits, by entry host and pool.
	held [entryHosts]map[string]map[slotID]*credit
	// reported is the need that was last reported to the dispatcher, by entry host and pool.
	reported [entryHosts]map[string]int
}

// credit is a lent slot as the entry host that holds it knows it.
type credit struct {
	until time.Time
	busy  bool
}

// creditPool is the dispatcher's view of a pool.
type creditPool struct {
	name       string
	dispatcher int
	all        []slotID
	lent       map[slotID]creditLoan
	need       map[int]int
	// lendsFrom is the time from which a new dispatcher may lend: by then every credit of its predecessor has been reported
	// or has expired.
	lendsFrom time.Time
}

// creditLoan is a lent slot as the dispatcher knows it.
type creditLoan struct {
	to    int
	until time.Time
}

func timedCredits(x *simulation) allocator {
	w := &credits{x: x, pools: map[string]*creditPool{}}
	for i := range w.held {
		w.held[i] = map[string]map[slotID]*credit{}
		w.reported[i] = map[string]int{}
		for _, p := range x.deployment.Pools {
			w.held[i][p.Name] = map[slotID]*credit{}
		}
	}
	for _, p := range x.deployment.Pools {
		w.pools[p.Name] = &creditPool{
			name: p.Name, dispatcher: dispatcherOf(p.Name, x.live()), all: poolSlots(x.deployment, p.Name),
			lent: map[slotID]creditLoan{}, need: map[int]int{},
		}
	}
	return w
}

func (w *credits) free(node int, pool string) int {
	n := 0
	for _, c := range w.held[node][pool] {
		if !c.busy && w.x.now.Before(c.until) {
			n++
		}
	}
	return n
}

func (w *credits) take(node int, pool string) slot {
	for _, id := range w.pools[pool].all {
		if c := w.held[node][pool][id]; c != nil && !c.busy && w.x.now.Before(c.until) {
			c.busy = true
			return slot{host: id.host, token: id}
		}
	}
	panic("no credit")
}

func (w *credits) release(node int, pool string, s slot) {
	w.held[node][pool][s.token.(slotID)].busy = false
}

func (w *credits) onQueued(int, string) {}

// decide reports the needs that have changed, on which the dispatchers reallocate their slots.
func (w *credits) decide(node int) {
	for _, p := range w.x.deployment.Pools {
		if need := w.needOf(node, p.Name); need != w.reported[node][p.Name] {
			w.report(node, p.Name)
		}
	}
}

func (w *credits) sendHeartbeats(node int) {
	for _, p := range w.x.deployment.Pools {
		w.report(node, p.Name)
	}
}

func (w *credits) needOf(node int, pool string) int {
	n := w.x.entries[node].waiting[pool]
	for _, c := range w.held[node][pool] {
		if c.busy {
			n++
		}
	}
	return n
}

// report sends the need and the held slots to the dispatcher.
func (w *credits) report(node int, pool string) {
	p := w.pools[pool]
	need := w.needOf(node, pool)
	w.reported[node][pool] = need
	var held []slotID
	hb := &pb.Heartbeat{
		Name: entryHostName(node), Incarnation: incarnation(node), Sequence: 1000, FleetRevision: 1, ConfigGeneration: 1,
		Demand: []*pb.PoolDemand{{Pool: pool, Queued: int64(w.x.entries[node].waiting[pool]), Running: int64(need)}},
		Slots:  &pb.SlotExchange{OwnersRevision: 1},
	}
	for _, id := range p.all {
		if w.held[node][pool][id] != nil {
			held = append(held, id)
			hb.Slots.Borrowed = append(hb.Slots.Borrowed, loanOf(id))
		}
	}
	receive := func() { w.receive(p, node, need, held) }
	if node == p.dispatcher {
		receive()
		return
	}
	w.x.send(node, p.dispatcher, hb, receive)
}

// receive handles a report: it renews the credits that the entry host may keep and lends more if it needs more.
func (w *credits) receive(p *creditPool, node, need int, held []slotID) {
	p.need[node] = need
	until := w.x.now.Add(creditTTL)
	for _, id := range held {
		if l, ok := p.lent[id]; !ok || l.to == node {
			p.lent[id] = creditLoan{to: node, until: until}
		}
	}
	if w.x.now.Before(p.lendsFrom) {
		return
	}
	target := w.target(p, node)
	var granted []slotID
	for _, id := range p.all {
		l, ok := p.lent[id]
		switch {
		case ok && l.to == node && l.until.After(w.x.now):
			granted = append(granted, id)
		case (!ok || !l.until.After(w.x.now)) && len(granted) < target:
			granted = append(granted, id)
			p.lent[id] = creditLoan{to: node, until: until}
		}
	}
	w.answer(p, node, granted, target, until)
}

// answer sends an entry host its credits; those above its target are recalled.
func (w *credits) answer(p *creditPool, node int, granted []slotID, target int, until time.Time) {
	m := &pb.SlotExchange{OwnersRevision: 1}
	for _, id := range granted {
		m.Lends = append(m.Lends, loanOf(id))
	}
	excess := len(granted) - target
	receive := func() { w.accept(p, node, granted, excess, until) }
	if node == p.dispatcher {
		receive()
		return
	}
	w.x.send(p.dispatcher, node, m, receive)
}

// accept stores received credits and returns idle ones that are recalled.
func (w *credits) accept(p *creditPool, node int, granted []slotID, excess int, until time.Time) {
	held := w.held[node][p.name]
	var returned []slotID
	m := &pb.SlotExchange{}
	for _, id := range granted {
		c := held[id]
		if c == nil {
			c = &credit{}
			held[id] = c
		}
		c.until = until
		if excess > 0 && !c.busy {
			excess--
			delete(held, id)
			returned = append(returned, id)
			m.Borrowed = append(m.Borrowed, loanOf(id))
		}
	}
	w.x.pump(node, p.name)
	if len(returned) == 0 {
		return
	}
	receive := func() {
		for _, id := range returned {
			delete(p.lent, id)
		}
	}
	if node == p.dispatcher {
		receive()
		return
	}
	w.x.send(node, p.dispatcher, m, receive)
}

// target returns the number of slots that an entry host should have: a share in proportion to its need if slots are
// short, otherwise its need and an equal share of the remaining slots.
func (w *credits) target(p *creditPool, node int) int {
	total := 0
	for _, n := range p.need {
		total += n
	}
	if total <= len(p.all) {
		return p.need[node] + (len(p.all)-total)/entryHosts
	}
	return p.need[node] * len(p.all) / total
}

// onDeath replaces the dispatcher. The new one does not lend until the old one's credits have expired.
func (w *credits) onDeath(node int) {
	w.x.after(deathProofDelay+maxApplyDelay, func() {
		for _, p := range w.pools {
			delete(p.need, node)
			if p.dispatcher != node {
				continue
			}
			p.dispatcher = dispatcherOf(p.name, w.x.live())
			p.lent = map[slotID]creditLoan{}
			p.need = map[int]int{}
			p.lendsFrom = w.x.now.Add(creditTTL)
		}
	})
}

func (w *credits) usable(pool string) int {
	nodes := w.x.live()
	sort.Ints(nodes)
	n := 0
	for _, i := range nodes {
		for _, c := range w.held[i][pool] {
			if c.busy || w.x.now.Before(c.until) {
				n++
			}
		}
	}
	if p := w.pools[pool]; !w.x.entries[p.dispatcher].dead && !w.x.now.Before(p.lendsFrom) {
		n += len(p.all) - len(p.lent)
	}
	return n
}
