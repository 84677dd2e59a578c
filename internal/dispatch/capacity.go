package dispatch

import (
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/slots"
)

// This file computes how much work a pool's hosts can accept from this entry host.

// usableSlots returns the number of free slots that this entry host holds on the hosts of a pool that are neither ejected
// nor leaving.
func (d *Dispatcher) usableSlots(pool string) int {
	return lo.SumBy(d.ledger.Free(pool), func(f slots.HostFree) int {
		return lo.Ternary(d.acceptsWork(f.Host), f.Free, 0)
	})
}

func (d *Dispatcher) acceptsWork(host string) bool {
	return !d.router.Ejected(host) && !d.isLeaving(host)
}

// updateReachable counts the slots of a pool that this entry host holds or could obtain from its peers, and passes the count
// to the queues, which estimate waiting times from it. Counting visits every slot of the pool, so it is done at most once per
// dispatchTick, and only while something is queued.
func (d *Dispatcher) updateReachable(now time.Time, pool string) {
	if len(d.waiting) == 0 || now.Sub(d.countedAt[pool]) < dispatchTick {
		return
	}
	d.countedAt[pool] = now
	d.queues.SetReachable(pool, d.ledger.Reachable(now, pool, d.peers, d.acceptsWork))
}

// candidates returns the active, configured hosts of a pool that are not leaving, each with the free slots that this entry
// host holds on it. It includes ejected hosts, because the router sends them probes.
func (d *Dispatcher) candidates(pool string) []routing.Candidate {
	free := lo.SliceToMap(d.ledger.Free(pool), func(f slots.HostFree) (string, int) { return f.Host, f.Free })
	return lo.FilterMap(d.view.Gate.Active(pool), func(name string, _ int) (routing.Candidate, bool) {
		host, configured := d.hosts[name]
		return routing.Candidate{
			Host:              name,
			DataCentre:        host.GetDataCentre(),
			Rack:              host.GetRack(),
			Free:              free[name],
			Slots:             int(host.GetSlots()),
			DueForMaintenance: d.due[name],
		}, configured && !d.isLeaving(name)
	})
}
