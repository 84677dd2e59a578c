// Package wait provides a sleep that ends when a context does.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns ctx.Err() if ctx ends first, or if d is not positive.
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
