// Package wait is a sleep that a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns ctx's error if ctx ends first, or has ended and there is nothing to wait for.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
