package tablefollow

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// maxAge is the age of a confirmation up to which keys are accepted.
const maxAge = 9 * time.Second

// askPeers asks the other hosts of a cluster.
type askPeers struct {
	c     *cluster
	self  int
	asked *atomic.Int64
}

func (a askPeers) Others() (others []string) {
	for i := 1; i < len(a.c.hosts); i++ {
		others = append(others, strconv.Itoa((a.self+i)%len(a.c.hosts)))
	}
	return others
}

func (a askPeers) AskTable(_ context.Context, address string, version int64, sendRaw bool) (Confirmation, error) {
	a.asked.Add(1)
	at, _ := strconv.Atoi(address)
	if a.c.cut(at, a.self) {
		return Confirmation{}, errors.New("peer is unreachable")
	}
	have, raw, age, ok := a.c.hosts[at].Confirmed()
	if !sendRaw || have <= version {
		raw = nil
	}
	return Confirmation{Version: have, Raw: raw, Age: age, Confirmed: ok}, nil
}

// runWithKeys is like run, for tables with workspaces if keys is set, and also confirms tables by peers. asked counts the calls
// for that.
func runWithKeys(t *testing.T, n int, keys bool, check func(t *testing.T, c *cluster, asked *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{kv: memtxn.New(), unreachable: map[int]bool{}}
		c.write(t, "1")
		withKeys := func(raw []byte) (*queue.Table, error) {
			table, err := parse(raw)
			if keys {
				table.Workspaces = []queue.Workspace{}
			}
			return table, err
		}
		for i := range n {
			c.hosts = append(c.hosts, New(c.kv.Client(strconv.Itoa(i)), key, withKeys, time.Now, slog.New(slog.DiscardHandler)))
		}
		var asked atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		for i, f := range c.hosts {
			go f.Run(ctx)
			go f.Gossip(ctx, ringPeers{c: c, self: i})
			go f.Confirm(ctx, askPeers{c: c, self: i, asked: &asked})
		}
		time.Sleep(10 * time.Second)
		check(t, c, &asked)
		cancel()
		synctest.Wait()
	})
}

// TestConfirmedWhileTheStoreAnswers guards against callers rejected, and peers asked, by a healthy host, also when the
// configuration changes at an inconvenient time.
func TestConfirmedWhileTheStoreAnswers(t *testing.T) {
	runWithKeys(t, 2, true, func(t *testing.T, c *cluster, asked *atomic.Int64) {
		for i := range 60 {
			c.write(t, strconv.Itoa(i+2))
			for range 13 {
				time.Sleep(300 * time.Millisecond)
				assert.Assert(t, c.hosts[0].ConfirmedAge() < askAfter+watchWait/2, "%s", c.hosts[0].ConfirmedAge())
			}
		}
		assert.Assert(t, asked.Load() < 60, "%d", asked.Load())
	})
}

// TestHostsCutOffAreConfirmedByPeers cuts most hosts off from the store. Rejecting their callers would be needless.
func TestHostsCutOffAreConfirmedByPeers(t *testing.T) {
	runWithKeys(t, 12, true, func(t *testing.T, c *cluster, _ *atomic.Int64) {
		cut := map[string]bool{}
		for i := range 9 {
			cut[strconv.Itoa(i)] = true
		}
		c.kv.SetFaults(memtxn.Faults{Cut: cut})
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			for i, f := range c.hosts {
				assert.Assert(t, f.ConfirmedAge() < maxAge, "host %d: %s", i, f.ConfirmedAge())
			}
		}
	})
}

// TestRemovedKeyOnIsolatedHost guards against a host that serves removed keys for ever: without store and peers, its table must
// count as unconfirmed, although it was once confirmed. Once peers can be reached, it must get the newer version from them.
func TestRemovedKeyOnIsolatedHost(t *testing.T) {
	runWithKeys(t, 5, true, func(t *testing.T, c *cluster, _ *atomic.Int64) {
		c.kv.SetFaults(memtxn.Faults{Cut: map[string]bool{"0": true}})
		c.setUnreachable(0, true)
		time.Sleep(watchWait + watchSlack) // a watch in flight still delivers changes
		c.write(t, "2")                    // removes the key
		time.Sleep(maxAge)
		assert.Equal(t, c.hosts[0].Table().Version, int64(1))
		assert.Assert(t, c.hosts[0].ConfirmedAge() > maxAge && !c.hosts[0].ConfirmedRecently())
		c.setUnreachable(0, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.hosts[0].Table().Version, int64(2))
		assert.Assert(t, c.hosts[0].ConfirmedAge() < maxAge)
	})
}

// TestPeersDoNotConfirmEachOther guards against hosts that keep each other's tables confirmed while the store confirms none.
func TestPeersDoNotConfirmEachOther(t *testing.T) {
	runWithKeys(t, 5, true, func(t *testing.T, c *cluster, asked *atomic.Int64) {
		c.kv.SetFaults(memtxn.Faults{Down: true})
		time.Sleep(20 * time.Second)
		for i, f := range c.hosts {
			assert.Assert(t, f.ConfirmedAge() > 20*time.Second-askAfter, "host %d: %s", i, f.ConfirmedAge())
		}
		limit := int64(len(c.hosts)) * int64(20*time.Second/askInterval) * askFanout
		assert.Assert(t, asked.Load() > 0 && asked.Load() <= limit, "%d", asked.Load())
	})
}

// TestNoCallsWithoutWorkspaces guards against additional calls in deployments without workspaces.
func TestNoCallsWithoutWorkspaces(t *testing.T) {
	runWithKeys(t, 3, false, func(t *testing.T, c *cluster, asked *atomic.Int64) {
		c.kv.SetFaults(memtxn.Faults{Down: true})
		time.Sleep(20 * time.Second)
		assert.Equal(t, asked.Load(), int64(0))
	})
}

// pausingStore pauses the process after the answer of each call has arrived and before it is read.
type pausingStore struct {
	store.Transactor
	pause func()
}

func (p pausingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	defer p.pause()
	return p.Transactor.Watch(ctx, prefix, after, wait)
}

func (p pausingStore) Range(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	defer p.pause()
	return p.Transactor.Range(ctx, prefix, stale)
}

// TestAnswersFromBeforeAPauseDoNotConfirm guards against a host that was paused and serves removed keys when it resumes, because
// it takes an answer that arrived before the pause for a new one.
func TestAnswersFromBeforeAPauseDoNotConfirm(t *testing.T) {
	const pause = time.Minute
	for _, changed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{kv: memtxn.New()}
			c.write(t, "1")
			var paused atomic.Int64
			kv := pausingStore{Transactor: c.kv.Client("0"), pause: func() { paused.Add(int64(pause)) }}
			clock := func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
			f := New(kv, key, parse, clock, slog.New(slog.DiscardHandler))
			asOf, err := f.read(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, f.ConfirmedAge() >= pause, "%s", f.ConfirmedAge())
			if changed {
				c.write(t, "2")
			}
			_, _, err = f.watch(t.Context(), asOf, watchWait)
			assert.NilError(t, err)
			assert.Assert(t, f.ConfirmedAge() >= pause, "%s", f.ConfirmedAge())
		})
	}
}
