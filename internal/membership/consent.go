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

// CannotTake means that this host cannot take a pool over.
var CannotTake = errs.Class("membership: cannot take the pool; ask another member")

const (
	// consentCheck is how often the store's silence is looked at.
	consentCheck = 250 * time.Millisecond
	// consentRetry is how long after a vain round of peers the next begins.
	consentRetry = time.Second
	// askTimeout bounds the call of one peer.
	askTimeout = time.Second
	// probeTimeout is how soon the store answers a host that takes a pool over.
	probeTimeout = 300 * time.Millisecond
	// maxAsked bounds the peers asked for one pool in a round.
	maxAsked = 2
)

// consent hands the pools over to peers while the store answers them but not this host.
func (m *Manager) consent(ctx context.Context) {
	if m.opts.AskPeer == nil {
		return
	}
	timer := time.NewTimer(consentCheck)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		wait := consentCheck
		if m.storeSilent() {
			for pool, fence := range m.known.Load().held {
				if !m.askPeers(ctx, pool, fence) {
					wait = consentRetry
				}
			}
		}
		timer.Reset(wait)
	}
}

// storeSilent tells whether this process has run for long enough and heard nothing from the store meanwhile.
func (m *Manager) storeSilent() bool {
	since := m.clock().Add(-m.opts.HandOverAfter)
	return m.StoreHeard().Before(since) && m.confirmation.Resumed().Before(since)
}

// askPeers asks peers one after the other, by their claim on the pool, to take it, and drops it if one did.
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

// peersFor returns the other members that may take the pool, best claim first.
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

// handedOver notes the peer as the owner until the store tells more.
func (e *elector) handedOver(pool string, fence uint64, peer *pb.JobMember) {
	e.refused[pool] = max(e.refused[pool], fence)
	s := e.view.owners[pool]
	if s == nil || s.version != fence {
		return
	}
	s.told = true
	s.owner = &pb.OwnerRecord{
		Member: peer.GetName(), Incarnation: peer.GetIncarnation(), PeerAddress: peer.GetPeerAddress(),
	}
}

// TakeFrom takes a pool whose owner consents, in place of its fence. Nil means that the fence is no longer the pool's:
// this host has it now, or another. It does not take a pool that became free: its last owner may regain it. Errors: CannotTake, store.Unavailable, store.Unknown.
func (m *Manager) TakeFrom(ctx context.Context, pool string, fence uint64) error {
	var lease uint64
	var wanted bool
	err := m.do(ctx, func(e *elector) {
		lease = e.lease
		wanted = !e.leaving && lo.Contains(e.pools, pool)
	}, nil)
	if err != nil {
		return CannotTake.Wrap(err)
	}
	if !wanted || lease == 0 || m.storeSilent() {
		return CannotTake.New("lease %d, wanted %t, store last heard %s", lease, wanted, m.StoreHeard())
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
			return CannotTake.New("nobody owns the pool any more")
		}
		if e.Item.Version == fence {
			return store.Unknown.New("the write has not landed yet")
		}
	}
	return m.do(ctx, func(e *elector) {
		for _, event := range events {
			e.view.apply(event, m.clock())
		}
	}, nil)
}

// probe fails unless the store answers this host soon: a store that is slow or down for all is no reason to move a pool.
func (m *Manager) probe(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.renew(ctx, lease)
}
