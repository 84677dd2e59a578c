package scheduler_test

import (
	"maps"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/samber/lo"
)

// recordSeals keeps the durable record of sealed workers in line with the pool's, as the roster does.
func (o *simOwner) recordSeals() {
	s := o.sim
	if o.replaced {
		return
	}
	seals := o.pool.Seal(s.time())
	s.after(100, o.recordSeals)
	if len(seals) == 0 && len(o.inheritedSeals) == 0 && !o.sealsHeld {
		return
	}
	o.sealsHeld = true
	if s.faultsActive() && s.sealRNG.Float64() < s.faults.lostRecords {
		return
	}
	s.after(5+s.sealRNG.Int64N(30), func() {
		if o.replaced || s.owner != o {
			return
		}
		recorded := lo.KeyBy(seals, func(x scheduler.SealedWorker) string { return x.Worker })
		maps.Copy(recorded, o.inheritedSeals)
		s.durableSeals = recorded
		o.sealsHeld = len(recorded) > 0
		keep := lo.MapValues(recorded, func(scheduler.SealedWorker, string) bool { return true })
		o.handle(func(p *scheduler.Pool) { p.Unseal(s.time(), keep) })
	})
}

// adoptSeals passes the recorded seals of the listed workers to the pool.
func (o *simOwner) adoptSeals(listed []scheduler.Worker) {
	for _, w := range listed {
		if seal, ok := o.inheritedSeals[w.ID]; ok {
			delete(o.inheritedSeals, w.ID)
			o.sim.adoptedSeals++
			o.pool.AdoptSealed(o.sim.time(), seal)
		}
	}
}
