package bench

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// credits is the way in which a dispatcher for each pool lends slots for a bounded time and shares them out by need.
type credits struct {
	x     *exchange
	pools map[string]*creditPool
	// held are the credits in hand, by entry host and pool.
	held [entryHosts]map[string]map[slotID]*credit
	// told is the need that was reported last, by entry host and pool.
	told [entryHosts]map[string]int
}

// credit is a lent slot in the hands of an entry host.
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
	// from is when a new dispatcher may begin to lend: by then all that its predecessor lent has been reported or expired.
	from time.Time
}

// creditLoan is a lent slot as the dispatcher knows it.
type creditLoan struct {
	to    int
	until time.Time
}

func timedCredits(x *exchange) sharing {
	w := &credits{x: x, pools: map[string]*creditPool{}}
	for i := range w.held {
		w.held[i] = map[string]map[slotID]*credit{}
		w.told[i] = map[string]int{}
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

func (w *credits) queued(int, string) {}

// decide reports a need that has changed, and lets a dispatcher share out anew.
func (w *credits) decide(node int) {
	for _, p := range w.x.deployment.Pools {
		if need := w.needOf(node, p.Name); need != w.told[node][p.Name] {
			w.report(node, p.Name)
		}
	}
}

func (w *credits) beat(node int) {
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

// report tells the dispatcher the need and the slots in hand.
func (w *credits) report(node int, pool string) {
	p := w.pools[pool]
	need := w.needOf(node, pool)
	w.told[node][pool] = need
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

// receive takes in a report, renews what the entry host may keep and lends more if it needs more.
func (w *credits) receive(p *creditPool, node, need int, held []slotID) {
	p.need[node] = need
	until := w.x.now.Add(creditTime)
	for _, id := range held {
		if l, ok := p.lent[id]; !ok || l.to == node {
			p.lent[id] = creditLoan{to: node, until: until}
		}
	}
	if w.x.now.Before(p.from) {
		return
	}
	target := w.target(p, node)
	var mine []slotID
	for _, id := range p.all {
		l, ok := p.lent[id]
		switch {
		case ok && l.to == node && l.until.After(w.x.now):
			mine = append(mine, id)
		case (!ok || !l.until.After(w.x.now)) && len(mine) < target:
			mine = append(mine, id)
			p.lent[id] = creditLoan{to: node, until: until}
		}
	}
	w.answer(p, node, mine, target, until)
}

// answer sends an entry host its credits; what exceeds its target is asked back.
func (w *credits) answer(p *creditPool, node int, mine []slotID, target int, until time.Time) {
	m := &pb.SlotExchange{OwnersRevision: 1}
	for _, id := range mine {
		m.Lends = append(m.Lends, loanOf(id))
	}
	excess := len(mine) - target
	receive := func() { w.accept(p, node, mine, excess, until) }
	if node == p.dispatcher {
		receive()
		return
	}
	w.x.send(p.dispatcher, node, m, receive)
}

// accept takes in credits, and returns idle ones that are asked back.
func (w *credits) accept(p *creditPool, node int, mine []slotID, excess int, until time.Time) {
	held := w.held[node][p.name]
	var back []slotID
	m := &pb.SlotExchange{}
	for _, id := range mine {
		c := held[id]
		if c == nil {
			c = &credit{}
			held[id] = c
		}
		c.until = until
		if excess > 0 && !c.busy {
			excess--
			delete(held, id)
			back = append(back, id)
			m.Borrowed = append(m.Borrowed, loanOf(id))
		}
	}
	w.x.pump(node, p.name)
	if len(back) == 0 {
		return
	}
	receive := func() {
		for _, id := range back {
			delete(p.lent, id)
		}
	}
	if node == p.dispatcher {
		receive()
		return
	}
	w.x.send(node, p.dispatcher, m, receive)
}

// target is the number of slots that an entry host should have: by need where they are short, else what it needs and
// an even part of the rest.
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

// died replaces the dispatcher. The new one waits until the old one's credits have expired.
func (w *credits) died(node int) {
	w.x.after(provedGone+applyTime, func() {
		for _, p := range w.pools {
			delete(p.need, node)
			if p.dispatcher != node {
				continue
			}
			p.dispatcher = dispatcherOf(p.name, w.x.live())
			p.lent = map[slotID]creditLoan{}
			p.need = map[int]int{}
			p.from = w.x.now.Add(creditTime)
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
	if p := w.pools[pool]; !w.x.entries[p.dispatcher].dead && !w.x.now.Before(p.from) {
		n += len(p.all) - len(p.lent)
	}
	return n
}
