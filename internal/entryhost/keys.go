package entryhost

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

// keys claims idempotency keys from their owners, and owns this entry host's share. It is safe for concurrent use.
type keys struct {
	self  *pb.Member
	view  *view
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

func newKeys(v *view, self *pb.Member, detector *pause.Detector, limits idempotency.Limits) *keys {
	owner := &pb.Owner{Name: self.GetName(), Incarnation: self.GetIncarnation()}
	k := &keys{
		self:     self,
		view:     v,
		ends:     ring.New[claimEnd]("claim ends", finishCapacity),
		detector: detector,
		limits:   limits,
		owner:    idempotency.NewOwner(owner, limits, rendezvous.Owner),
	}
	v.onFleet(k)
	return k
}

func (k *keys) with(f func(*idempotency.Owner)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.owner)
}

// applyFleet implements fleetApplier.
func (k *keys) applyFleet(f *pb.Fleet, _ *pb.Configuration) {
	if f == nil {
		return
	}
	k.with(func(o *idempotency.Owner) { o.SetFleet(time.Now(), f) })
}

// ClaimHere decides a claim on a key that this entry host owns.
//
// A process that was paused answers "not owner" until its view is confirmed: the key may have another owner by now.
func (k *keys) ClaimHere(req *pb.ClaimRequest) *pb.ClaimResponse {
	if k.detector.Check() != nil {
		return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER}
	}
	var answer *pb.ClaimResponse
	k.with(func(o *idempotency.Owner) { answer = o.Claim(time.Now(), req) })
	return answer
}

// FinishHere records how an attempt ended whose key this entry host owns.
func (k *keys) FinishHere(req *pb.FinishRequest) {
	k.with(func(o *idempotency.Owner) { o.Finish(time.Now(), req) })
}

// claim is a granted claim.
type claim struct {
	owner   string
	request *pb.ClaimRequest
}

// claim asks the key's owner for the right to run once. An error means that nothing ran and nothing will.
func (k *keys) claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, claim, error) {
	f := k.view.fleet()
	owner, closed := idempotency.Locate(req.GetService(), req.GetKey(), f, rendezvous.Owner)
	if owner == nil || closed {
		return nil, claim{}, errKeyMoving.New("key of service %q", req.GetService())
	}
	req.FleetRevision = f.GetRevision()
	c := claim{owner: owner.GetName(), request: req}
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
		k.finish(c, &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN})
		return nil, c, errOwnerSilent.New("owner %q of the key: %v", owner.GetName(), err)
	}
	return answer.Msg, c, nil
}

// finish tells the owner how the claimed attempt ended. If the ring is full the owner keeps the claim as running, which
// is safe: the key is then never run again inside its window.
func (k *keys) finish(c claim, outcome *pb.Outcome) {
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

// run tells the owners the ends of claims, and forgets old keys.
func (k *keys) run(ctx context.Context) {
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
func (k *keys) tell(ctx context.Context, end claimEnd) {
	backoff := store.DefaultBackoff()
	for range finishAttempts {
		member, ok := lo.Find(k.view.fleet().GetMembers(), func(m *pb.Member) bool { return m.GetName() == end.owner })
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

// remembered is the number of keys that this entry host remembers as their owner.
func (k *keys) remembered() int {
	n := 0
	k.with(func(o *idempotency.Owner) { n = o.Len() })
	return n
}

// backlog is the ring of ends that wait to be told.
func (k *keys) backlog() ring.State { return k.ends }

// SetPeers says how the owners of keys are reached. It must be called before the duty runs.
func (k *keys) SetPeers(peers peerClients) { k.peers = peers }

// process is the member whose claims these are.
func (k *keys) process() *pb.Member { return k.self }

// tooLate reports whether a request that arrived at a time has waited too long for its key to be safe.
func (k *keys) tooLate(now, arrived time.Time) bool { return k.limits.TooLate(now, arrived) }
