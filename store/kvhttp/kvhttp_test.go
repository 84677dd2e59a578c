package kvhttp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/platformd"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/kvhttp"
	"github.com/agateturn/agateturn/store/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a client of a new platform stand-in, and the stand-in.
func start(t *testing.T) (*kvhttp.Store, *platformd.Server) {
	t.Helper()
	platform := platformd.New(platformd.Config{})
	server := httptest.NewServer(platform)
	client := kvhttp.New(server.URL, "agateturn/", "secret", 2*time.Second)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
		platform.Close()
	})
	return client, platform
}

func TestCompareAndSwap(t *testing.T) {
	client, _ := start(t)
	ctx := t.Context()
	absent, err := client.Get(ctx, "fleet")
	assert.NilError(t, err)
	assert.Equal(t, absent.Version, uint64(0))

	long := []byte(strings.Repeat("host ", 2000))
	version, err := client.CompareAndSwap(ctx, "fleet", 0, long)
	assert.NilError(t, err)
	found, err := client.Get(ctx, "fleet")
	assert.NilError(t, err)
	assert.DeepEqual(t, found, store.Value{Data: long, Version: version})

	_, err = client.CompareAndSwap(ctx, "fleet", 0, []byte("other"))
	assert.Assert(t, store.Conflict.Has(err), "%v", err)
	next, err := client.CompareAndSwap(ctx, "fleet", version, []byte("next"))
	assert.NilError(t, err)
	assert.Assert(t, next > version)
}

func TestWaitReturnsChangeOrSameValue(t *testing.T) {
	client, platform := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for version := range uint64(3) {
		_, err := platform.Store().CompareAndSwap(ctx, "another key", version, nil)
		assert.NilError(t, err)
	}
	seen := make(chan store.Value, 1)
	go func() {
		value, _ := client.Wait(ctx, "fleet", 0)
		seen <- value
	}()
	for platform.Store().Counters().Waiting == 0 {
		assert.NilError(t, ctx.Err(), "the watch on the absent key does not wait")
		time.Sleep(time.Millisecond)
	}
	version, err := client.CompareAndSwap(t.Context(), "fleet", 0, []byte("a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, <-seen, store.Value{Data: []byte("a"), Version: version})

	short, cancelShort := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancelShort()
	same, err := client.Wait(short, "fleet", version)
	assert.NilError(t, err)
	assert.Equal(t, same.Version, version)
}

func TestLeaseIsExclusiveAndExpires(t *testing.T) {
	client, platform := start(t)
	ctx := t.Context()
	held, err := client.Acquire(ctx, "controller", "entry-1")
	assert.NilError(t, err)
	_, err = client.Acquire(ctx, "controller", "entry-2")
	assert.Assert(t, store.Conflict.Has(err), "%v", err)
	assert.ErrorContains(t, err, "entry-1")
	assert.NilError(t, held.Renew(ctx))
	holder, err := client.Get(ctx, "controller")
	assert.NilError(t, err)
	assert.Equal(t, string(holder.Data), "entry-1")

	platform.Store().ExpireSessions()
	assert.Assert(t, store.LeaseLost.Has(held.Renew(ctx)))
	second, err := client.Acquire(ctx, "controller", "entry-2")
	assert.NilError(t, err)
	assert.NilError(t, second.Release(ctx))
}

// A write on a reused connection could be replayed by the transport, so each write must use a new connection.
func TestWritesCloseTheirConnection(t *testing.T) {
	seen := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			assert.Check(t, r.Close)
			assert.Check(t, !seen[r.RemoteAddr])
			seen[r.RemoteAddr] = true
		}
		_, _ = w.Write([]byte("false"))
	}))
	defer server.Close()
	client := kvhttp.New(server.URL, "", "", time.Second)
	defer client.Close()
	for range 5 {
		_, err := client.CompareAndSwap(t.Context(), "fleet", 1, nil)
		assert.Assert(t, store.Conflict.Has(err), "%v", err)
	}
	assert.Equal(t, len(seen), 5)
}

func TestLostLeaseAnswersDoNotBlockTheKey(t *testing.T) {
	client, platform := start(t)
	ctx := t.Context()
	for lost := range 2 {
		platform.Store().SetFaults(memstore.Faults{KeepLeaseAnswers: lost, LoseNextLeaseAnswers: 1})
		_, err := client.Acquire(ctx, "controller", "entry-1")
		assert.Equal(t, store.Unavailable.Has(err), lost == 0, "%v", err) // session creation failed: nothing written
		assert.Equal(t, store.Unknown.Has(err), lost == 1, "%v", err)     // may have been acquired
		held, err := client.Acquire(ctx, "controller", "entry-2")
		assert.NilError(t, err)
		platform.Store().SetFaults(memstore.Faults{LoseNextLeaseAnswers: 1})
		assert.Assert(t, store.Unavailable.Has(held.Renew(ctx)))
		assert.NilError(t, held.Renew(ctx))
		assert.NilError(t, held.Release(ctx))
	}
	_, err := client.CompareAndSwap(ctx, "controller", 0, []byte("left without an owner"))
	assert.NilError(t, err)
	_, err = client.Acquire(ctx, "controller", "entry-3")
	assert.NilError(t, err)
}

func TestLostAnswerIsUnknownAndTookEffect(t *testing.T) {
	client, platform := start(t)
	platform.Store().SetFaults(memstore.Faults{LoseNextAnswers: 1})
	_, err := client.CompareAndSwap(t.Context(), "fleet", 0, []byte("a"))
	assert.Assert(t, store.Unknown.Has(err), "%v", err)
	found, err := client.Get(t.Context(), "fleet")
	assert.NilError(t, err)
	assert.Equal(t, string(found.Data), "a")
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := kvhttp.New("http://"+address, "", "", time.Second)
	_, err = client.CompareAndSwap(t.Context(), "fleet", 0, []byte("a"))
	assert.Assert(t, store.Unavailable.Has(err), "%v", err)
	_, err = client.Get(t.Context(), "fleet")
	assert.Assert(t, store.Unavailable.Has(err), "%v", err)
}

func Example() {
	platform := platformd.New(platformd.Config{})
	server := httptest.NewServer(platform)
	defer server.Close()
	client := kvhttp.New(server.URL, "agateturn/", "", time.Second)
	defer client.Close()

	ctx := context.Background()
	version, _ := client.CompareAndSwap(ctx, "config", 0, []byte("generation 1"))
	_, err := client.CompareAndSwap(ctx, "config", 0, []byte("generation 1, by another operator"))
	found, _ := client.Get(ctx, "config")
	fmt.Println(string(found.Data), found.Version == version, store.Conflict.Has(err))
	// Output: generation 1 true true
}
