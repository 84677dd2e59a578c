package routing

import "github.com/agateturn/agateturn/tokenbucket"

const (
	// maxBudget bounds the retries that a quiet time saves up.
	maxBudget = 10.0
	// floorBudget bounds the retries that time alone gives back.
	floorBudget = 1.0
)

// budget holds the retries of a service; first attempts fill it.
func (r *Router) budget(service string) *tokenbucket.Bucket {
	b, ok := r.budgets[service]
	if !ok {
		b = &tokenbucket.Bucket{}
		r.budgets[service] = b
	}
	return b
}
