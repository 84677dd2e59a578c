package tablefollow

import (
	"context"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/wait"
)

const (
	// gossipDelay is the delay before a version from the store is offered to peers, which gives them the time to receive it
	// from the store themselves.
	gossipDelay = 300 * time.Millisecond
	// offerTimeout limits the offer of a version number to a peer; sendTimeout limits the transfer of a table.
	offerTimeout = 500 * time.Millisecond
	sendTimeout  = 3 * time.Second
)

// Peers are the entry hosts that new versions are offered to.
type Peers interface {
	// Neighbours returns the addresses of the few peers that this host offers versions to. Each peer must be a neighbour of
	// some other.
	Neighbours() []string
	// OfferTable offers a version to the peer and returns the peer's own version. Without raw only the number is sent.
	OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error)
}

// Gossip offers each new version to the neighbours until ctx ends.
//
// The offers reach peers whose watch is stalled or whose calls the store rejects.
func (f *Follower) Gossip(ctx context.Context, peers Peers) {
	for {
		changed := f.Changed()
		if v := f.current.Load(); v != nil {
			f.offerToNeighbours(ctx, peers, v)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *Follower) offerToNeighbours(ctx context.Context, peers Peers, v *version) {
	if !v.fromPeer && wait.For(ctx, gossipDelay) != nil {
		return
	}
	for _, address := range peers.Neighbours() {
		go f.offerTo(ctx, peers, address, v)
	}
}

// offerTo offers the version number first and sends the table only if the peer lacks it, since the peer nearly always has
// the version already.
func (f *Follower) offerTo(ctx context.Context, peers Peers, address string, v *version) {
	has, err := offer(ctx, peers, address, offerTimeout, v.table.Version, nil)
	if err == nil && has < v.table.Version {
		_, err = offer(ctx, peers, address, sendTimeout, v.table.Version, v.raw)
	}
	if err != nil {
		events.Log(ctx, f.log, events.ConfigNotOffered, slog.String("peer", address),
			slog.Int64("version", v.table.Version), slog.String("err", err.Error()))
	}
}

func offer(
	ctx context.Context, peers Peers, address string, timeout time.Duration, version int64, raw []byte,
) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peers.OfferTable(ctx, address, version, raw)
}
