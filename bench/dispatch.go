package bench

import (
	"fmt"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

// dispatcherOf returns the entry host that dispatches a pool.
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

// slotID names a slot in the baselines.
type slotID struct {
	host  string
	index int
}

// poolSlots lists the slots of a pool.
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
