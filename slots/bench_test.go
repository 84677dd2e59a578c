package slots

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// benchHosts is the number of hosts per pool and benchMembers the number of entry hosts that the system is designed
// for.
const (
	benchHosts   = 50
	benchMembers = 9
)

// newBenchLedger returns a settled ledger with the given number of pools, its own demand and its peers' demand. One
// peer has a queue in every pool.
func newBenchLedger(pools int) (*Ledger, []*pb.PoolDemand, map[string]PeerDemand) {
	fleet := &pb.Fleet{Revision: 1, Owners: &pb.OwnerSet{}}
	for i := range benchMembers {
		name := fmt.Sprintf("entry-%d", i)
		fleet.Members = append(fleet.Members, &pb.Member{Name: name, Incarnation: "i"})
		fleet.Owners.Owners = append(fleet.Owners.Owners, &pb.Owner{Name: name, Incarnation: "i"})
	}
	var hosts []HostSlots
	var own, queued []*pb.PoolDemand
	for p := range pools {
		pool := fmt.Sprintf("pool-%02d", p)
		own = append(own, &pb.PoolDemand{Pool: pool})
		queued = append(queued, &pb.PoolDemand{Pool: pool, Queued: 20})
		for h := range benchHosts {
			hosts = append(hosts, HostSlots{Host: fmt.Sprintf("%s-host-%03d", pool, h), Pool: pool, Slots: 8})
		}
	}
	l := NewLedger(&pb.Owner{Name: "entry-0", Incarnation: "i"})
	l.SetOwners(fleet)
	l.SetHosts(hosts)
	peers := map[string]PeerDemand{}
	for _, m := range fleet.GetMembers()[1:] {
		l.Incoming(&pb.Heartbeat{Name: m.GetName(), Incarnation: "i", Sequence: 1, Slots: &pb.SlotExchange{OwnersRevision: l.revision, OwnersHash: l.ownersHash}})
		peers[m.GetName()] = PeerDemand{Pools: own}
	}
	peers["entry-1"] = PeerDemand{Pools: queued}
	return l, own, peers
}

// BenchmarkBalance measures one decision for one pool, with 7 and 28 pools in the ledger.
func BenchmarkBalance(b *testing.B) {
	for _, pools := range []int{7, 28} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			l, own, peers := newBenchLedger(pools)
			one := map[string]PeerDemand{}
			for name, p := range peers {
				one[name] = PeerDemand{Pools: p.Pools[:1]}
			}
			l.Balance(time.Unix(1, 0), own, peers)
			b.ReportAllocs()
			for b.Loop() {
				l.Balance(time.Unix(1, 0), own[:1], one)
			}
		})
	}
}

func BenchmarkTakeRelease(b *testing.B) {
	for _, pools := range []int{7, 28} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			l, _, _ := newBenchLedger(pools)
			host := l.Free("pool-00")[0].Host
			b.ReportAllocs()
			for b.Loop() {
				t, _ := l.Take(host)
				l.Release(t)
			}
		})
	}
}

func BenchmarkFree(b *testing.B) {
	l, _, _ := newBenchLedger(28)
	b.ReportAllocs()
	for b.Loop() {
		l.Free("pool-00")
	}
}

// BenchmarkOutgoing measures Outgoing for a peer that has loans in every pool.
func BenchmarkOutgoing(b *testing.B) {
	l, own, peers := newBenchLedger(28)
	l.Balance(time.Unix(1, 0), own, peers)
	b.ReportAllocs()
	for b.Loop() {
		l.Outgoing("entry-1")
	}
	b.ReportMetric(float64(len(l.Outgoing("entry-1").GetLends())), "loans")
}

// BenchmarkSetOwners measures a change of owners with 28 pools.
func BenchmarkSetOwners(b *testing.B) {
	l, _, _ := newBenchLedger(28)
	f := &pb.Fleet{Revision: 1, Owners: &pb.OwnerSet{}}
	for i := range benchMembers {
		f.Members = append(f.Members, &pb.Member{Name: fmt.Sprintf("entry-%d", i), Incarnation: "i"})
	}
	all := l.owners.GetOwners()
	b.ReportAllocs()
	for b.Loop() {
		f.Revision++
		f.Owners = &pb.OwnerSet{Owners: all[:benchMembers-int(f.GetRevision()%2)]}
		l.SetOwners(f)
	}
}
