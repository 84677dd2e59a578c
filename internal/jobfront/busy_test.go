package jobfront

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Jobs were accepted without end for a pool whose owner could not order their tasks, and left alone: they are refused at
// once while that is so, with the time to come back, and nothing of them is stored.
func TestJobsThatTheirOwnerCannotOrderAreRefused(t *testing.T) {
	const (
		batch  = `{"steps":[{"count":1}]}`
		lasts  = `{"steps":[{"count":1,"persistent":true}]}`
		timed  = `{"start_at_ms":4102444800000,"steps":[{"count":1}]}`
		moment = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.busy = 2600 * time.Millisecond
		f := w.front()
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		defer func() {
			cancel()
			time.Sleep(moment)
		}()
		post := func(path, body string) int { return do(f, http.MethodPost, path, body).Code }
		assert.Equal(t, post("/a/0001", batch), http.StatusOK)
		time.Sleep(moment)
		refused := do(f, http.MethodPost, "/a/0002", batch)
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Equal(t, refused.Header().Get("Retry-After"), "2")
		assert.Equal(t, len(w.records), 1)
		assert.Equal(t, post("/a/b/0003", batch), http.StatusOK, "another pool")
		assert.Equal(t, post("/a/0004", lasts), http.StatusOK, "it comes first")
		assert.Equal(t, post("/a/0005", timed), http.StatusOK, "it starts later")
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, post("/a/0002", batch), http.StatusOK)
		time.Sleep(moment)
		w.mu.Lock()
		w.busy = 0
		w.mu.Unlock()
		assert.Equal(t, post("/a/0006", lasts), http.StatusOK)
		time.Sleep(moment)
		assert.Equal(t, post("/a/0007", batch), http.StatusOK, "its owner has caught up")
	})
}
