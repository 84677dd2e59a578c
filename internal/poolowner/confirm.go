package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

// confirmationSpacing is the least time between the end of a confirmation and the next one. The leases of workers that became
// silent together expire one after the other.
const confirmationSpacing = 100 * time.Millisecond

// requestConfirmation requests a confirmation of the ownership by a call that begins after it. It never blocks.
func (o *Owner) requestConfirmation() {
	select {
	case o.confirmNow <- struct{}{}:
	default:
	}
}

// confirm confirms the ownership on request, one call at a time. A call that fails is not repeated: the next step requests another.
func (o *Owner) confirm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.confirmNow:
		}
		if o.Confirm(ctx) {
			o.enqueue(ctx, func(*scheduler.Pool, time.Time) {}) // so that a step follows
		}
		_ = wait.For(ctx, confirmationSpacing)
	}
}
