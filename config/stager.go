package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// maxAcceptedHistory is the number of accepted changes that a Stager keeps to recognise repeats.
const maxAcceptedHistory = 256

// maxStaged limits the number of changes that are staged at the same time. There is more than one only if proposers
// ended without an outcome.
const maxStaged = 64

// Stager is the state machine of a member for configuration changes.
//
// Guarantee: once a proposer has reported a configuration as accepted, each member has it in force within the bound, or
// Unsettled tells the member to become unready. It relies on three rules. A proposer reports acceptance only after
// every registered member has acknowledged the change. A member drops an acknowledged change only when its proposer
// abandons it or a generation at least as high is in force. While a change is staged, the member is settled only if,
// within the bound, the store or each proposer of the change has reported that the change is not in force there.
//
// Members are identified by identities that change with each start of a process, such as name/incarnation.
// A Stager is not safe for concurrent use. Callers must not modify the configurations that it returns.
type Stager struct {
	bound       time.Duration
	current     *pb.Configuration
	staged      map[string]*stagedChange // by change_id
	guest       bool
	lastVouched time.Time // last confirmation by the store or report of a registered, ready member; for guests
	accepted    []acceptedChange
}

// stagedChange is a configuration that may be accepted next.
type stagedChange struct {
	cfg *pb.Configuration
	// proposers are the proposers that may still have the change accepted.
	proposers map[string]*proposerView
	since     time.Time
}

// proposerView is the state of one proposer of a change, as known to the member.
type proposerView struct {
	settledAt time.Time // latest time at which the change was known not to be reported as accepted
	gone      bool      // the process has ended
	goneAt    time.Time // when this member learnt that the process has ended
}

type acceptedChange struct {
	id         string
	generation uint64
}

// NewStager returns a Stager without a configuration. An entry host that cannot settle a staged configuration for
// longer than inForceBound must become unready.
func NewStager(inForceBound time.Duration) *Stager {
	return &Stager{bound: inForceBound, staged: map[string]*stagedChange{}}
}

// Current returns the configuration in force, or nil before the first.
func (s *Stager) Current() *pb.Configuration { return s.current }

// Generation returns the generation of the configuration in force, or 0 before the first.
func (s *Stager) Generation() uint64 { return s.current.GetGeneration() }

// Staged returns the configuration that was staged last, or nil.
func (s *Stager) Staged() *pb.Configuration {
	if len(s.staged) == 0 {
		return nil
	}
	ids := lo.Keys(s.staged)
	slices.Sort(ids)
	newest := lo.MaxBy(ids, func(a, b string) bool { return s.staged[a].since.After(s.staged[b].since) })
	return s.staged[newest].cfg
}

// GenerationOf returns the generation as which a change came into force on this member. It need not be the latest.
func (s *Stager) GenerationOf(changeID string) (generation uint64, known bool) {
	change, known := lo.Find(s.accepted, func(a acceptedChange) bool { return a.id == changeID })
	return change.generation, known
}

// ChangeAt returns the change that came into force on this member as the given generation.
func (s *Stager) ChangeAt(generation uint64) (changeID string, known bool) {
	change, known := lo.Find(s.accepted, func(a acceptedChange) bool { return a.generation == generation })
	return change.id, known
}

// Stage stages cfg for its proposer, an identity or a ProposerID. It returns false and the reason if the generation is
// not the next one, or if another change has been staged for no longer than the bound. Staging the same change again is
// idempotent. A change that is already in force is acknowledged.
func (s *Stager) Stage(now time.Time, cfg *pb.Configuration, proposer string) (acknowledged bool, reason string) {
	id := cfg.GetChangeId()
	if id == "" {
		return false, "the configuration has no change_id; give it one that is never used again"
	}
	if s.Generation() == cfg.GetGeneration() && s.current.GetChangeId() == id {
		return true, ""
	}
	if next := s.Generation() + 1; cfg.GetGeneration() != next {
		return false, fmt.Sprintf("generation %d is proposed and %d is next; read the configuration again and apply the change to it",
			cfg.GetGeneration(), next)
	}
	change, known := s.staged[id]
	if !known {
		if reason := s.refusalReason(now); reason != "" {
			return false, reason
		}
		change = &stagedChange{cfg: proto.CloneOf(cfg), proposers: map[string]*proposerView{}, since: now}
		s.staged[id] = change
	}
	if !proto.Equal(change.cfg, cfg) {
		return false, "change_id " + id + " was used for another configuration; use a new one"
	}
	// A repeat does not update settledAt: the request may be delayed and proves nothing about the present.
	if _, repeated := change.proposers[proposer]; !repeated {
		change.proposers[proposer] = &proposerView{settledAt: now}
	}
	return true, ""
}

// refusalReason returns why no further change can be staged, or "" if one can.
func (s *Stager) refusalReason(now time.Time) string {
	if competitor := s.competingProposer(now); competitor != "" {
		return competitor + " is proposing another change; wait until it is in force, then apply the change to it"
	}
	if len(s.staged) >= maxStaged {
		return fmt.Sprintf("%d staged changes have an unknown outcome; make the store reachable, then repeat", len(s.staged))
	}
	return ""
}

