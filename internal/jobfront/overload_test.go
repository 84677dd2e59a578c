package jobfront

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Entry hosts used to accept any number of jobs for a pool whose owner could not place their tasks soon. While the owner
// is overloaded, jobs that add to its backlog are rejected at once with a Retry-After, and are not stored.
func TestJobsForOverloadedOwnerAreRejected(t *testing.T) {
	const (
		batch      = `{"steps":[{"count":1}]}`
		persistent = `{"steps":[{"count":1,"persistent":true}]}`
		delayed    = `{"start_at_ms":4102444800000,"steps":[{"count":1}]}`
		settleTime = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		b := newFakeBackend()
		b.ownerDelay = 2600 * time.Millisecond
		f := b.front()
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		defer func() {
			cancel()
			time.Sleep(settleTime)
		}()
		post := func(path, body string) int { return do(f, http.MethodPost, path, body).Code }
		assert.Equal(t, post("/a/0001", batch), http.StatusOK)
		time.Sleep(settleTime)
		rejected := do(f, http.MethodPost, "/a/0002", batch)
		assert.Equal(t, rejected.Code, http.StatusServiceUnavailable)
		assert.Equal(t, rejected.Header().Get("Retry-After"), "2")
		assert.Equal(t, len(b.records), 1)
		assert.Equal(t, post("/a/b/0003", batch), http.StatusOK, "another pool")
		assert.Equal(t, post("/a/0004", persistent), http.StatusOK, "persistent tasks are placed first")
		assert.Equal(t, post("/a/0005", delayed), http.StatusOK, "starts later")
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, post("/a/0002", batch), http.StatusOK)
		time.Sleep(settleTime)
		b.mu.Lock()
		b.ownerDelay = 0
		b.mu.Unlock()
		assert.Equal(t, post("/a/0006", persistent), http.StatusOK)
		time.Sleep(settleTime)
		assert.Equal(t, post("/a/0007", batch), http.StatusOK, "its owner has caught up")
	})
}
