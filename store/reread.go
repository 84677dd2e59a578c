package store

import (
	"context"
	"errors"
)

// GetWithRetry reads a key and retries once if the call timed out. A read has no side effects, so an operator's order
// need not fail because of a single late answer. Errors: Unavailable.
func GetWithRetry(ctx context.Context, kv KV, key string) (Value, error) {
	value, err := kv.Get(ctx, key)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return kv.Get(ctx, key)
	}
	return value, err
}
