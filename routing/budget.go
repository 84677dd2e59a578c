package routing

import "time"

// maxBudget bounds the retries that a quiet time saves up.
const maxBudget = 10.0

// budget is a token bucket that first attempts fill.
type budget struct {
	tokens float64
	last   time.Time
}

func (r *Router) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{}
		r.budgets[service] = b
	}
	return b
}

// deposit adds the retries that one first attempt allows.
func (b *budget) deposit(share float64) {
	b.tokens = min(b.tokens+share, maxBudget)
}

// take removes one token if there is one; floor is added for each second since the last call, up to one token.
func (b *budget) take(now time.Time, floor float64) bool {
	if !b.last.IsZero() && now.After(b.last) && b.tokens < 1 {
		b.tokens = min(b.tokens+floor*now.Sub(b.last).Seconds(), 1)
	}
	if b.last.IsZero() {
		b.tokens = max(b.tokens, 1)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
