package jobfront

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Relays are the other entry hosts, which store jobs for this one while it cannot reach the store.
type Relays interface {
	// Addresses returns the addresses of the usable peers, in a stable order.
	Addresses() []string
	// StoreJob applies a deadline of its own besides that of ctx.
	StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult
}

const (
	// relayAttempts bounds the peers tried for one request.
	relayAttempts = 2
	// relayCooldown is how long no peer is tried after all peers tried for a request failed to store it.
	relayCooldown = 500 * time.Millisecond
	// relayRecoveryTime is the time without a relayed write after which this entry host counts as recovered.
	relayRecoveryTime = 5 * time.Second
)

// relay stores jobs and cancellations through peers. It is safe for concurrent use.
type relay struct {
	peers   Relays
	metrics *Metrics
	log     *slog.Logger

	mu sync.Mutex
	// next is the index of the peer to try; it does not move while that peer succeeds.
	next int
	// cooldownUntil is when peers may be tried again.
	cooldownUntil time.Time

	// active means that the use of peers has been logged and its end has not; lastRelayed is the time of the last relayed
	// write.
	active      atomic.Bool
	lastRelayed atomic.Pointer[time.Time]
}

func newRelay(peers Relays, metrics *Metrics, log *slog.Logger) *relay {
	return &relay{peers: peers, metrics: metrics, log: log}
}

func (r *relay) enabled() bool { return r.peers != nil }

// store tries peers if this entry host's own write did not succeed, and returns the combined result of all writes. Writes
// are idempotent, so an undecided one may be repeated by a peer.
func (r *relay) store(ctx context.Context, own pb.StoreResult, req *pb.StoreJobRequest) pb.StoreResult {
	if !r.enabled() {
		return own
	}
	if isDecided(own) {
		r.recordLocal(ctx)
		return own
	}
	addresses := r.peers.Addresses()
	result := own
	for range min(relayAttempts, len(addresses)) {
		i, ok := r.choose(len(addresses))
		if !ok || ctx.Err() != nil {
			return result
		}
		answer := r.peers.StoreJob(ctx, addresses[i], req)
		traceOf(ctx).recordPeer(answer)
		if isDecided(answer) {
			r.recordRelayed(ctx)
			return answer
		}
		r.advance(i)
		if answer != pb.StoreResult_STORE_RESULT_NOT_STORED {
			result = pb.StoreResult_STORE_RESULT_UNDECIDED
		}
	}
	r.startCooldown()
	return result
}

// choose returns the index of the peer to try; ok is false during the cooldown.
func (r *relay) choose(n int) (i int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next %= n
	return r.next, !time.Now().Before(r.cooldownUntil)
}

// advance moves on from a peer that failed, unless another request has done so.
func (r *relay) advance(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == i {
		r.next = i + 1
	}
}

// recordRelayed records a relayed write and logs the first one.
func (r *relay) recordRelayed(ctx context.Context) {
	r.metrics.countRelayed()
	now := time.Now()
	r.lastRelayed.Store(&now)
	if !r.active.Swap(true) {
		events.Emit(ctx, r.log, events.StoredByPeers)
	}
}

// recordLocal is called after a write by this entry host itself. It logs the recovery once no write was relayed for
// relayRecoveryTime.
func (r *relay) recordLocal(ctx context.Context) {
	if r.active.Load() && time.Since(*r.lastRelayed.Load()) >= relayRecoveryTime && r.active.Swap(false) {
		events.Emit(ctx, r.log, events.StoredAgain)
	}
}

func (r *relay) startCooldown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cooldownUntil = time.Now().Add(relayCooldown)
}
