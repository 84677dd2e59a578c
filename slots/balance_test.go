package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// newPair returns two settled ledgers over one host of sixteen slots, and a function that exchanges their heartbeats.
func newPair() (one, two *Ledger, exchange func()) {
	s := newSimulation(func(int) int { return 1 }, correct)
	s.nodes = s.nodes[:2]
	s.fleet.Members = s.fleet.GetMembers()[:2]
	s.restore()
	for _, n := range s.nodes {
		n.ledger.SetHosts([]HostSlots{{Host: "big", Pool: simPool, Slots: 16}})
	}
	exchange = func() {
		for _, from := range s.nodes {
			for _, to := range s.nodes {
				s.send(from, to)
			}
		}
		for _, m := range s.inFlight {
			s.deliver(s.node(m.to), m.hb)
		}
		s.inFlight = nil
	}
	exchange()
	return s.nodes[0].ledger, s.nodes[1].ledger, exchange
}

func demandOf(queued, running int64) []*pb.PoolDemand {
	return []*pb.PoolDemand{{Pool: simPool, Queued: queued, Running: running}}
}

func TestLendsOnFreshDemandOnly(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, exchange := newPair()
	peers := map[string]PeerDemand{"e1": {Pools: demandOf(100, 0), Heard: now.Add(-time.Minute)}}
	one.Balance(now, demandOf(0, 0), peers)
	assert.Equal(t, one.Lent(), 0, "lent to a member whose last heartbeat is a minute old")

	peers["e1"] = PeerDemand{Pools: demandOf(3, 0), Heard: now}
	one.Balance(now, demandOf(0, 0), peers)
	one.Balance(now, demandOf(0, 0), peers)
	assert.Equal(t, one.Lent(), 3, "the second decision must count loans that the borrower has not confirmed")
	assert.Assert(t, one.Pending("e1"))
	exchange()
	assert.Assert(t, !one.Pending("e1"))
	assert.Equal(t, two.Borrowed(), 3)
}

func TestPrefersBorrowersDataCentre(t *testing.T) {
	now := time.Unix(100, 0)
	one, _, exchange := newPair()
	one.SetHosts([]HostSlots{
		{Host: "big", Pool: simPool, Slots: 16, DataCentre: "palermo"},
		{Host: "far", Pool: simPool, Slots: 16, DataCentre: "catania"},
	})
	exchange()
	far := map[string]PeerDemand{"e1": {Pools: demandOf(2, 0), DataCentre: "catania"}}
	one.Balance(now, demandOf(0, 0), far)
	assert.Equal(t, one.Lent(), 2)
	for key := range one.lent {
		assert.Equal(t, key.host, "far")
	}
}

func TestRecallsFromShorterQueue(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, exchange := newPair()
	one.Balance(now, demandOf(0, 0), map[string]PeerDemand{"e1": {Pools: demandOf(100, 0)}})
	own := one.Lent()
	assert.Assert(t, own > 0)
	exchange()
	one.Balance(now, demandOf(50, 1), map[string]PeerDemand{"e1": {Pools: demandOf(1000, 16)}})
	exchange()
	assert.Equal(t, two.Borrowed(), own, "recalled although the borrower has the longer queue per slot")
	one.Balance(now, demandOf(50, 1), map[string]PeerDemand{"e1": {Pools: demandOf(0, 0)}})
	exchange()
	exchange()
	assert.Equal(t, two.Borrowed(), 0)
	assert.Equal(t, one.FreeSlots(simPool), own)
}

func TestReturnsIdleLoans(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, exchange := newPair()
	one.Balance(now, demandOf(0, 0), map[string]PeerDemand{"e1": {Pools: demandOf(100, 0)}})
	exchange()
	for _, at := range []time.Time{now, now.Add(returnAfter)} {
		assert.Assert(t, two.Borrowed() > 0)
		two.Balance(at, demandOf(0, 0), nil)
	}
	assert.Equal(t, two.Borrowed(), 0)
	exchange()
	assert.Equal(t, one.Lent(), 0)
}
