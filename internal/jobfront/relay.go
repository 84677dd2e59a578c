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

// Relays are the other entry hosts, through which jobs are stored when the store does not serve this one.
type Relays interface {
	// Addresses are those of the peers that may be asked, in the same order each time.
	Addresses() []string
	// StoreJob has a deadline of its own besides ctx.
	StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult
}

const (
	// relayTries is how many peers are asked for one request.
	relayTries = 2
	// relayRest is how long no peer is asked after all that were asked could not store either.
	relayRest = 500 * time.Millisecond
	// relayCalm is the time without a relayed write after which the store serves this entry host again.
	relayCalm = 5 * time.Second
)

// relay stores through peers. It is safe for concurrent use.
type relay struct {
	peers   Relays
	metrics *Metrics
	log     *slog.Logger

	mu sync.Mutex
	// next is the index of the peer to ask; it stays with one that stores.
	next  int
	until time.Time

	// used means that operators were told of writes through peers; last is the time of the last one.
	used atomic.Bool
	last atomic.Pointer[time.Time]
}

func newRelay(peers Relays, metrics *Metrics, log *slog.Logger) *relay {
	return &relay{peers: peers, metrics: metrics, log: log}
}

func (r *relay) exists() bool { return r.peers != nil }

// store asks peers if this entry host's own write did not succeed, and returns what became of all writes together.
// A repeated write is harmless, so an undecided one may be repeated elsewhere.
func (r *relay) store(ctx context.Context, own pb.StoreResult, req *pb.StoreJobRequest) pb.StoreResult {
	if !r.exists() {
		return own
	}
	if isDecided(own) {
		r.stored(ctx)
		return own
	}
	addresses := r.peers.Addresses()
	result := own
	for range min(relayTries, len(addresses)) {
		at, ok := r.choose(len(addresses))
		if !ok || ctx.Err() != nil {
			return result
		}
		answer := r.peers.StoreJob(ctx, addresses[at], req)
		traceOf(ctx).peerAnswered(answer)
		if isDecided(answer) {
			r.relayed(ctx)
			return answer
		}
		r.turn(at)
		if answer != pb.StoreResult_STORE_RESULT_NOT_STORED {
			result = pb.StoreResult_STORE_RESULT_UNDECIDED
		}
	}
	r.rest()
	return result
}

func (r *relay) choose(n int) (at int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next %= n
	return r.next, !time.Now().Before(r.until)
}

// turn moves on from a peer that did not store, unless another request has done so.
func (r *relay) turn(at int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == at {
		r.next = at + 1
	}
}

// relayed tells operators that peers begin to store for this entry host.
func (r *relay) relayed(ctx context.Context) {
	r.metrics.wasRelayed()
	now := time.Now()
	r.last.Store(&now)
	if !r.used.Swap(true) {
		events.Emit(ctx, r.log, events.StoredByPeers)
	}
}

// stored tells operators that this entry host stores itself again, once no peer was needed for a while.
func (r *relay) stored(ctx context.Context) {
	if r.used.Load() && time.Since(*r.last.Load()) >= relayCalm && r.used.Swap(false) {
		events.Emit(ctx, r.log, events.StoredAgain)
	}
}

func (r *relay) rest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now().Add(relayRest)
}
