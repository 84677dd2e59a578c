package idempotency

import (
	"bytes"
	"container/list"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// entryState is what an owner knows of a granted key.
type entryState int

const (
	stateRunning entryState = iota
	stateDone
	stateUnknown
	stateNotRun // another attempt may be granted
)

// entry is a remembered key.
type entry struct {
	id      keyID
	state   entryState
	digest  []byte
	attempt string
	claimer pb.Owner
	outcome *pb.Outcome
	epoch   int       // of the last grant
	changed time.Time // last change of state
	element *list.Element
}

// Owner is the memory of one entry host for the keys that it owns. It is not safe for concurrent use.
type Owner struct {
	self    *pb.Owner
	limits  Limits
	ownerOf OwnerFunc
	fleet   *pb.Fleet
	tenure  tenure
	entries map[keyID]*entry
	ended   *list.List // entries that are not running, by time of change
}

// NewOwner returns the memory of the given process. Until SetFleet it owns nothing.
func NewOwner(self *pb.Owner, limits Limits, ownerOf OwnerFunc) *Owner {
	return &Owner{
		self:    self,
		limits:  limits.withDefaults(),
		ownerOf: ownerOf,
		tenure:  tenure{self: self, ownerOf: ownerOf},
		entries: map[keyID]*entry{},
		ended:   list.New(),
	}
}

// Len returns the number of remembered keys.
func (o *Owner) Len() int {
	return len(o.entries)
}

// SetFleet takes a view of the fleet; an older one than the present is ignored. Call it before the
// settle revision is reported as applied. The fleet must not be changed afterwards.
//
// Running claims of members whose process is proved gone become unknown.
func (o *Owner) SetFleet(now time.Time, f *pb.Fleet) {
	if o.fleet != nil && f.GetRevision() < o.fleet.GetRevision() {
		return
	}
	last := o.fleet
	o.fleet = f
	o.tenure.apply(now, f)
	for _, e := range o.entries {
		if e.state == stateRunning && o.lost(now, e, last) {
			o.end(now, e, stateUnknown)
		}
	}
}

// lost reports whether nobody is left to finish a running claim: its claimer was a member and is none
// any more, or it has not become one within the window.
func (o *Owner) lost(now time.Time, e *entry, last *pb.Fleet) bool {
	if isMember(o.fleet, &e.claimer) {
		return false
	}
	return isMember(last, &e.claimer) || replaced(o.fleet, &e.claimer) || now.Sub(e.changed) > o.limits.memory()
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

// replaced reports whether another incarnation of the process is a member in its place. While the store is down a
// process that joined through a peer may be listed beside the one before it.
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

// Claim decides whether an attempt may run. A granted attempt may run once; a claim repeated
// with the same attempt, after a lost answer, gets the same answer as long as the attempt has not ended.
// A claimer that does not learn the answer ends the attempt with Finish and the outcome "not run".
func (o *Owner) Claim(now time.Time, req *pb.ClaimRequest) *pb.ClaimResponse {
	o.Sweep(now)
	claimer := &pb.Owner{Name: req.GetMember(), Incarnation: req.GetIncarnation()}
	held, ok := o.holds(req)
	if !ok || replaced(o.fleet, claimer) || req.GetAttempt() == "" {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER)
	}
	id := idOf(req.GetService(), req.GetKey())
	if e, ok := o.entries[id]; ok {
		return o.claimKnown(now, e, req, claimer, held)
	}
	if !o.unseen(now, req.GetKey(), held) {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN)
	}
	if len(o.entries) >= o.limits.MaxKeys {
		return verdict(pb.ClaimVerdict_CLAIM_VERDICT_FULL)
	}
	e := &entry{id: id, digest: bytes.Clone(req.GetDigest())}
	o.entries[id] = e
	return o.grant(now, e, req, claimer)
}

// holds returns the epoch since which this process has owned the key, and false if it may not grant it.
func (o *Owner) holds(req *pb.ClaimRequest) (epoch, bool) {
	owner, closed := Locate(req.GetService(), req.GetKey(), o.fleet, o.ownerOf)
	if closed || !sameOwner(owner, o.self) {
		return epoch{}, false
	}
	return o.tenure.of(hashKey(req.GetService(), req.GetKey()))
}

// unseen reports whether a key that is not remembered was never granted by anybody.
func (o *Owner) unseen(now time.Time, key string, held epoch) bool {
	created, timed := keyTime(key)
	if timed && created.After(now.Add(o.limits.ClockSkew)) {
		return false
	}
	if timed && created.Before(now.Add(-o.limits.Window)) {
		return false
	}
	if held.first || now.Sub(held.since) > o.limits.memory() {
		return true
	}
	// An earlier owner granted no key from its future, and its clock was ahead of ours by ClockSkew at most.
	return timed && created.After(held.since.Add(2*o.limits.ClockSkew))
}

// claimKnown answers for a remembered key.
func (o *Owner) claimKnown(now time.Time, e *entry, req *pb.ClaimRequest, claimer *pb.Owner, held epoch) *pb.ClaimResponse {
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
		// Since the grant the key may have had another owner, which may have granted it too.
		if e.epoch < held.number {
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

// grant lets the attempt run.
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
	e.epoch = o.tenure.count
	e.changed = now
	return verdict(pb.ClaimVerdict_CLAIM_VERDICT_GRANTED)
}

// Finish ends an attempt. It is ignored for another attempt than the last one granted, and for one that has ended
// with a known outcome.
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

// end moves an entry to a state other than running.
func (o *Owner) end(now time.Time, e *entry, state entryState) {
	if e.element != nil {
		o.ended.Remove(e.element)
	}
	e.state = state
	e.changed = now
	e.element = o.ended.PushBack(e)
}

// Sweep forgets the keys that are too old to be repeated.
func (o *Owner) Sweep(now time.Time) {
	// A timed key may have come from ClockSkew ahead, and is taken for a repeat for that much longer.
	keep := o.limits.memory() + o.limits.ClockSkew
	o.tenure.forget(now.Add(-keep))
	for first := o.ended.Front(); first != nil; first = o.ended.Front() {
		e := first.Value.(*entry)
		if now.Sub(e.changed) <= keep {
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