// competingProposer returns a member that proposes a staged change that is no older than the bound, or "". An older
// change no longer blocks others, but stays staged, because it may still be accepted.
func (s *Stager) competingProposer(now time.Time) string {
	ids := lo.Filter(lo.Keys(s.staged), func(id string, _ int) bool {
		return now.Sub(s.staged[id].since) <= s.bound
	})
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	proposers := lo.Keys(s.staged[ids[0]].proposers)
	slices.Sort(proposers)
	return memberOf(proposers[0])
}

// Abandon drops the change that proposer staged as changeID: this proposer has not swapped it into the store and will
// not. The change stays staged while another proposer has staged it too.
func (s *Stager) Abandon(_ time.Time, changeID, proposer string) {
	change, known := s.staged[changeID]
	if !known {
		return
	}
	delete(change.proposers, proposer)
	if len(change.proposers) == 0 {
		delete(s.staged, changeID)
	}
}

// Accept puts cfg in force. cfg comes from the store or from a peer that has it in force. Accept returns false and
// changes nothing unless the generation is higher than the one in force.
func (s *Stager) Accept(_ time.Time, cfg *pb.Configuration) bool {
	if cfg.GetGeneration() <= s.Generation() {
		return false
	}
	s.current = proto.CloneOf(cfg)
	s.accepted = append(s.accepted, acceptedChange{id: cfg.GetChangeId(), generation: cfg.GetGeneration()})
	if surplus := len(s.accepted) - maxAcceptedHistory; surplus > 0 {
		s.accepted = slices.Delete(s.accepted, 0, surplus)
	}
	for id, change := range s.staged {
		if change.cfg.GetGeneration() <= cfg.GetGeneration() {
			delete(s.staged, id)
		}
	}
	return true
}

// Report is a report that a member has received from a peer.
type Report struct {
	Peer       string // identity
	Generation uint64 // in force there
	Ready      bool
	Registered bool // the peer's registration is in the store's fleet value
}

// PeerReported records the report of a peer. now must not be later than the time at which the peer made the report:
// pass the time at which this member started the exchange, so that a report that was delayed by a pause of the process
// proves nothing. Call PeerReported with this member's own report at each tick, because a member knows which changes it
// has not reported as accepted. A report of a higher generation settles nothing: fetch the configuration and call
// Accept.
func (s *Stager) PeerReported(now time.Time, report Report) {
	if report.Generation > s.Generation() {
		return
	}
	if report.Ready && report.Registered {
		s.lastVouched = laterOf(s.lastVouched, now)
	}
	for _, change := range s.staged {
		for proposer, view := range change.proposers {
			if memberOf(proposer) == report.Peer {
				view.settledAt = laterOf(view.settledAt, now)
			}
		}
	}
}

// Gone records proof that a member's process has ended. Its proposals end at the first Confirm of a read that started
// more than the bound later, when none of its writes can still be in progress.
func (s *Stager) Gone(now time.Time, member string) {
	for _, change := range s.staged {
		for proposer, view := range change.proposers {
			if memberOf(proposer) == member && !view.gone {
				view.gone, view.goneAt = true, now
			}
		}
	}
}

// Confirm records that the store had this generation at a time not before now: pass the time at which the read started.
// A higher generation settles nothing: call Accept. A lower generation settles nothing either, because the store has
// lost writes.
func (s *Stager) Confirm(now time.Time, generation uint64) {
	if generation != s.Generation() {
		return
	}
	s.lastVouched = laterOf(s.lastVouched, now)
	for id, change := range s.staged {
		for proposer, view := range change.proposers {
			view.settledAt = laterOf(view.settledAt, now)
			if view.gone && now.Sub(view.goneAt) > s.bound {
				s.Abandon(now, id, proposer)
			}
		}
	}
}

// JoinAsGuest records that this member could not register in the store and obtained the configuration from a ready,
// registered peer. Proposers do not know a guest, so it is settled only while a ready, registered member reports to it.
func (s *Stager) JoinAsGuest(now time.Time) {
	s.guest = true
	s.lastVouched = now
}

// Registered records that this member's registration is in the store, and that the configuration was read from the
// store afterwards and accepted. It ends the state that JoinAsGuest started.
func (s *Stager) Registered() { s.guest = false }

// Unsettled returns the longest time for which a staged change, or a guest's configuration, has not been settled. If
// that is longer than the bound, it returns true and this entry host must fail its readiness check.
func (s *Stager) Unsettled(now time.Time) (time.Duration, bool) {
	oldest := now
	for _, change := range s.staged {
		for _, view := range change.proposers {
			oldest = earlierOf(oldest, view.settledAt)
		}
	}
	if s.guest {
		oldest = earlierOf(oldest, s.lastVouched)
	}
	unsettled := now.Sub(oldest)
	return unsettled, unsettled > s.bound
}

// ProposerID identifies one attempt of a member to have a change accepted, so that a late Abandon of one attempt does
// not end the next one.
func ProposerID(member string, attempt uint64) string {
	return fmt.Sprintf("%s#%d", member, attempt)
}

// memberOf returns the member of a ProposerID. It returns a plain identity unchanged.
func memberOf(proposer string) string {
	member, _, _ := strings.Cut(proposer, "#")
	return member
}

func laterOf(a, b time.Time) time.Time { return lo.Ternary(a.After(b), a, b) }

func earlierOf(a, b time.Time) time.Time { return lo.Ternary(a.Before(b), a, b) }
