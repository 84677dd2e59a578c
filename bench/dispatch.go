package bench

import (
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

// dispatcherOf returns the entry host that dispatches the slots of a pool, chosen by rendezvous hashing.
func dispatcherOf(pool string, nodes []int) int {
	set := &pb.OwnerSet{}
	byName := map[string]int{}
	for _, i := range nodes {
		set.Owners = append(set.Owners, &pb.Owner{Name: entryHostName(i)})
		byName[entryHostName(i)] = i
	}
	o, _ := rendezvous.Owner(pool, set)
	return byName[o.GetName()]
}

// slotID identifies a slot in the strategies with a dispatcher.
type slotID struct {
	host  string
	index int
}

// poolSlots returns the slots of a pool, ordered by index before host, so that its prefixes spread over the hosts.
func poolSlots(d Deployment, pool string) []slotID {
	var out []slotID
	for index := range slotsPerHost {
		for _, p := range d.Pools {
			for i := range p.Workers {
				if p.Name == pool {
					out = append(out, slotID{host: fmt.Sprintf("%s-%02d", pool, i), index: index})
				}
			}
		}
	}
	return out
}

func loanOf(id slotID) *pb.Loan {
	return &pb.Loan{Slot: &pb.SlotID{Host: id.host, Index: uint32(id.index)}, Loan: 1 << 30}
}
