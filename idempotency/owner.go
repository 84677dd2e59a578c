package idempotency

import (
	"bytes"
	"container/list"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// entryState is the state of a granted key.
type entryState int

const (
	stateRunning entryState = iota
	stateDone
	stateUnknown
	stateNotRun // another attempt may be granted
)

// entry is a remembered key.
type entry struct {
	id          keyID
	state       entryState
	digest      []byte
	attempt     string
	claimer     pb.Owner
	outcome     *pb.Outcome
	epochNumber int       // of the last grant
	changed     time.Time // last change of state
	element     *list.Element
}

// Owner records the keys that one entry host owns and has granted. It is not safe for concurrent use.
type Owner struct {
	self    *pb.Owner
	limits  Limits
	ownerOf OwnerFunc
	fleet   *pb.Fleet
	history ownershipHistory
	entries map[keyID]*entry
	ended   *list.List // entries that are not running, least recently changed first
}

// NewOwner returns the Owner of the given process. It owns no keys until SetFleet is called.
func NewOwner(self *pb.Owner, limits Limits, ownerOf OwnerFunc) *Owner {
	return &Owner{
		self:    self,
		limits:  limits.withDefaults(),
		ownerOf: ownerOf,
		history: ownershipHistory{self: self, ownerOf: ownerOf},
		entries: map[keyID]*entry{},
		ended:   list.New(),
	}
}

// Len returns the number of remembered keys.
func (o *Owner) Len() int {
	return len(o.entries)
}

// SetFleet applies a view of the fleet; a view older than the current one is ignored. It must be called before the
// settle revision is reported as applied. The fleet must not be changed afterwards.
//
// Running claims of members whose process is proved gone become unknown, since nobody is left to finish them.
func (o *Owner) SetFleet(now time.Time, f *pb.Fleet) {
	if o.fleet != nil && f.GetRevision() < o.fleet.GetRevision() {
		return
	}
	last := o.fleet
	o.fleet = f
	o.history.apply(now, f)
	for _, e := range o.entries {
		if e.state == stateRunning && o.claimerGone(now, e, last) {
			o.end(now, e, stateUnknown)
		}
	}
}

// claimerGone reports whether the claimer can no longer finish a running claim: it is not a member, and it was one
// before, another incarnation has replaced it, or the claim is older than the retention time.
func (o *Owner) claimerGone(now time.Time, e *entry, last *pb.Fleet) bool {
	if isMember(o.fleet, &e.claimer) {
		return false
	}
	return isMember(last, &e.claimer) || replaced(o.fleet, &e.claimer) || now.Sub(e.changed) > o.limits.retention()
}

// isMember reports whether the process is a member of the fleet.
func isMember(f *pb.Fleet, process *pb.Owner) bool {
	for _, member := range f.GetMembers() {
		if member.GetName() == process.GetName() && member.GetIncarnation() == process.GetIncarnation() {
			return true
		}
	}
	return false
}

// replaced reports whether another incarnation of the process is a member and the process is not. While the store is
// down, a process that joined through a peer may be listed together with its previous incarnation.
func replaced(f *pb.Fleet, process *pb.Owner) bool {
	if isMember(f, process) {
		return false
	}
	for _, member := range f.GetMembers() {
		if member.GetName() == process.GetName() && member.GetIncarnation() != process.GetIncarnation() {
			return true
		}
	}
	return false
}

// Claim decides whether an attempt may run. A granted attempt may run once. If the answer is lost, a repeated claim of
// the same attempt gets the same answer as long as the attempt has not ended. A claimer that doesn't receive an answer
// ends the attempt with Finish and the outcome "not run".
func (o *Owner) Claim(now time.Time, req *pb.ClaimRequest) *pb.ClaimResponse {
	o.Sweep(now)
	claimer := &pb.Owner{Name: req.GetMember(), Incarnation: req.GetIncarnation()}
	owned, ok := o.ownedSince(req)
	if !ok || replaced(o.fleet, claimer) || req.GetAttempt() == "" {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER)
	}
	id := idOf(req.GetService(), req.GetKey())
	if e, ok := o.entries[id]; ok {
		return o.claimKnown(now, e, req, claimer, owned)
	}
	if !o.neverGranted(now, req.GetKey(), owned) {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN)
	}
	if len(o.entries) >= o.limits.MaxKeys {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_FULL)
	}
	e := &entry{id: id, digest: bytes.Clone(req.GetDigest())}
	o.entries[id] = e
	return o.grant(now, e, req, claimer)
}

