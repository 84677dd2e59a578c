package tablefollow

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// slowLink delays each read, and each answer of a watch that contains events.
type slowLink struct {
	store.Transactor
	delay time.Duration
}

func (s slowLink) Range(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	if !sleep(ctx, s.delay) {
		return nil, 0, store.Unavailable.Wrap(ctx.Err())
	}
	return s.Transactor.Range(ctx, prefix, stale)
}

func (s slowLink) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	events, asOf, err := s.Transactor.Watch(ctx, prefix, after, wait)
	if err == nil && len(events) > 0 && !sleep(ctx, s.delay) {
		return nil, 0, store.Unavailable.Wrap(ctx.Err())
	}
	return events, asOf, err
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// TestLargeTableOnSlowLink reads a table that takes longer than the initial read timeout. With a fixed timeout no read would
// complete, and after a restart of all hosts none would have a configuration.
func TestLargeTableOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memtxn.New()
		kv := shared.Client("host")
		put := func(version string) {
			_, err := kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: key, Data: []byte(version)}}})
			assert.NilError(t, err)
		}
		put("1")
		f := New(slowLink{Transactor: kv, delay: 1400 * time.Millisecond}, key, parse, time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(ended)
		}()
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.Table() != nil && f.Table().Version == 1)
		for version := range int64(8) {
			time.Sleep(700 * time.Millisecond)
			put(string(rune('2' + version)))
			time.Sleep(3 * time.Second)
			assert.Equal(t, f.Table().Version, 2+version)
		}
		cancel()
		<-ended
	})
}
