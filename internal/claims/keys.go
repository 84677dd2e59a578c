// Package claims acquires the right to run requests with idempotency keys from the owners of the keys, and decides the
// claims on the keys that this entry host owns.
package claims

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"
	"github.com/zeebo/errs"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/gen/agateturn/v1/agateturnv1connect"
	"github.com/agateturn/agateturn/idempotency"
	"github.com/agateturn/agateturn/internal/pause"
	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/rendezvous"
	"github.com/agateturn/agateturn/store"
)

const (
	// claimTimeout limits each call to the owner of a key.
	claimTimeout = 2 * time.Second
	// finishCapacity is the maximum number of results of claims that wait for delivery to the owners of the keys.
	finishCapacity = 4096
	// finishAttempts is the maximum number of attempts to deliver one result.
	finishAttempts = 6
)

// peerClients returns clients of peers by address.
type peerClients interface {
	At(address string) agateturnv1connect.PeerServiceClient
}

// Keys claims idempotency keys from their owners and decides the claims on the keys that this entry host owns. It is safe
// for concurrent use.
type Keys struct {
	self  *pb.Member
	view  *view.View
	peers peerClients
	// detector keeps a process that was paused from granting claims.
	detector *pause.Detector
	limits   idempotency.Limits
	results  *ring.Ring[claimResult]

	mu    sync.Mutex
	owner *idempotency.Owner
}

// claimResult is the result of a claimed attempt, queued for delivery to the key's owner.
type claimResult struct {
	owner  string
	finish *pb.FinishRequest
}

// New returns the Keys of the entry host self. SetPeers must be called before they are used.
func New(v *view.View, self *pb.Member, detector *pause.Detector, limits idempotency.Limits) *Keys {
	owner := &pb.Owner{Name: self.GetName(), Incarnation: self.GetIncarnation()}
	k := &Keys{
		self:     self,
		view:     v,
		results:  ring.New[claimResult]("claim ends", finishCapacity),
		detector: detector,
		limits:   limits,
		owner:    idempotency.NewOwner(owner, limits, rendezvous.Owner),
	}
	v.OnFleet(k)
	return k
}

func (k *Keys) with(f func(*idempotency.Owner)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.owner)
}

// ApplyFleet implements view.Applier.
func (k *Keys) ApplyFleet(f *pb.Fleet, _ *pb.Configuration) {
	if f == nil {
		return
	}
	k.with(func(o *idempotency.Owner) { o.SetFleet(time.Now(), f) })
}

// ClaimHere decides a claim on a key that this entry host owns.
//
// A process that was paused answers "not owner" until its view is confirmed, since the key may have another owner by then.
func (k *Keys) ClaimHere(req *pb.ClaimRequest) *pb.ClaimResponse {
	if k.detector.Check() != nil {
		return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER}
	}
	var answer *pb.ClaimResponse
	k.with(func(o *idempotency.Owner) { answer = o.Claim(time.Now(), req) })
	return answer
}

// FinishHere records the outcome of an attempt whose key this entry host owns.
func (k *Keys) FinishHere(req *pb.FinishRequest) {
	k.with(func(o *idempotency.Owner) { o.Finish(time.Now(), req) })
}

// Claim identifies a claim sent to the owner of its key.
type Claim struct {
	owner   string
	request *pb.ClaimRequest
}

// Claim asks the key's owner for the right to run the attempt. An error means that the attempt has not run and must not
// run. Claim sets the fleet revision of req.
func (k *Keys) Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, Claim, error) {
	f := k.view.Fleet()
	owner, closed := idempotency.Locate(req.GetService(), req.GetKey(), f, rendezvous.Owner)
	if owner == nil || closed {
		return nil, Claim{}, errOwnerChanging.New("key of service %q", req.GetService())
	}
	req.FleetRevision = f.GetRevision()
	c := Claim{owner: owner.GetName(), request: req}
	if owner.GetName() == k.self.GetName() {
		return k.ClaimHere(req), c, nil
	}
	member, ok := lo.Find(f.GetMembers(), func(m *pb.Member) bool { return m.GetName() == owner.GetName() })
	if !ok {
		return nil, c, errOwnerChanging.New("owner %q is not a member", owner.GetName())
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := k.peers.At(member.GetPeerAddress()).Claim(ctx, connect.NewRequest(req))
	if err != nil {
		// The owner may have recorded the claim. Free the key, since this attempt will not run.
		k.Finish(c, &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN})
		return nil, c, errOwnerUnreachable.New("owner %q of the key: %v", owner.GetName(), err)
	}
	return answer.Msg, c, nil
}

// Finish reports the outcome of the claimed attempt to the key's owner. If the ring of results is full or the delivery
// fails, the owner keeps the claim as running, which is safe: the key is then never run again within its window.
func (k *Keys) Finish(c Claim, outcome *pb.Outcome) {
	result := claimResult{owner: c.owner, finish: &pb.FinishRequest{
		Service: c.request.GetService(),
		Key:     c.request.GetKey(),
		Attempt: c.request.GetAttempt(),
		Outcome: outcome,
	}}
	if c.owner == k.self.GetName() {
		k.FinishHere(result.finish)
		return
	}
	k.results.Offer(result)
}

// Run delivers the results of claims to the owners of the keys and removes expired keys, until ctx ends.
func (k *Keys) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-k.results.Items():
			k.deliver(ctx, result)
		case now := <-ticker.C:
			k.with(func(o *idempotency.Owner) { o.Sweep(now) })
		}
	}
}

// deliver sends one result to the key's owner, in at most finishAttempts attempts. It drops the result if the owner is no
// longer a member.
func (k *Keys) deliver(ctx context.Context, result claimResult) {
	backoff := store.DefaultBackoff()
	for range finishAttempts {
		member, ok := lo.Find(k.view.Fleet().GetMembers(), func(m *pb.Member) bool { return m.GetName() == result.owner })
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		_, err := k.peers.At(member.GetPeerAddress()).Finish(callCtx, connect.NewRequest(result.finish))
		cancel()
		if err == nil || backoff.Sleep(ctx) != nil {
			return
		}
	}
}

// Error classes of the package. Their messages name the remedy.
var (
	errOwnerChanging    = errs.Class("the idempotency key is changing its owner; nothing ran; send it again in a moment")
	errOwnerUnreachable = errs.Class("peer not reachable")
)

// Remembered returns the number of keys that this entry host holds in memory as their owner.
func (k *Keys) Remembered() int {
	n := 0
	k.with(func(o *idempotency.Owner) { n = o.Len() })
	return n
}

// Backlog returns the state of the ring of results that wait for delivery.
func (k *Keys) Backlog() ring.State { return k.results }

// SetPeers sets the clients by which the owners of keys are reached. It must be called before Run.
func (k *Keys) SetPeers(peers peerClients) { k.peers = peers }

// Process returns the member record of this entry host, which makes the claims.
func (k *Keys) Process() *pb.Member { return k.self }

// TooLate reports whether a request that arrived at the given time has waited too long for its key to be safe.
func (k *Keys) TooLate(now, arrived time.Time) bool { return k.limits.TooLate(now, arrived) }