// ownedSince returns the epoch since which this process has owned the key, and false if it may not grant the key.
func (o *Owner) ownedSince(req *pb.ClaimRequest) (epoch, bool) {
	owner, closed := Locate(req.GetService(), req.GetKey(), o.fleet, o.ownerOf)
	if closed || !sameOwner(owner, o.self) {
		return epoch{}, false
	}
	return o.history.epochOf(scopedKey(req.GetService(), req.GetKey()))
}

// neverGranted reports whether it is certain that no owner has granted a key that is not remembered.
func (o *Owner) neverGranted(now time.Time, key string, owned epoch) bool {
	created, hasTime := keyTime(key)
	if hasTime && created.After(now.Add(o.limits.ClockSkew)) {
		return false
	}
	if hasTime && created.Before(now.Add(-o.limits.Window)) {
		return false
	}
	if owned.first || now.Sub(owned.since) > o.limits.retention() {
		return true
	}
	// An earlier owner granted no key created more than ClockSkew in its future, and its clock was at most ClockSkew
	// ahead of ours.
	return hasTime && created.After(owned.since.Add(2*o.limits.ClockSkew))
}

// claimKnown decides on a claim of a remembered key.
func (o *Owner) claimKnown(now time.Time, e *entry, req *pb.ClaimRequest, claimer *pb.Owner, owned epoch) *pb.ClaimResponse {
	if !bytes.Equal(e.digest, req.GetDigest()) {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_MISMATCH)
	}
	sameAttempt := e.attempt == req.GetAttempt()
	switch e.state {
	case stateRunning:
		if sameAttempt && sameOwner(&e.claimer, claimer) {
			return verdict(pb.ClaimVerdict_CLAIM_VERDICT_GRANTED)
		}
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_RUNNING)
	case stateDone:
		return done(e.outcome)
	case stateNotRun:
		// Since the grant, another owner may have owned the key and granted it as well.
		if e.epochNumber < owned.number {
			return verdict(pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN)
		}
		if sameAttempt {
			return done(e.outcome)
		}
		return o.grant(now, e, req, claimer)
	default:
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN)
	}
}

// grant records the attempt as running and returns a granted verdict.
func (o *Owner) grant(now time.Time, e *entry, req *pb.ClaimRequest, claimer *pb.Owner) *pb.ClaimResponse {
	if e.element != nil {
		o.ended.Remove(e.element)
		e.element = nil
	}
	e.state = stateRunning
	e.attempt = req.GetAttempt()
	e.claimer.Name = claimer.GetName()
	e.claimer.Incarnation = claimer.GetIncarnation()
	e.outcome = nil
	e.epochNumber = o.history.count
	e.changed = now
	return verdict(pb.ClaimVerdict_CLAIM_VERDICT_GRANTED)
}

// Finish ends an attempt. It is ignored unless the attempt is the last one granted, and if that has already ended with
// a known outcome.
func (o *Owner) Finish(now time.Time, req *pb.FinishRequest) {
	e, ok := o.entries[idOf(req.GetService(), req.GetKey())]
	if !ok || e.attempt != req.GetAttempt() || e.state == stateDone || e.state == stateNotRun {
		return
	}
	e.outcome = proto.CloneOf(req.GetOutcome())
	switch req.GetOutcome().GetKind() {
	case pb.OutcomeKind_OUTCOME_KIND_DONE:
		o.end(now, e, stateDone)
	case pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		o.end(now, e, stateNotRun)
	default:
		o.end(now, e, stateUnknown)
	}
}

// end moves an entry to a state other than stateRunning.
func (o *Owner) end(now time.Time, e *entry, state entryState) {
	if e.element != nil {
		o.ended.Remove(e.element)
	}
	e.state = state
	e.changed = now
	e.element = o.ended.PushBack(e)
}

// Sweep removes the keys that are too old to be repeated.
func (o *Owner) Sweep(now time.Time) {
	// A key with a creation time may have been created up to ClockSkew in the future, so it may be repeated for that
	// much longer.
	maxAge := o.limits.retention() + o.limits.ClockSkew
	o.history.forget(now.Add(-maxAge))
	for first := o.ended.Front(); first != nil; first = o.ended.Front() {
		e := first.Value.(*entry)
		if now.Sub(e.changed) <= maxAge {
			return
		}
		o.ended.Remove(first)
		delete(o.entries, e.id)
	}
}

func verdict(v pb.ClaimVerdict) *pb.ClaimResponse {
	return &pb.ClaimResponse{Verdict: v}
}

func done(outcome *pb.Outcome) *pb.ClaimResponse {
	return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_DONE, Outcome: proto.CloneOf(outcome)}
}
