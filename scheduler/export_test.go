package scheduler

import "github.com/agateturn/agateturn/contention"

// SetOrder replaces the placement order, for comparisons.
func (p *Pool) SetOrder(order contention.Ordering) { p.orderOf = order }
