package scheduler

import "github.com/agateturn/agateturn/contention"

// SetOrder replaces the placement order, for comparisons.
func (p *Pool) SetOrder(order contention.Ordering) { p.orderOf = order }

// FenceFor returns the fencing token of calls to a worker, 0 if it is unknown.
func (p *Pool) FenceFor(id string) uint64 {
	if w := p.workers[id]; w != nil {
		return p.fenceFor(w)
	}
	return 0
}
