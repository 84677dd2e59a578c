package dispatch

import (
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/slots"
)

// This file computes how much work a pool's hosts can accept from this entry host.

// usableSlots counts the free slots on hosts that are not ejected.
func (d *Dispatcher) usableSlots(pool string) int {
	return lo.SumBy(d.ledger.Free(pool), func(f slots.HostFree) int {
		return lo.Ternary(d.acceptsWork(f.Host), f.Free, 0)
	})
}

func (d *Dispatcher) acceptsWork(host string) bool {
	return !d.router.Ejected(host) && !d.isLeaving(host)
}

// countReachable updates the queues' count of the slots that this entry host can get in a pool. A count visits every slot
// of the pool, so it is skipped while nothing is queued: there is no waiting time to estimate then.
func (d *Dispatcher) countReachable(now time.Time, pool string) {
	if len(d.waiting) == 0 || now.Sub(d.countedAt[pool]) < dispatchTick {
		return
	}
	d.countedAt[pool] = now
	d.queues.SetReachable(pool, d.ledger.Reachable(now, pool, d.peers, d.acceptsWork))
}

// candidates returns the active hosts of a pool with their free slots on this entry host.
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
