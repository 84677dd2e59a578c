// Package wait is a sleep that a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends; then it returns the context's error.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
