package slots

import (
	"math"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// returnAfter is the time for which a borrowed slot may stay idle while the own queue is empty.
	returnAfter = 500 * time.Millisecond
	// freshFor is the time for which a peer's demand counts. An older one may come from a frozen member, to which a slot
	// would be lent in vain.
	freshFor = 2500 * time.Millisecond
	// recallRatio is how much longer the own queue must be, for each slot, than the borrower's before a loan that the
	// borrower still needs is recalled.
	recallRatio = 2.0
)

var noTime time.Time

// PeerDemand is what a peer's last heartbeat said of its load.
type PeerDemand struct {
	Pools []*pb.PoolDemand
	// DataCentre is where the peer stands; it is lent slots of hosts there first.
	DataCentre string
	// Heard is when the heartbeat arrived; zero means just now. Nothing is lent on a demand that is older than a few
	// heartbeats.
	Heard time.Time
}

// poolPeer is a peer's demand for one pool.
type poolPeer struct {
	id     memberID
	demand *pb.PoolDemand
	// dataCentre is where it stands.
	dataCentre string
	// wanted is the number of slots it could use beyond those that it has or is being lent.
	wanted int
}

// Balance decides what to lend, recall and return. The own demand has an entry for each pool to balance; peers are
// keyed by member name. What it decides goes out with the next Outgoing.
func (l *Ledger) Balance(now time.Time, own []*pb.PoolDemand, peers map[string]PeerDemand) {
	demands := l.peerDemands(now, peers)
	for _, d := range own {
		l.balancePool(now, d, demands[d.GetPool()])
	}
}

// peerDemands sorts the peers' fresh demand by pool, and by member within a pool.
func (l *Ledger) peerDemands(now time.Time, peers map[string]PeerDemand) map[string][]poolPeer {
	ids := l.freshPeers(now, peers)
	sort.Slice(ids, func(i, j int) bool { return ids[i].name < ids[j].name })
	out := map[string][]poolPeer{}
	for _, id := range ids {
		for _, d := range peers[id.name].Pools {
			out[d.GetPool()] = append(out[d.GetPool()], poolPeer{id: id, demand: d, dataCentre: peers[id.name].DataCentre})
		}
	}
	return out
}

// freshPeers lists the members that were heard under their present incarnation, and of late.
func (l *Ledger) freshPeers(now time.Time, peers map[string]PeerDemand) []memberID {
	ids := make([]memberID, 0, len(l.peers))
	for id, p := range l.peers {
		d, ok := peers[id.name]
		fresh := d.Heard.IsZero() || now.Sub(d.Heard) < freshFor
		if ok && p.sequence > 0 && fresh {
			ids = append(ids, id)
		}
	}
	return ids
}

// balancePool balances one pool.
func (l *Ledger) balancePool(now time.Time, own *pb.PoolDemand, peers []poolPeer) {
	idle, lent, held := l.poolRecords(own.GetPool())
	l.returnIdle(now, own, held)
	queued := int(own.GetQueued())
	l.announce(own.GetPool(), max(0, queued-len(idle)))
	if spare := len(idle) - queued; spare > 0 {
		l.lend(idle, spare, lent, peers)
	}
	if short := queued - len(idle); short > 0 {
		l.recall(own, short, lent, peers)
	}
}

// poolRecords lists the own idle slots of a pool, the lent ones and the idle borrowed ones. The idle ones are ordered
// so that neighbours in the list lie on different hosts.
func (l *Ledger) poolRecords(pool string) (idle, lent, held []*record) {
	for _, h := range l.pools[pool] {
		for _, r := range h.records {
			switch {
			case r.own && r.lent != nil:
				lent = append(lent, r)
			case r.own && r.busy == 0 && r.open() && r.ready():
				idle = append(idle, r)
			case r.held != nil && r.busy == 0:
				held = append(held, r)
			}
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return idle[i].key.index < idle[j].key.index })
	return idle, lent, held
}

// returnIdle gives back the borrowed slots that are of no use now.
func (l *Ledger) returnIdle(now time.Time, own *pb.PoolDemand, held []*record) {
	for _, r := range held {
		switch {
		case !r.open():
			l.giveBack(r)
		case own.GetQueued() > 0:
			r.held.idleSince = noTime
		case r.held.idleSince.IsZero():
			r.held.idleSince = now
		case now.Sub(r.held.idleSince) >= returnAfter:
			l.giveBack(r)
		}
	}
}

// lend lends at most spare of the idle slots. All lenders see the same queues, so each gives its share of what all
// have idle together.
func (l *Ledger) lend(idle []*record, spare int, lent []*record, peers []poolPeer) {
	onTheWay := map[memberID]int{}
	for _, r := range lent {
		if !r.lent.seen {
			onTheWay[r.lent.to]++
		}
	}
	allIdle := spare
	for i := range peers {
		p := &peers[i]
		p.wanted = int(p.demand.GetQueued()-p.demand.GetIdle()) - onTheWay[p.id]
		if p.demand.GetQueued() == 0 {
			allIdle += int(p.demand.GetIdle())
		}
	}
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].wanted > peers[j].wanted })
	total := 0
	for _, p := range peers {
		total += max(0, p.wanted)
	}
	if total == 0 {
		return
	}
	for _, p := range peers {
		if p.wanted <= 0 {
			break
		}
		n := p.wanted
		if total > allIdle {
			n = ceilDiv(p.wanted*allIdle, total)
		}
		n = min(ceilDiv(n*spare, allIdle), len(idle))
		sort.SliceStable(idle, func(i, j int) bool {
			return idle[i].host.DataCentre == p.dataCentre && idle[j].host.DataCentre != p.dataCentre
		})
		for _, r := range idle[:n] {
			r.lent = &lentLoan{id: l.newLoan(p.id), to: p.id}
			l.pending[p.id.name] = true
			l.lent[r.key] = r
			l.recount(r.host)
		}
		idle = idle[n:]
		allIdle -= n
		spare -= n
		total -= p.wanted
		if spare <= 0 || allIdle <= 0 || total <= 0 {
			return
		}
	}
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// recall asks for at most short loans back, from the borrower with the shortest queue first.
func (l *Ledger) recall(own *pb.PoolDemand, short int, lent []*record, peers []poolPeer) {
	byMember := map[memberID]float64{}
	for _, p := range peers {
		byMember[p.id] = pressure(p.demand)
	}
	for _, r := range lent {
		if r.lent.recalled {
			short--
		}
	}
	sort.SliceStable(lent, func(i, j int) bool { return byMember[lent[i].lent.to] < byMember[lent[j].lent.to] })
	ownPressure := pressure(own)
	if own.GetRunning()+own.GetIdle() == 0 {
		ownPressure = math.Inf(1) // without a slot nothing that queues here would start
	}
	for _, r := range lent {
		if short <= 0 || byMember[r.lent.to]*recallRatio >= ownPressure {
			return
		}
		if !r.lent.recalled {
			r.lent.recalled = true
			l.pending[r.lent.to.name] = true
			short--
		}
	}
}

// pressure is the length of a queue for each slot that serves it.
func pressure(d *pb.PoolDemand) float64 {
	return float64(d.GetQueued()) / float64(max(1, d.GetRunning()+d.GetIdle()))
}
