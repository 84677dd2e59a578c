package tablefollow

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	key = "config"
	// inForceLimit is the time within which a new version must be in force on every host.
	inForceLimit = 2 * time.Second
)

// parse parses a version number.
func parse(raw []byte) (*queue.Table, error) {
	n, err := strconv.ParseInt(string(raw), 10, 64)
	return &queue.Table{Version: n}, err
}

// cluster is a number of hosts that follow one store. Each offers versions to the next two.
type cluster struct {
	kv    *memtxn.Store
	hosts []*Follower
	// unreachable are the hosts that peers cannot reach, nor can they reach peers.
	mu          sync.Mutex
	unreachable map[int]bool
	// sentBytes counts the bytes of tables sent between peers.
	sentBytes atomic.Int64
}

type ringPeers struct {
	c    *cluster
	self int
}

func (r ringPeers) Neighbours() []string {
	n := len(r.c.hosts)
	return []string{strconv.Itoa((r.self + 1) % n), strconv.Itoa((r.self + 2) % n)}
}

func (r ringPeers) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	at, _ := strconv.Atoi(address)
	if r.c.cut(at, r.self) {
		return 0, errors.New("peer is unreachable")
	}
	r.c.sentBytes.Add(int64(len(raw)))
	return r.c.hosts[at].Offer(ctx, version, raw), nil
}

// cut reports whether two hosts cannot reach each other.
func (c *cluster) cut(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[a] || c.unreachable[b]
}

func (c *cluster) setUnreachable(host int, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[host] = unreachable
}

// run starts n hosts with version 1 in the store and calls check after 10 s, all in virtual time.
func run(t *testing.T, n int, check func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{kv: memtxn.New(), unreachable: map[int]bool{}}
		c.write(t, "1")
		for i := range n {
			c.hosts = append(c.hosts, New(c.kv.Client(strconv.Itoa(i)), key, parse, time.Now, slog.New(slog.DiscardHandler)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i, f := range c.hosts {
			go f.Run(ctx)
			go f.Gossip(ctx, ringPeers{c: c, self: i})
		}
		time.Sleep(10 * time.Second)
		check(t, c)
		cancel()
		synctest.Wait()
	})
}

func (c *cluster) write(t *testing.T, value string) {
	t.Helper()
	_, err := c.kv.Client("operator").Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: key, Data: []byte(value)}}})
	assert.NilError(t, err)
}

// TestInForceEverywhere writes a version during a fault and checks that it is in force on every host within inForceLimit.
func TestInForceEverywhere(t *testing.T) {
	hangsFor := func(name string) memtxn.Faults {
		return memtxn.Faults{Plan: func(client string, _ memtxn.Call) memtxn.Outcome {
			if client == name {
				return memtxn.Hang
			}
			return memtxn.Serve
		}}
	}
	cases := []struct {
		name   string
		faults memtxn.Faults
	}{
		{name: "nothing"},
		{name: "one host's calls hang", faults: hangsFor("0")},
		{name: "one host is rejected", faults: memtxn.Faults{Cut: map[string]bool{"0": true}}},
		{name: "all but one host are rejected", faults: memtxn.Faults{Cut: map[string]bool{"0": true, "1": true, "2": true, "4": true}}},
		{name: "all watches are stalled", faults: memtxn.Faults{StallWatches: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 5, func(t *testing.T, cl *cluster) {
				cl.kv.SetFaults(c.faults)
				time.Sleep(7 * time.Second)
				cl.write(t, "2")
				time.Sleep(inForceLimit)
				for i, f := range cl.hosts {
					assert.Equal(t, f.Table().Version, int64(2), "host %d", i)
				}
			})
		})
	}
}

// TestPeersThatHaveATableAreNotSentIt checks that without faults only version numbers are sent to peers.
func TestPeersThatHaveATableAreNotSentIt(t *testing.T) {
	run(t, 5, func(t *testing.T, c *cluster) {
		c.write(t, "2")
		time.Sleep(inForceLimit)
		assert.Equal(t, c.sentBytes.Load(), int64(0))
	})
}

// TestCallsWithoutFaults checks the number of calls to the store without faults.
func TestCallsWithoutFaults(t *testing.T) {
	run(t, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second / 2) // between two calls
		before := c.kv.Calls()
		time.Sleep(100 * time.Second)
		after := c.kv.Calls()
		assert.Equal(t, after[memtxn.CallWatch]-before[memtxn.CallWatch], 25)
		assert.Equal(t, after[memtxn.CallRange]-before[memtxn.CallRange], 50) // stale reads, which cost a tenth of a consistent one
	})
}

func TestUnreadableVersionLeavesTheLastInForce(t *testing.T) {
	run(t, 1, func(t *testing.T, c *cluster) {
		c.write(t, "x")
		time.Sleep(inForceLimit)
		assert.Equal(t, c.hosts[0].Table().Version, int64(1))
		c.write(t, "2")
		time.Sleep(inForceLimit)
		assert.Equal(t, c.hosts[0].Table().Version, int64(2))
	})
}

func TestCurrentWhileTheStoreAnswers(t *testing.T) {
	run(t, 1, func(t *testing.T, c *cluster) {
		for range 20 {
			assert.Assert(t, c.hosts[0].Current())
			time.Sleep(777 * time.Millisecond)
		}
		c.kv.SetFaults(memtxn.Faults{Down: true})
		time.Sleep(currentLimit)
		assert.Assert(t, !c.hosts[0].Current())
		c.kv.SetFaults(memtxn.Faults{})
		time.Sleep(retryMax + time.Second)
		assert.Assert(t, c.hosts[0].Current())
	})
}

// TestVersionsNeverGoBack offers versions in random order, from the store and from peers.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(nil, key, parse, time.Now, slog.New(slog.DiscardHandler))
		var newest int64
		for revision := range uint64(20) {
			n := rapid.Int64Range(1, 30).Draw(t, "version")
			raw := []byte(strconv.FormatInt(n, 10))
			if rapid.Bool().Draw(t, "from a peer") {
				f.Offer(context.Background(), n, raw)
			} else {
				f.process(context.Background(), store.Item{Key: key, Data: raw, Version: revision + 1})
			}
			newest = max(newest, n)
			assert.Equal(t, f.Table().Version, newest)
		}
	})
}
