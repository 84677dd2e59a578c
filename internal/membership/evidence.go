package membership

import (
	"log/slog"
	"slices"

	"github.com/agateturn/agateturn/events"
)

// Reasons for acquiring a pool.
const (
	keyFree        = "key was free"
	ownerRefused   = "address of the owner refused connections"
	ownerRestarted = "host of the owner registered another incarnation"
	ownerAsked     = "owner asked for it"
)

// Ways to learn of a change of an owner key.
const (
	fromWatch        = "watch"
	fromRead         = "read"
	fromWrite        = "write"
	fromConfirmation = "read of its key"
)

// Other reasons why this host no longer owns a pool.
const (
	leaseEnded    = "lease ended"
	fenceRejected = "fencing token rejected"
	fromHandOver  = "peer accepted it"
	notConfigured = "pool not configured"
)

// reject ends the use of the fencing token and of all older ones.
func (e *elector) reject(pool string, fence uint64, why string) {
	e.rejected[pool] = max(e.rejected[pool], fence)
	e.rejectedBy[pool] = why
}

func (m *Manager) logGained(pool string, fence uint64) {
	events.Log(m.runCtx, m.log, events.PoolGained, slog.String("pool", pool), slog.Uint64("fence", fence),
		slog.String("because", m.elector.basis[pool]))
}

func (m *Manager) logLost(pool string, fence uint64) {
	why, owner, current := m.elector.lossOf(pool, fence)
	events.Log(m.runCtx, m.log, events.PoolLost, slog.String("pool", pool), slog.Uint64("fence", fence),
		slog.String("because", why), slog.String("owner", owner), slog.Uint64("current_fence", current))
}

// lossOf returns why the fencing token is no longer this host's, and the known state of the owner key.
func (e *elector) lossOf(pool string, fence uint64) (why, owner string, current uint64) {
	s, ok := e.view.owners[pool]
	if !ok {
		return notConfigured, "", 0
	}
	owner, current = s.owner.GetMember(), s.version
	switch {
	case e.rejected[pool] >= fence:
		return e.rejectedBy[pool], owner, current
	case !slices.Contains(e.pools, pool):
		return notConfigured, owner, current
	case s.version > fence && s.learned != "":
		return s.learned, owner, current
	}
	return leaseEnded, owner, current
}
