package tablefollow

import (
	"context"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/wait"
)

const (
	// gossipDelay gives peers the time to learn of a version from the store by themselves.
	gossipDelay = 300 * time.Millisecond
	// askTimeout bounds the question for a peer's version, sendTimeout the transfer of a table.
	askTimeout  = 500 * time.Millisecond
	sendTimeout = 3 * time.Second
)

// Peers are the entry hosts that are told of new versions.
type Peers interface {
	// Neighbours are the addresses of the peers that this one tells, at most a few. Each peer must be told by some other.
	Neighbours() []string
	// OfferTable tells the peer of a version and returns the peer's own. Without raw nothing but the number is sent.
	OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error)
}

// Gossip tells neighbours of each new version until ctx ends.
//
// A peer whose watch is deaf, or which the store turns away, learns of it in that way.
func (f *Follower) Gossip(ctx context.Context, peers Peers) {
	for {
		changed := f.Changed()
		if v := f.present.Load(); v != nil {
			f.tell(ctx, peers, v)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *Follower) tell(ctx context.Context, peers Peers, v *version) {
	if !v.fromPeer && wait.For(ctx, gossipDelay) != nil {
		return
	}
	for _, address := range peers.Neighbours() {
		go f.tellOne(ctx, peers, address, v)
	}
}

// tellOne sends the number first: nearly always the peer has the version already.
func (f *Follower) tellOne(ctx context.Context, peers Peers, address string, v *version) {
	has, err := offer(ctx, peers, address, askTimeout, v.table.Version, nil)
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
