package routing

import "github.com/agateturn/agateturn/tokenbucket"

const (
	// maxBudget bounds the retries that first attempts can accumulate.
	maxBudget = 10.0
	// floorBudget bounds the retries that the time-based refill (Options.RetryFloor) can accumulate.
	floorBudget = 1.0
)

// budget returns the retry budget of a service and creates it if it doesn't exist.
func (r *Router) budget(service string) *tokenbucket.Bucket {
	b, ok := r.budgets[service]
	if !ok {
		b = &tokenbucket.Bucket{}
		r.budgets[service] = b
	}
	return b
}
