package slots

import (
	"math"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// returnAfter is how long a borrowed slot may stay idle while this member's queue is empty.
	returnAfter = 500 * time.Millisecond
	// demandTTL is how long a peer's demand is valid. Older demand may come from a paused member, which couldn't use a
	// slot lent to it.
	demandTTL = 2500 * time.Millisecond
	// recallRatio is the ratio of this member's queue length per slot to the borrower's above which a loan that the
	// borrower still needs is recalled.
	recallRatio = 2.0
)

var zeroTime time.Time

// PeerDemand is the load reported by a peer's last heartbeat.
type PeerDemand struct {
	Pools []*pb.PoolDemand
	// DataCentre is the peer's data centre; slots of hosts there are lent to it first.
	DataCentre string
	// Heard is when the heartbeat arrived; zero means just now. Nothing is lent on demand older than demandTTL.
	Heard time.Time
}

// poolPeer is a peer's demand for one pool.
type poolPeer struct {
	id         memberID
	demand     *pb.PoolDemand
	dataCentre string
	// wanted is the number of slots that the peer could use beyond those that it has or is being lent.
	wanted int
}

// Balance decides which slots to lend, recall and return. This member's demand has an entry for each pool to balance;
// peers are keyed by member name. The next Outgoing carries the decisions.
func (l *Ledger) Balance(now time.Time, own []*pb.PoolDemand, peers map[string]PeerDemand) {
	demands := l.peerDemands(now, peers)
	for _, d := range own {
		l.balancePool(now, d, demands[d.GetPool()])
	}
}

// peerDemands groups the peers' fresh demand by pool, sorted by member name within a pool.
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

// freshPeers returns the members whose current incarnation has sent a heartbeat within demandTTL.
func (l *Ledger) freshPeers(now time.Time, peers map[string]PeerDemand) []memberID {
	ids := make([]memberID, 0, len(l.peers))
	for id, p := range l.peers {
		d, ok := peers[id.name]
		fresh := d.Heard.IsZero() || now.Sub(d.Heard) < demandTTL
		if ok && p.sequence > 0 && fresh {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l *Ledger) balancePool(now time.Time, own *pb.PoolDemand, peers []poolPeer) {
	idle, lent, idleBorrowed := l.poolRecords(own.GetPool())
	l.returnIdle(now, own, idleBorrowed)
	queued := int(own.GetQueued())
	l.announceShortage(own.GetPool(), max(0, queued-len(idle)))
	if spare := len(idle) - queued; spare > 0 {
		l.lend(idle, spare, lent, peers)
	}
	if shortage := queued - len(idle); shortage > 0 {
		l.recall(own, shortage, lent, peers)
	}
}

// poolRecords returns the idle owned slots of a pool, the lent ones and the idle borrowed ones. The idle owned ones are
// ordered by index, so that consecutive slots belong to different hosts.
func (l *Ledger) poolRecords(pool string) (idle, lent, idleBorrowed []*record) {
	for _, h := range l.pools[pool] {
		for _, r := range h.records {
			switch {
			case r.owned && r.lent != nil:
				lent = append(lent, r)
			case r.owned && r.tokenSerial == 0 && r.open() && r.ready():
				idle = append(idle, r)
			case r.borrowed != nil && r.tokenSerial == 0:
				idleBorrowed = append(idleBorrowed, r)
			}
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return idle[i].key.index < idle[j].key.index })
	return idle, lent, idleBorrowed
}

// returnIdle returns borrowed slots on hosts that take no work and those that have been idle for returnAfter while this
// member's queue was empty.
func (l *Ledger) returnIdle(now time.Time, own *pb.PoolDemand, idleBorrowed []*record) {
	for _, r := range idleBorrowed {
		switch {
		case !r.open():
			l.returnLoan(r)
		case own.GetQueued() > 0:
			r.borrowed.idleSince = zeroTime
		case r.borrowed.idleSince.IsZero():
			r.borrowed.idleSince = now
		case now.Sub(r.borrowed.idleSince) >= returnAfter:
			l.returnLoan(r)
		}
	}
}

// lend lends at most spare of the idle slots. All lenders see the same queues, so each lends a share proportional to
// its part of all idle slots.
func (l *Ledger) lend(idle []*record, spare int, lent []*record, peers []poolPeer) {
	unconfirmed := map[memberID]int{}
	for _, r := range lent {
		if !r.lent.confirmed {
			unconfirmed[r.lent.to]++
		}
	}
	totalIdle := spare
	for i := range peers {
		p := &peers[i]
		p.wanted = int(p.demand.GetQueued()-p.demand.GetIdle()) - unconfirmed[p.id]
		if p.demand.GetQueued() == 0 {
			totalIdle += int(p.demand.GetIdle())
		}
	}
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].wanted > peers[j].wanted })
	totalWanted := 0
	for _, p := range peers {
		totalWanted += max(0, p.wanted)
	}
	if totalWanted == 0 {
		return
	}
	for _, p := range peers {
		if p.wanted <= 0 {
			break
		}
		n := p.wanted
		if totalWanted > totalIdle {
			n = ceilDiv(p.wanted*totalIdle, totalWanted)
		}
		n = min(ceilDiv(n*spare, totalIdle), len(idle))
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
		totalIdle -= n
		spare -= n
		totalWanted -= p.wanted
		if spare <= 0 || totalIdle <= 0 || totalWanted <= 0 {
			return
		}
	}
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// recall recalls loans until shortage loans are being recalled, starting with the borrower that has the shortest queue
// per slot. Borrowers whose queue per slot times recallRatio reaches this member's keep their loans.
func (l *Ledger) recall(own *pb.PoolDemand, shortage int, lent []*record, peers []poolPeer) {
	pressureOf := map[memberID]float64{}
	for _, p := range peers {
		pressureOf[p.id] = pressure(p.demand)
	}
	for _, r := range lent {
		if r.lent.recalled {
			shortage--
		}
	}
	sort.SliceStable(lent, func(i, j int) bool { return pressureOf[lent[i].lent.to] < pressureOf[lent[j].lent.to] })
	ownPressure := pressure(own)
	if own.GetRunning()+own.GetIdle() == 0 {
		ownPressure = math.Inf(1) // without any slot no queued request would start
	}
	for _, r := range lent {
		if shortage <= 0 || pressureOf[r.lent.to]*recallRatio >= ownPressure {
			return
		}
		if !r.lent.recalled {
			r.lent.recalled = true
			l.pending[r.lent.to.name] = true
			shortage--
		}
	}
}

// pressure returns the queue length per slot that serves the queue.
func pressure(d *pb.PoolDemand) float64 {
	return float64(d.GetQueued()) / float64(max(1, d.GetRunning()+d.GetIdle()))
}
