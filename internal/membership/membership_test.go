package membership

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

var pools = []string{"a", "b", "c", "d", "e", FleetPool}

// host is a Manager under test with a record of its events.
type host struct {
	*Manager
	name string
	stop context.CancelFunc
	done chan struct{}

	mu   sync.Mutex
	held map[string]uint64
	log  []string
}

func startHost(t *testing.T, kv store.Transactor, name string, opts Options) *host {
	t.Helper()
	return startHostAt(t, kv, name, opts, time.Now)
}

func startHostAt(t *testing.T, kv store.Transactor, name string, opts Options, clock func() time.Time) *host {
	t.Helper()
	h := &host{name: name, held: make(map[string]uint64), done: make(chan struct{})}
	ev := Events{
		Gained: func(pool string, fence uint64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.held[pool] = fence
			h.log = append(h.log, "gained "+pool)
		},
		Lost: func(pool string, fence uint64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.held[pool] != fence {
				t.Errorf("lost %s with fence %d, held %d", pool, fence, h.held[pool])
			}
			delete(h.held, pool)
			h.log = append(h.log, "lost "+pool)
		},
	}
	self := Self{Name: name, Incarnation: name + "-" + time.Now().Format("15:04:05.000"), PeerAddress: name + ":1"}
	h.Manager = New(kv, self, ev, clock, slog.New(slog.DiscardHandler), opts)
	h.SetPools(pools)
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = func() {
		cancel()
		<-h.done
	}
	go func() {
		defer close(h.done)
		assert.Check(t, h.Run(ctx))
	}()
	return h
}

func (h *host) holds() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := make(map[string]uint64)
	for p, f := range h.held {
		held[p] = f
	}
	return held
}

// askDirectly returns an AskPeer that calls the peer directly; peers are hosts by name.
func askDirectly(peers *sync.Map) func(context.Context, *pb.JobMember, string, uint64) error {
	return func(ctx context.Context, peer *pb.JobMember, pool string, fence uint64) error {
		h, ok := peers.Load(peer.GetName())
		if !ok {
			return CannotTake.New("no such peer")
		}
		return h.(*host).TakeFrom(ctx, pool, fence)
	}
}

func startFleet(t *testing.T, kv *memtxn.Store, n int) (hosts []*host, peers *sync.Map) {
	t.Helper()
	hosts, peers = make([]*host, n), &sync.Map{}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		hosts[i] = startHost(t, kv.Client(name), name, Options{AskPeer: askDirectly(peers)})
		peers.Store(name, hosts[i])
	}
	return hosts, peers
}

func stopAll(hosts []*host) {
	for _, h := range hosts {
		h.stop()
	}
}

// ownerOf returns the host that holds the pool, or nil if none does. Two holders fail the test.
func ownerOf(t *testing.T, hosts []*host, pool string) *host {
	t.Helper()
	var owner *host
	for _, h := range hosts {
		if _, ok := h.holds()[pool]; ok {
			assert.Assert(t, owner == nil, "%s has two owners", pool)
			owner = h
		}
	}
	return owner
}

func TestPoolsSpreadOverHostsThatStartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts, _ := startFleet(t, memtxn.New(), 9)
		defer stopAll(hosts)
		time.Sleep(2 * time.Second)
		for _, h := range hosts {
			assert.Assert(t, len(h.holds()) <= 1, "%s holds %v", h.name, h.holds())
		}
		for _, p := range pools {
			owner := ownerOf(t, hosts, p)
			assert.Assert(t, owner != nil, "%s is free", p)
			rec, fence, ok := hosts[0].Owner(p)
			assert.Assert(t, ok)
			assert.Equal(t, rec.GetMember(), owner.name)
			confirmed, ok := owner.Confirmed(p)
			assert.Assert(t, ok)
			assert.Equal(t, confirmed, fence)
		}
	})
}
