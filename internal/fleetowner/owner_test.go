package fleetowner_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/agateturn/agateturn/internal/fleetowner"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"gotest.tools/v3/assert"
)

const (
	ownerKey = "agateturn/owner/~fleet"
	poolKey  = "agateturn/owner/pool"
)

type fixture struct {
	store *fakeStore
	hosts *fakeHosts
	fence atomic.Uint64
	pools *fakePools
}

func newFixture(hosts, limit int) *fixture {
	f := &fixture{store: newFakeStore(), hosts: newFakeHosts("pool", hosts, limit)}
	f.fence.Store(f.store.set(ownerKey, "first"))
	f.pools = &fakePools{hosts: f.hosts}
	f.pools.fence.Store(f.store.set(poolKey, "p"))
	var ids []string
	for n := range hosts {
		ids = append(ids, fmt.Sprintf("m%02d", n))
	}
	f.store.set("wave/3", strings.Join(ids, ","))
	return f
}

func (f *fixture) owner(limit int) *fleetowner.Owner { return fleetowner.New(f.options(limit)) }

func (f *fixture) options(limit int) fleetowner.Options {
	return fleetowner.Options{
		Hosts:      f.hosts,
		Pools:      f.pools,
		Configured: func() []fleetowner.Pool { return []fleetowner.Pool{{Name: "pool"}, {Name: "spare", Spare: true}} },
		Store:      f.store,
		Names: fleetowner.Names{
			WavePrefix: "wave/",
			ParseWave: func(key string, data []byte) (upkeep.Wave, error) {
				number, err := strconv.ParseInt(strings.TrimPrefix(key, "wave/"), 10, 64)
				return upkeep.Wave{Number: number, Hosts: strings.Split(string(data), ","), Within: 30 * time.Second, Cap: limit}, err
			},
			StatusKey:    func(wave int64) string { return fmt.Sprintf("status/%d", wave) },
			Status:       func(_ int64, completed bool) []byte { return strconv.AppendBool(nil, completed) },
			RecordPrefix: "agateturn/wave/",
			MovesKey:     "agateturn/moves",
		},
		Config:    upkeep.DefaultConfig(2*time.Second, 1500*time.Millisecond),
		Holder:    "a",
		Confirmed: func() (uint64, bool) { return f.fence.Load(), true },
		Guard: func(fence uint64) store.Condition {
			return store.Condition{Key: ownerKey, Version: fence}
		},
		PoolGuard: func(pool string, fence uint64) store.Condition {
			return store.Condition{Key: "agateturn/owner/" + pool, Version: fence}
		},
		ChangesPerSecond: 64,
		ReadsPerSecond:   64,
	}
}

// start runs a term; the returned function ends it and returns its error.
func start(t *testing.T, o *fleetowner.Owner) (stop func() error) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	return func() error {
		cancel()
		return <-ended
	}
}

func done(m *fakeHost) bool { return m.done }

func TestWaveCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(8, 2)
		stop := start(t, f.owner(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.store.waveStatus(), "false")
		time.Sleep(20 * time.Second)
		assert.ErrorIs(t, stop(), context.Canceled)
		assert.Equal(t, f.hosts.count(done), 8)
		assert.Equal(t, f.store.waveStatus(), "true")
		assert.DeepEqual(t, f.hosts.capViolations, []string(nil))
	})
}

func TestTakeoverRespectsCapAndKeepsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(9, 1)
		for n := range 6 {
			f.fence.Store(f.store.set(ownerKey, strconv.Itoa(n)))
			stop := start(t, f.owner(1))
			time.Sleep(time.Duration(1500+700*n) * time.Millisecond)
			assert.ErrorIs(t, stop(), context.Canceled)
		}
		stop := start(t, f.owner(1))
		time.Sleep(30 * time.Second)
		assert.ErrorIs(t, stop(), context.Canceled)
		assert.Equal(t, f.store.waveStatus(), "true")
		assert.Equal(t, f.hosts.count(done), 9)
		assert.Equal(t, f.hosts.orders, 9)
		assert.DeepEqual(t, f.hosts.capViolations, []string(nil))
	})
}

func TestReplacedOwnerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, 1)
		o := f.owner(1)
		ended := make(chan error, 1)
		go func() { ended <- o.Run(t.Context()) }()
		time.Sleep(time.Second)
		// The store has another owner, which this one has not noticed.
		f.store.set(ownerKey, "second")
		err := <-ended
		assert.Assert(t, fleetowner.Replaced.Has(err), "%v", err)
		before := f.hosts.orders
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.hosts.orders, before)
	})
}

func TestOrdersWaitForTheirRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, 2)
		stop := start(t, f.owner(2))
		time.Sleep(100 * time.Millisecond)
		f.store.mu.Lock()
		f.store.down = true
		f.store.mu.Unlock()
		before := f.hosts.count(done)
		time.Sleep(8 * time.Second)
		assert.Equal(t, f.hosts.count(done), before)
		f.store.mu.Lock()
		f.store.down = false
		f.store.loseAnswers = true
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.ErrorIs(t, stop(), context.Canceled)
		assert.Equal(t, f.store.waveStatus(), "true")
		assert.Equal(t, f.hosts.count(done), 4)
	})
}

// A pool changes its owner after the old one reported that a host is evacuated: the new one may have started tasks
// there.
func TestReplacedPoolOwnerAllowsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(6, 1)
		stop := start(t, f.owner(1))
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.hosts.count(done) > 0)
		second := f.store.set(poolKey, "second")
		time.Sleep(200 * time.Millisecond)
		before := f.hosts.count(done)
		time.Sleep(8 * time.Second)
		assert.Equal(t, f.hosts.count(done), before)
		f.pools.fence.Store(second)
		time.Sleep(20 * time.Second)
		assert.ErrorIs(t, stop(), context.Canceled)
		assert.Equal(t, f.store.waveStatus(), "true")
	})
}

// Pools that change their owner read which hosts the owner of the fleet may have ordered away, and the next owner of
// the fleet names them in its first list.
func TestFirstEvacuationListNamesOrderedHosts(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(6, 1)
			f.hosts.unanswered = true
			stop := start(t, f.owner(1))
			time.Sleep(1500 * time.Millisecond)
			assert.ErrorIs(t, stop(), context.Canceled)
			ordered, err := fleetowner.OrderedHosts(t.Context(), f.store, "pool", "agateturn/wave/", "agateturn/moves")
			assert.NilError(t, err)
			assert.Equal(t, len(ordered), 1)
			f.fence.Store(f.store.set(ownerKey, "second"))
			f.pools.resetLists()
			stop = start(t, f.owner(1))
			time.Sleep(time.Second)
			assert.ErrorIs(t, stop(), context.Canceled)
			assert.Assert(t, slices.Contains(f.pools.firstList(), ordered[0]+"/0"), "%v", f.pools.firstList())
		})
	}
}

// Failure: a wave for a host that had joined after the last list of hosts was completed at once, and its host never had its upkeep.
func TestWaveOfAHostThatHasJustJoinedIsNotCompletedWithoutIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, 1)
		stop := start(t, f.owner(1))
		time.Sleep(30 * time.Second) // wave 3 is completed, and the list of hosts is seldom read
		assert.Equal(t, f.store.waveStatus(), "true")
		for n := range 10 {
			joined := f.hosts.add("pool", fmt.Sprintf("new%d", n))
			time.Sleep(time.Duration(n) * 37 * time.Millisecond)
			number := 10 + n
			f.store.set(fmt.Sprintf("wave/%d", number), joined.ID)
			for f.store.data(fmt.Sprintf("status/%d", number)) != "true" {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, f.hosts.count(func(m *fakeHost) bool { return m == joined && m.done }) == 1, "wave %d", number)
			time.Sleep(4 * time.Second)
		}
		assert.ErrorIs(t, stop(), context.Canceled)
	})
}
