package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// pair returns two settled ledgers over one host each of sixteen slots, and a function that lets them talk.
func pair() (one, two *Ledger, talk func()) {
	w := newWorld(func(int) int { return 1 }, correct)
	w.nodes = w.nodes[:2]
	w.fleet.Members = w.fleet.GetMembers()[:2]
	w.heal()
	for _, n := range w.nodes {
		n.ledger.SetHosts([]HostSlots{{Host: "big", Pool: worldPool, Slots: 16}})
	}
	talk = func() {
		for _, from := range w.nodes {
			for _, to := range w.nodes {
				w.send(from, to)
			}
		}
		for _, m := range w.net {
			w.deliver(w.node(m.to), m.hb)
		}
		w.net = nil
	}
	talk()
	return w.nodes[0].ledger, w.nodes[1].ledger, talk
}

func demandOf(queued, running int64) []*pb.PoolDemand {
	return []*pb.PoolDemand{{Pool: worldPool, Queued: queued, Running: running}}
}

func TestLendsToAFreshQueueOnly(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, talk := pair()
	peers := map[string]PeerDemand{"e1": {Pools: demandOf(100, 0), Heard: now.Add(-time.Minute)}}
	one.Balance(now, demandOf(0, 0), peers)
	assert.Equal(t, one.Lent(), 0, "lent to a member that has not been heard of for a minute")

	peers["e1"] = PeerDemand{Pools: demandOf(3, 0), Heard: now}
	one.Balance(now, demandOf(0, 0), peers)
	one.Balance(now, demandOf(0, 0), peers)
	assert.Equal(t, one.Lent(), 3, "the second decision must count what is on its way")
	assert.Assert(t, one.Pending("e1"))
	talk()
	assert.Assert(t, !one.Pending("e1"))
	assert.Equal(t, two.Borrowed(), 3)
}

func TestLendsInTheBorrowersDataCentreFirst(t *testing.T) {
	now := time.Unix(100, 0)
	one, _, talk := pair()
	one.SetHosts([]HostSlots{
		{Host: "big", Pool: worldPool, Slots: 16, DataCentre: "palermo"},
		{Host: "far", Pool: worldPool, Slots: 16, DataCentre: "catania"},
	})
	talk()
	far := map[string]PeerDemand{"e1": {Pools: demandOf(2, 0), DataCentre: "catania"}}
	one.Balance(now, demandOf(0, 0), far)
	assert.Equal(t, one.Lent(), 2)
	for key := range one.lent {
		assert.Equal(t, key.host, "far")
	}
}

func TestRecallsFromTheShorterQueue(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, talk := pair()
	one.Balance(now, demandOf(0, 0), map[string]PeerDemand{"e1": {Pools: demandOf(100, 0)}})
	own := one.Lent()
	assert.Assert(t, own > 0)
	talk()
	one.Balance(now, demandOf(50, 1), map[string]PeerDemand{"e1": {Pools: demandOf(1000, 16)}})
	talk()
	assert.Equal(t, two.Borrowed(), own, "the borrower needs its loans more")
	one.Balance(now, demandOf(50, 1), map[string]PeerDemand{"e1": {Pools: demandOf(0, 0)}})
	talk()
	talk()
	assert.Equal(t, two.Borrowed(), 0)
	assert.Equal(t, one.FreeSlots(worldPool), own)
}

func TestReturnsIdleLoans(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, talk := pair()
	one.Balance(now, demandOf(0, 0), map[string]PeerDemand{"e1": {Pools: demandOf(100, 0)}})
	talk()
	for _, at := range []time.Time{now, now.Add(returnAfter)} {
		assert.Assert(t, two.Borrowed() > 0)
		two.Balance(at, demandOf(0, 0), nil)
	}
	assert.Equal(t, two.Borrowed(), 0)
	talk()
	assert.Equal(t, one.Lent(), 0)
}
