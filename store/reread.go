package store

import (
	"context"
	"errors"
)

// GetPatiently reads a key, and once more if the answer took longer than a call may take: reading has no effect, and an
// order of an operator need not fail for one late answer. Errors: Unavailable.
func GetPatiently(ctx context.Context, kv KV, key string) (Value, error) {
	value, err := kv.Get(ctx, key)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return kv.Get(ctx, key)
	}
	return value, err
}
