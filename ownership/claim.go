package ownership

import (
	"sync"
	"time"
)

// claims holds the confirmations of single pools, keyed by pool. It is safe for concurrent use.
type claims struct {
	mu    sync.Mutex
	pools map[string]claim
}

// claim is the newest known fencing token of a pool and the start of the last call that found it in the pool's key.
type claim struct {
	fence uint64
	from  time.Time
}

// ConfirmPool records that a linearizable call begun at started found the fencing token in the pool's key. So a later
// token was issued after that start. The call does not show who holds the token.
func (c *Confirmation) ConfirmPool(pool string, fence uint64, started time.Time) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	known := c.claims.pools[pool]
	started = time.Unix(0, started.UnixNano()) // without a monotonic reading, which stops during a suspension
	if fence > known.fence || (fence == known.fence && started.After(known.from)) {
		c.claims.pools[pool] = claim{fence: fence, from: started}
	}
}

// PoolConfirmedFrom returns the start of the last call that found the fencing token in the pool's key. It returns the Unix
// epoch without such a call, after the lease was lost, and once a later token is known.
func (c *Confirmation) PoolConfirmedFrom(pool string, fence uint64) time.Time {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if known, ok := c.claims.pools[pool]; ok && known.fence == fence {
		return known.from
	}
	return time.Unix(0, 0)
}

// PoolRemaining returns the time until the last confirmation of the pool or of the lease expires, whichever is sooner.
func (c *Confirmation) PoolRemaining(pool string, fence uint64, now time.Time) time.Duration {
	return min(c.Remaining(now), c.limits.MaxUnconfirmed-now.Sub(c.PoolConfirmedFrom(pool, fence)))
}

// PoolValid reports whether the process may act as the owner of the pool: both the lease and the pool's key were confirmed
// recently enough and since the last suspension.
func (c *Confirmation) PoolValid(pool string, fence uint64, now time.Time) bool {
	return c.Valid(now) && c.PoolRemaining(pool, fence, now) >= 0 &&
		!c.PoolConfirmedFrom(pool, fence).Before(c.Resumed())
}

// withdraw discards all confirmations of pools.
func (c *claims) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.pools)
}
