package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "base"))
		longest := base * time.Duration(rapid.Int64Range(1, 1000).Draw(t, "factor"))
		seed := rapid.Uint64().Draw(t, "seed")
		b := store.Backoff{Base: base, Max: longest, Random: rand.New(rand.NewPCG(seed, 0))}
		bound := base
		for range 100 {
			wait := b.Next()
			assert.Assert(t, wait > 0 && wait <= bound, "%v of %v", wait, bound)
			bound = min(bound*2, longest)
		}
		b.Reset()
		assert.Assert(t, b.Next() <= base)
	})
}

// Limits of the platform's store as its users state them: several hundred writes and about 2000 reads per second.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	entryHosts      = 9
)

// joinFleet does what an entry host does at start: read the configuration and the fleet, then add itself to the fleet.
func joinFleet(ctx context.Context, kv store.KV, wait func() error) error {
	for {
		_, err := kv.Get(ctx, "config")
		fleet, fleetErr := kv.Get(ctx, "fleet")
		if err == nil && fleetErr == nil {
			_, err = kv.CompareAndSwap(ctx, "fleet", fleet.Version, append(fleet.Data, 'm'))
			if err == nil {
				return nil
			}
		}
		if err := wait(); err != nil {
			return err
		}
	}
}

// restartAll starts nine entry hosts at once during a store outage of one minute and returns the store's counters.
func restartAll(t *testing.T, makeWait func(host int) func() error) memstore.Counters {
	t.Helper()
	s := memstore.New(0)
	s.SetFaults(memstore.Faults{Down: true})
	var running sync.WaitGroup
	for host := range entryHosts {
		running.Go(func() { assert.Check(t, joinFleet(t.Context(), s, makeWait(host))) })
	}
	time.Sleep(time.Minute)
	s.SetFaults(memstore.Faults{Delay: 4 * time.Millisecond})
	running.Wait()
	fleet, err := s.Get(t.Context(), "fleet")
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.Data), entryHosts)
	return s.Counters()
}

func withinLimits(c memstore.Counters) bool {
	return c.PeakSecond.Writes <= writesPerSecond && c.PeakSecond.Reads <= readsPerSecond
}

// A simultaneous restart of all hosts must not exceed the limits of the store when its outage ends. The baseline retries
// after a short fixed wait and must exceed them, which shows that the check can fail.
func TestRestartOfAllHostsFitsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		baseline := restartAll(t, func(int) func() error {
			return func() error { time.Sleep(5 * time.Millisecond); return nil }
		})
		t.Logf("baseline: busiest second %+v", baseline.PeakSecond)
		assert.Assert(t, !withinLimits(baseline))
	})
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			counters := restartAll(t, func(host int) func() error {
				b := store.DefaultBackoff()
				b.Random = rand.New(rand.NewPCG(seed, uint64(host)))
				return func() error { return b.Sleep(t.Context()) }
			})
			t.Logf("seed %d: busiest second %+v, all %+v", seed, counters.PeakSecond, counters.Total)
			assert.Assert(t, withinLimits(counters), "seed %d", seed)
		})
	}
}

func ExampleBackoff() {
	b := store.Backoff{Base: 100 * time.Millisecond, Max: time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	first, second := b.Next(), b.Next()
	fmt.Println(first <= 100*time.Millisecond, second <= 200*time.Millisecond)
	// Output: true true
}
