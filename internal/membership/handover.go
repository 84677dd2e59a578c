package membership

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/ownership"
	"github.com/agateturn/agateturn/store"
)

// CannotTake means that this host cannot take over a pool.
var CannotTake = errs.Class("membership: cannot acquire the pool; ask another member")

const (
	// handOverCheckInterval is the time between two checks whether the store is silent.
	handOverCheckInterval = 250 * time.Millisecond
	// handOverRetryDelay is the delay before peers are asked again if no peer took one of the pools.
	handOverRetryDelay = time.Second
	// askTimeout limits the call that asks one peer to take a pool.
	askTimeout = time.Second
	// probeTimeout limits the lease renewal by which a host checks that the store answers it, before it takes over a pool.
	probeTimeout = 300 * time.Millisecond
	// maxAsked is the maximum number of peers asked for one pool in one attempt.
	maxAsked = 2
)

// handOverPools hands pools over to peers while the store does not answer this host. A peer takes a pool only if the store
// answers that peer.
func (m *Manager) handOverPools(ctx context.Context) {
	if m.opts.AskPeer == nil {
		return
	}
	timer := time.NewTimer(handOverCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		wait := handOverCheckInterval
		if m.storeSilent() {
			for pool, fence := range m.known.Load().held {
				if !m.askPeers(ctx, pool, fence) {
					wait = handOverRetryDelay
				}
			}
		}
		timer.Reset(wait)
	}
}

// storeSilent reports whether this process has run without a pause for HandOverAfter and the store has not answered in
// that time.
func (m *Manager) storeSilent() bool {
	since := m.clock().Add(-m.opts.HandOverAfter)
	return m.LastStoreAnswer().Before(since) && m.confirmation.Resumed().Before(since)
}

// askPeers asks up to maxAsked peers one after the other, in the order of their ranking for the pool, to take it. If one
// does, askPeers gives up the pool and returns true.
func (m *Manager) askPeers(ctx context.Context, pool string, fence uint64) bool {
	if m.opts.AskPeer == nil {
		return false
	}
	for _, peer := range lo.Subset(m.peersFor(pool), 0, maxAsked) {
		call, cancel := context.WithTimeout(ctx, askTimeout)
		err := m.opts.AskPeer(call, peer, pool, fence)
		cancel()
		if err != nil {
			continue
		}
		events.Log(ctx, m.log, events.PoolHandedOver, slog.String("pool", pool), slog.Uint64("fence", fence),
			slog.String("peer", peer.GetName()), slog.Int64("store_age_ms", m.storeAge().Milliseconds()))
		m.post(ctx, func(context.Context) { m.elector.handedOver(pool, fence, peer) })
		return true
	}
	return false
}

// peersFor returns the other members that may take the pool, the highest ranked first.
func (m *Manager) peersFor(pool string) []*pb.JobMember {
	known := m.known.Load()
	owned := lo.CountValuesBy(lo.Values(known.owners), func(h holding) string { return h.rec.GetMember() })
	able := lo.Filter(known.members, func(p *pb.JobMember, _ int) bool {
		return !p.GetLeaving() && p.GetName() != m.self.Name
	})
	byName := lo.KeyBy(able, (*pb.JobMember).GetName)
	members := lo.Map(able, func(p *pb.JobMember, _ int) ownership.Member {
		return ownership.Member{Name: p.GetName(), CPUMilli: p.GetCpuMilli()}
	})
	ranking := ownership.Ranking(ownership.Pool{Name: pool}, members, owned)
	return lo.Map(ranking, func(name string, _ int) *pb.JobMember { return byName[name] })
}

// handedOver stops the use of the fencing token and records the peer as the provisional owner until the state of the key
// is received from the store.
func (e *elector) handedOver(pool string, fence uint64, peer *pb.JobMember) {
	e.reject(pool, fence, fromHandOver)
	s := e.view.owners[pool]
	if s == nil || s.version != fence {
		return
	}
	s.provisional = true
	s.owner = &pb.OwnerRecord{
		Member: peer.GetName(), Incarnation: peer.GetIncarnation(), PeerAddress: peer.GetPeerAddress(),
	}
}

// TakeFrom replaces the owner that holds the given fencing token and has asked for the replacement. Nil means that the
// fencing token is no longer current: this host or another owns the pool now. A pool that became free is not taken, since
// its last owner may regain it. Errors: CannotTake, store.LeaseLost, store.Unavailable, store.Unknown, or that of an ended
// ctx or Run.
func (m *Manager) TakeFrom(ctx context.Context, pool string, fence uint64) error {
	var lease uint64
	var wanted bool
	err := m.do(ctx, func(e *elector) {
		lease = e.lease
		wanted = !e.leaving && lo.Contains(e.pools, pool)
		e.basis[pool] = ownerAsked
	}, nil)
	if err != nil {
		return CannotTake.Wrap(err)
	}
	if !wanted || lease == 0 || m.storeSilent() {
		return CannotTake.New("lease %d, wanted %t, store last answered %s", lease, wanted, m.LastStoreAnswer())
	}
	if err := m.probe(ctx, lease); err != nil {
		return CannotTake.Wrap(err)
	}
	events, err := m.take(ctx, pool, lease, fence)
	if err != nil {
		return err
	}
	for _, e := range events {
		if e.Deleted {
			return CannotTake.New("the pool has no owner any more")
		}
		if e.Item.Version == fence {
			return store.Unknown.New("the write is not visible in the store yet")
		}
	}
	return m.do(ctx, func(e *elector) {
		for _, event := range events {
			e.view.apply(event, fromWrite, m.clock())
		}
	}, nil)
}

// probe renews the lease and fails unless the store answers this host within probeTimeout. A store that is slow or down
// for all hosts is no reason to move a pool.
func (m *Manager) probe(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.renew(ctx, lease)
}
