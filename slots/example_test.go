package slots_test

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/slots"
)

// Two entry hosts share one host of eight slots; the one with a queue borrows from the other.
func Example() {
	fleet := &pb.Fleet{
		Revision: 1,
		Members:  []*pb.Member{{Name: "e1", Incarnation: "a"}, {Name: "e2", Incarnation: "b"}},
		Owners:   &pb.OwnerSet{Owners: []*pb.Owner{{Name: "e1", Incarnation: "a"}, {Name: "e2", Incarnation: "b"}}},
	}
	one := slots.NewLedger(&pb.Owner{Name: "e1", Incarnation: "a"})
	two := slots.NewLedger(&pb.Owner{Name: "e2", Incarnation: "b"})
	for _, l := range []*slots.Ledger{one, two} {
		l.SetOwners(fleet)
		l.SetHosts([]slots.HostSlots{{Host: "w1", Pool: "tastings", Slots: 8}})
	}
	sequence := uint64(0)
	exchange := func() {
		sequence++
		two.Incoming(&pb.Heartbeat{Name: "e1", Incarnation: "a", Sequence: sequence, Slots: one.Outgoing("e2")})
		one.Incoming(&pb.Heartbeat{Name: "e2", Incarnation: "b", Sequence: sequence, Slots: two.Outgoing("e1")})
	}
	exchange()
	fmt.Println("together", one.FreeSlots("tastings")+two.FreeSlots("tastings"))

	queue := []*pb.PoolDemand{{Pool: "tastings", Queued: 100}}
	now := time.Unix(0, 0)
	peers := map[string]slots.PeerDemand{"e2": {Pools: queue, Heard: now}}
	one.Balance(now, []*pb.PoolDemand{{Pool: "tastings"}}, peers)
	exchange()
	fmt.Println("lender", one.FreeSlots("tastings"), "borrower", two.FreeSlots("tastings"))
	// Output:
	// together 8
	// lender 0 borrower 8
}
