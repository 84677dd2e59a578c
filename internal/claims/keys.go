// Package claims gets the right to run a request with an idempotency key, and owns this entry host's share of the keys.
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
	// claimTimeout bounds the wait for the owner of a key.
	claimTimeout = 2 * time.Second
	// finishCapacity bounds the ends of claims that wait to be told to their owners.
	finishCapacity = 4096
	// finishAttempts bounds the tries to tell one end.
	finishAttempts = 6
)

// peerClients gives the client of the peer at an address.
type peerClients interface {
	At(address string) agateturnv1connect.PeerServiceClient
}

// Keys claims idempotency keys from their owners, and owns this entry host's share. It is safe for concurrent use.
type Keys struct {
	self  *pb.Member
	view  *view.View
	peers peerClients
	// detector keeps a process that was paused from granting.
	detector *pause.Detector
	limits   idempotency.Limits
	ends     *ring.Ring[claimEnd]

	mu    sync.Mutex
	owner *idempotency.Owner
}

// claimEnd is the end of a claim on its way to the key's owner.
type claimEnd struct {
	owner  string
	finish *pb.FinishRequest
}

// New returns the claims of the entry host self. SetPeers must be called before they are used.
func New(v *view.View, self *pb.Member, detector *pause.Detector, limits idempotency.Limits) *Keys {
	owner := &pb.Owner{Name: self.GetName(), Incarnation: self.GetIncarnation()}
	k := &Keys{
		self:     self,
		view:     v,
		ends:     ring.New[claimEnd]("claim ends", finishCapacity),
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
// A process that was paused answers "not owner" until its view is confirmed: the key may have another owner by now.
func (k *Keys) ClaimHere(req *pb.ClaimRequest) *pb.ClaimResponse {
	if k.detector.Check() != nil {
		return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER}
	}
	var answer *pb.ClaimResponse
	k.with(func(o *idempotency.Owner) { answer = o.Claim(time.Now(), req) })
	return answer
}

// FinishHere records how an attempt ended whose key this entry host owns.
func (k *Keys) FinishHere(req *pb.FinishRequest) {
	k.with(func(o *idempotency.Owner) { o.Finish(time.Now(), req) })
}

// Claim is a granted claim.
type Claim struct {
	owner   string
	request *pb.ClaimRequest
}

// Claim asks the key's owner for the right to run once. An error means that nothing ran and nothing will.
func (k *Keys) Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, Claim, error) {
	f := k.view.Fleet()
	owner, closed := idempotency.Locate(req.GetService(), req.GetKey(), f, rendezvous.Owner)
	if owner == nil || closed {
		return nil, Claim{}, errKeyMoving.New("key of service %q", req.GetService())
	}
	req.FleetRevision = f.GetRevision()
	c := Claim{owner: owner.GetName(), request: req}
	if owner.GetName() == k.self.GetName() {
		return k.ClaimHere(req), c, nil
	}
	member, ok := lo.Find(f.GetMembers(), func(m *pb.Member) bool { return m.GetName() == owner.GetName() })
	if !ok {
		return nil, c, errKeyMoving.New("owner %q is not a member", owner.GetName())
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := k.peers.At(member.GetPeerAddress()).Claim(ctx, connect.NewRequest(req))
	if err != nil {
		// The owner may have recorded the claim: free the key, since this attempt will not run.
		k.Finish(c, &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN})
		return nil, c, errOwnerSilent.New("owner %q of the key: %v", owner.GetName(), err)
	}
	return answer.Msg, c, nil
}

// Finish tells the owner how the claimed attempt ended. If the ring is full the owner keeps the claim as running, which
// is safe: the key is then never run again inside its window.
func (k *Keys) Finish(c Claim, outcome *pb.Outcome) {
	end := claimEnd{owner: c.owner, finish: &pb.FinishRequest{
		Service: c.request.GetService(),
		Key:     c.request.GetKey(),
		Attempt: c.request.GetAttempt(),
		Outcome: outcome,
	}}
	if c.owner == k.self.GetName() {
		k.FinishHere(end.finish)
		return
	}
	k.ends.Offer(end)
}

// Run tells the owners the ends of claims, and forgets old keys.
func (k *Keys) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case end := <-k.ends.Items():
			k.tell(ctx, end)
		case now := <-ticker.C:
			k.with(func(o *idempotency.Owner) { o.Sweep(now) })
		}
	}
}

// tell delivers one end, with a bounded number of tries.
func (k *Keys) tell(ctx context.Context, end claimEnd) {
	backoff := store.DefaultBackoff()
	for range finishAttempts {
		member, ok := lo.Find(k.view.Fleet().GetMembers(), func(m *pb.Member) bool { return m.GetName() == end.owner })
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		_, err := k.peers.At(member.GetPeerAddress()).Finish(callCtx, connect.NewRequest(end.finish))
		cancel()
		if err == nil || backoff.Sleep(ctx) != nil {
			return
		}
	}
}

// Kinds of errors of claims. Their messages name the remedy.
var (
	errKeyMoving   = errs.Class("the idempotency key is changing its owner; nothing ran; send it again in a moment")
	errOwnerSilent = errs.Class("peer not reachable")
)

// Remembered is the number of keys that this entry host remembers as their owner.
func (k *Keys) Remembered() int {
	n := 0
	k.with(func(o *idempotency.Owner) { n = o.Len() })
	return n
}

// Backlog is the ring of ends that wait to be told.
func (k *Keys) Backlog() ring.State { return k.ends }

// SetPeers says how the owners of keys are reached. It must be called before the duty runs.
func (k *Keys) SetPeers(peers peerClients) { k.peers = peers }

// Process is the member whose claims these are.
func (k *Keys) Process() *pb.Member { return k.self }

// TooLate reports whether a request that arrived at a time has waited too long for its key to be safe.
func (k *Keys) TooLate(now, arrived time.Time) bool { return k.limits.TooLate(now, arrived) }
