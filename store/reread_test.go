package store_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store"
)

// lateStore times out on its first calls, whose number is late, and answers the others in time.
type lateStore struct {
	store.KV
	late, calls int
}

func (s *lateStore) Get(context.Context, string) (store.Value, error) {
	s.calls++
	if s.calls <= s.late {
		return store.Value{}, store.Unavailable.Wrap(context.DeadlineExceeded)
	}
	return store.Value{Version: 7}, nil
}

// A single read that times out must not fail an operator's order, while a store that keeps timing out fails it after two
// calls. A cancelled context is not retried.
func TestTimedOutReadIsRetriedOnce(t *testing.T) {
	tests := map[string]struct {
		late, calls int
		fails       bool
	}{
		"in time":     {late: 0, calls: 1},
		"late once":   {late: 1, calls: 2},
		"always late": {late: 9, calls: 2, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kv := &lateStore{late: test.late}
			value, err := store.GetWithRetry(t.Context(), kv, "key")
			assert.Equal(t, err != nil, test.fails)
			assert.Equal(t, value.Version == 7, !test.fails)
			assert.Equal(t, kv.calls, test.calls)
		})
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	kv := &lateStore{late: 9}
	_, err := store.GetWithRetry(cancelled, kv, "key")
	assert.Assert(t, store.Unavailable.Has(err))
	assert.Equal(t, kv.calls, 1)
}
