package dispatch

import (
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/slots"
)

// This file is what a pool's hosts can take from this entry host.

// usableSlots counts the free slots on hosts that are not ejected.
func (d *Dispatcher) usableSlots(pool string) int {
	return lo.SumBy(d.ledger.Free(pool), func(f slots.HostFree) int {
		return lo.Ternary(d.takesWork(f.Host), f.Free, 0)
	})
}

func (d *Dispatcher) takesWork(host string) bool {
	return !d.router.Ejected(host) && !d.isLeaving(host)
}

// countReachable tells the queues how many slots a pool can come to have here. Without anything queued there is no wait
// to be estimated, and each count looks at every slot of the pool.
func (d *Dispatcher) countReachable(now time.Time, pool string) {
	if len(d.waiting) == 0 || now.Sub(d.counted[pool]) < dispatchTick {
		return
	}
	d.counted[pool] = now
	d.queues.SetReachable(pool, d.ledger.Reachable(now, pool, d.peers, d.takesWork))
}

// candidates are the active hosts of a pool, with the slots that are free here.
func (d *Dispatcher) candidates(pool string) []routing.Candidate {
	free := lo.SliceToMap(d.ledger.Free(pool), func(f slots.HostFree) (string, int) { return f.Host, f.Free })
	return lo.FilterMap(d.view.Gate.Active(pool), func(name string, _ int) (routing.Candidate, bool) {
		host, known := d.hosts[name]
		return routing.Candidate{
			Host:              name,
			DataCentre:        host.GetDataCentre(),
			Rack:              host.GetRack(),
			Free:              free[name],
			Slots:             int(host.GetSlots()),
			DueForMaintenance: d.due[name],
		}, known && !d.isLeaving(name)
	})
}
