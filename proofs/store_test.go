package proofs

import (
	"net/http"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/standin/platformd"
)

const (
	// storeTimeout is [store] timeout of the entry hosts.
	storeTimeout = time.Second
	// maxStoreWrites and maxStoreReads are the calls a second that three entry hosts may make of a slow store.
	maxStoreWrites = 60
	maxStoreReads  = 300
	// orderBound is how long an operator's order may wait for the store: its reads and writes, each to its timeout, and
	// as many again after a conflict.
	orderBound = 10 * storeTimeout
)

// slowStore makes the store slow under load, orders a move and a change of configuration, and checks that callers are
// served throughout, that the orders end, and that the store is not stormed. It returns the answers to the orders.
func slowStore(t *testing.T, delay time.Duration) (c *cluster, move, change int) {
	t.Helper()
	c = newCluster(t, 3)
	c.platform.SetStoreFaults(platformd.StoreFaults{Delay: platformd.Duration(delay)})
	c.platform.Store().ResetCounters()
	load := c.load(12*time.Second, 1, 2, 3)
	load.KeyedShare = 0
	report := c.ask(load)
	time.Sleep(2 * time.Second)
	move = c.timed(func() int { return c.move(1, "w1", "right") })
	change = c.timed(func() int { return c.apply(2, "change-0002", 1, c.ini) })
	result := report()
	calls := c.platform.Store().Counters()
	t.Logf("delay %s: move %d, change %d; store calls %+v, in the busiest second %+v", delay, move, change, calls.Total, calls.PeakSecond)
	assert.Equal(t, result.NotRun+result.NoAnswer+result.Unknown+result.Cut, 0)
	peak := calls.PeakSecond
	assert.Assert(t, peak.Writes+peak.Leases <= maxStoreWrites, "%+v", peak)
	assert.Assert(t, peak.Reads+peak.Watches <= maxStoreReads, "%+v", peak)
	c.judge(result, 1)
	return c, move, change
}

// timed checks that an order ends within its bound.
func (c *cluster) timed(order func() int) int {
	c.t.Helper()
	began := time.Now()
	status := order()
	took := time.Since(began)
	assert.Assert(c.t, took <= orderBound, "an order took %s", took)
	return status
}

// With a store that answers just before the timeout, orders are taken and carried out.
func TestStoreSlowWithinTimeout(t *testing.T) {
	c, move, change := slowStore(t, storeTimeout*8/10)
	assert.Equal(t, move, http.StatusOK)
	assert.Equal(t, change, http.StatusOK)
	c.moveAtLast()
}

// With a store that answers just after the timeout, an order ends as unavailable or unknown, and is repeated in safety
// once the store is itself again.
func TestStoreSlowerThanTimeout(t *testing.T) {
	c, move, change := slowStore(t, storeTimeout*12/10)
	unclear := []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}
	assert.Assert(t, lo.Contains(unclear, move), move)
	assert.Assert(t, lo.Contains(unclear, change), change)
	c.moveAtLast()
}

// moveAtLast repeats the order of the move to the sound store until it is taken, and waits for its end.
func (c *cluster) moveAtLast() {
	c.t.Helper()
	c.platform.SetStoreFaults(platformd.StoreFaults{})
	c.awaitReady(3)
	moved := func() bool { return c.host(1, "w1").Pool == "right" }
	c.await("the move ordered, at last", func() bool { return moved() || c.move(1, "w1", "right") == http.StatusOK })
	c.await("w1 in its new pool", moved)
}
