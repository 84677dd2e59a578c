package upstream

import (
	"context"
	"sync"
)

// tracker counts active exchanges and wakes goroutines that wait for the count to become 0. It is safe for concurrent use.
type tracker struct {
	mu     sync.Mutex
	active int
	idle   chan struct{} // closed when active becomes 0; nil without waiters
}

// add increments the count and returns the function that decrements it, which may be called repeatedly.
func (t *tracker) add() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return sync.OnceFunc(t.end)
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

func (t *tracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.active == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
