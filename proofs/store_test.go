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
	// maxStoreWrites and maxStoreReads are the calls per second that three entry hosts may send to a slow store.
	maxStoreWrites = 60
	maxStoreReads  = 300
	// orderBound is how long an operator's order may wait for the store: its reads and writes with their full timeouts, and as
	// many again after a conflict.
	orderBound = 10 * storeTimeout
)

// runWithSlowStore delays the store under load, orders a move and a configuration change, and checks that callers are served
// throughout, that the orders end, and that the call rate of the store stays limited. It returns the statuses of the orders.
func runWithSlowStore(t *testing.T, delay time.Duration) (c *cluster, move, change int) {
	t.Helper()
	c = newCluster(t, 3)
	c.platform.SetStoreFaults(platformd.StoreFaults{Delay: platformd.Duration(delay)})
	c.platform.Store().ResetCounters()
	load := c.loadConfig(12*time.Second, 1, 2, 3)
	load.KeyedShare = 0
	report := c.startLoad(load)
	time.Sleep(2 * time.Second)
	move = c.timeOrder(func() int { return c.move(1, "w1", "right") })
	change = c.timeOrder(func() int { return c.apply(2, "change-0002", 1, c.ini) })
	result := report()
	calls := c.platform.Store().Counters()
	t.Logf("delay %s: move %d, change %d; store calls %+v, in the busiest second %+v", delay, move, change, calls.Total, calls.PeakSecond)
	assert.Equal(t, result.NotRun+result.NoAnswer+result.Unknown+result.Cut, 0)
	peak := calls.PeakSecond
	assert.Assert(t, peak.Writes+peak.Leases <= maxStoreWrites, "%+v", peak)
	assert.Assert(t, peak.Reads+peak.Watches <= maxStoreReads, "%+v", peak)
	c.checkGuarantees(result, 1)
	return c, move, change
}

// timeOrder checks that an order ends within orderBound.
func (c *cluster) timeOrder(order func() int) int {
	c.t.Helper()
	startedAt := time.Now()
	status := order()
	elapsed := time.Since(startedAt)
	assert.Assert(c.t, elapsed <= orderBound, "an order took %s", elapsed)
	return status
}

// With a store that answers just before the timeout, orders are accepted and executed.
func TestStoreSlowWithinTimeout(t *testing.T) {
	c, move, change := runWithSlowStore(t, storeTimeout*8/10)
	assert.Equal(t, move, http.StatusOK)
	assert.Equal(t, change, http.StatusOK)
	c.repeatMove()
}

// With a store that answers just after the timeout, an order ends as unavailable or unknown and can be repeated safely once
// the store has recovered.
func TestStoreSlowerThanTimeout(t *testing.T) {
	c, move, change := runWithSlowStore(t, storeTimeout*12/10)
	unknown := []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}
	assert.Assert(t, lo.Contains(unknown, move), move)
	assert.Assert(t, lo.Contains(unknown, change), change)
	c.repeatMove()
}

// repeatMove repeats the move order with a recovered store until it is accepted, and waits for its completion.
func (c *cluster) repeatMove() {
	c.t.Helper()
	c.platform.SetStoreFaults(platformd.StoreFaults{})
	c.awaitReady(3)
	moved := func() bool { return c.host(1, "w1").Pool == "right" }
	c.await("the move accepted", func() bool { return moved() || c.move(1, "w1", "right") == http.StatusOK })
	c.await("w1 in its new pool", moved)
}
