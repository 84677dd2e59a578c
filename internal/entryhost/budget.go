package entryhost

import "time"

// budget is a token bucket. It is not safe for concurrent use.
type budget struct {
	rate, burst float64 // tokens a second, and the most that are saved up
	tokens      float64
	last        time.Time
}

func newBudget(rate, burst float64) budget { return budget{rate: rate, burst: burst, tokens: burst} }

// take uses one token, or returns false if there is none.
func (b *budget) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
