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

// rememberedChanges is how many accepted changes a Stager can tell from a repeat.
const rememberedChanges = 256

// maxStaged bounds the changes held at once. More than one is held only when proposers ended without an end.
const maxStaged = 64

// Stager is a member's part in the acceptance of configurations.
//
// The promise: once a proposer has reported a configuration as accepted, each member has it in force within the
// bound, or Unsettled tells it to become unready. It rests on three rules. A proposer reports acceptance only after
// every registered member has acknowledged the change. A member forgets an acknowledged change only when its
// proposer abandons it or a generation at least as high is in force. And while a change is held, the member counts
// as settled only as long as it hears, within the bound, from the store or from each proposer of the change that it
// is not in force there.
//
// Members are named by identities that are new with each start of a process, such as name/incarnation.
// A Stager is not safe for concurrent use. Configurations handed out must not be changed.
type Stager struct {
	bound    time.Duration
	current  *pb.Configuration
	staged   map[string]*stagedChange // by change_id
	guest    bool
	vouched  time.Time // when a registered, ready member was last heard; for a guest
	accepted []acceptedChange
}

// stagedChange is a configuration that may be accepted next.
type stagedChange struct {
	cfg *pb.Configuration
	// proposers are those who may still have it accepted.
	proposers map[string]*proposerView
	since     time.Time
}

// proposerView is what is known of one proposer of a change.
type proposerView struct {
	settledAt time.Time // the change was not yet reported as accepted then
	gone      bool      // the process has ended
	goneAt    time.Time // when that was learnt
}

type acceptedChange struct {
	id         string
	generation uint64
}

// NewStager returns a Stager that has no configuration. An entry host that cannot settle a staged configuration for
// longer than inForceBound is to become unready.
func NewStager(inForceBound time.Duration) *Stager {
	return &Stager{bound: inForceBound, staged: map[string]*stagedChange{}}
}

// Current is the configuration in force; nil before the first.
func (s *Stager) Current() *pb.Configuration { return s.current }

// Generation is that of the configuration in force; 0 before the first.
func (s *Stager) Generation() uint64 { return s.current.GetGeneration() }

// Staged is the newest configuration that may be accepted next, or nil.
func (s *Stager) Staged() *pb.Configuration {
	if len(s.staged) == 0 {
		return nil
	}
	ids := lo.Keys(s.staged)
	slices.Sort(ids)
	newest := lo.MaxBy(ids, func(a, b string) bool { return s.staged[a].since.After(s.staged[b].since) })
	return s.staged[newest].cfg
}

// GenerationOf returns as which generation a change came into force here, be it the latest or not.
func (s *Stager) GenerationOf(changeID string) (generation uint64, known bool) {
	change, known := lo.Find(s.accepted, func(a acceptedChange) bool { return a.id == changeID })
	return change.generation, known
}

// ChangeAt returns which change came into force here as the given generation.
func (s *Stager) ChangeAt(generation uint64) (changeID string, known bool) {
	change, known := lo.Find(s.accepted, func(a acceptedChange) bool { return a.generation == generation })
	return change.id, known
}

// Stage holds cfg for its proposer, an identity or a ProposerID. It returns false with the reason for a generation
// that is not the next one, and while another proposer's change has been held for less than the bound. Holding the
// same change again is idempotent. A change that is already in force is acknowledged.
func (s *Stager) Stage(now time.Time, cfg *pb.Configuration, proposer string) (held bool, reason string) {
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
		if reason := s.refuseNew(now); reason != "" {
			return false, reason
		}
		change = &stagedChange{cfg: proto.CloneOf(cfg), proposers: map[string]*proposerView{}, since: now}
		s.staged[id] = change
	}
	if !proto.Equal(change.cfg, cfg) {
		return false, "change_id " + id + " was used for another configuration; use a new one"
	}
	// A repeat does not prolong the time: a request that comes late proves nothing about now.
	if _, repeated := change.proposers[proposer]; !repeated {
		change.proposers[proposer] = &proposerView{settledAt: now}
	}
	return true, ""
}

// refuseNew returns why no other change can be held, or "".
func (s *Stager) refuseNew(now time.Time) string {
	if rival := s.rival(now); rival != "" {
		return rival + " is having another change accepted; wait until it is in force, then apply the change to it"
	}
	if len(s.staged) >= maxStaged {
		return fmt.Sprintf("%d changes are held whose end is not known; make the store reachable, then repeat", len(s.staged))
	}
	return ""
}

// rival is a proposer of a change that is held and younger than the bound. An older change no longer keeps others
// out, but stays held: it may still be accepted.
func (s *Stager) rival(now time.Time) string {
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

// Abandon drops what proposer staged as changeID: it was not swapped into the store and will not be.
// The change stays held while another proposer has it staged too.
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

// Accept puts cfg in force, read from the store or from a peer that has it in force. It returns false and changes
// nothing unless the generation is higher than the one in force.
func (s *Stager) Accept(_ time.Time, cfg *pb.Configuration) bool {
	if cfg.GetGeneration() <= s.Generation() {
		return false
	}
	s.current = proto.CloneOf(cfg)
	s.accepted = append(s.accepted, acceptedChange{id: cfg.GetChangeId(), generation: cfg.GetGeneration()})
	if surplus := len(s.accepted) - rememberedChanges; surplus > 0 {
		s.accepted = slices.Delete(s.accepted, 0, surplus)
	}
	for id, change := range s.staged {
		if change.cfg.GetGeneration() <= cfg.GetGeneration() {
			delete(s.staged, id)
		}
	}
	return true
}

// Report is what a member has heard from a peer.
type Report struct {
	Peer       string // identity
	Generation uint64 // in force there
	Ready      bool
	Registered bool // the peer's registration is in the store's fleet value
}

// Heard takes in a peer's report at a time not before now: pass the time this member began the exchange that the
// report came in, so that one that waited while the process was paused proves nothing. Take in this member's own
// report with each tick: it knows what it has not reported itself. A report of a higher generation settles nothing: fetch the configuration and Accept it.
func (s *Stager) Heard(now time.Time, report Report) {
	if report.Generation > s.Generation() {
		return
	}
	if report.Ready && report.Registered {
		s.vouched = laterOf(s.vouched, now)
	}
	for _, change := range s.staged {
		for proposer, view := range change.proposers {
			if memberOf(proposer) == report.Peer {
				view.settledAt = laterOf(view.settledAt, now)
			}
		}
	}
}

// Gone takes in that a member's process is proved to have ended. What it proposed ends with the first Confirm of a
// read that began more than the bound later, when no write of it can be under way any more.
func (s *Stager) Gone(now time.Time, member string) {
	for _, change := range s.staged {
		for proposer, view := range change.proposers {
			if memberOf(proposer) == member && !view.gone {
				view.gone, view.goneAt = true, now
			}
		}
	}
}

// Confirm takes in that the store held this generation at a time not before now: pass the time the read began.
// A higher generation settles nothing: Accept it. A lower one is a store that went back, and settles nothing either.
func (s *Stager) Confirm(now time.Time, generation uint64) {
	if generation != s.Generation() {
		return
	}
	s.vouched = laterOf(s.vouched, now)
	for id, change := range s.staged {
		for proposer, view := range change.proposers {
			view.settledAt = laterOf(view.settledAt, now)
			if view.gone && now.Sub(view.goneAt) > s.bound {
				s.Abandon(now, id, proposer)
			}
		}
	}
}

// JoinAsGuest says that this member could not register in the store and learnt the configuration from a ready
// registered peer. Proposers do not know a guest, so it is settled only while a ready registered member is heard.
func (s *Stager) JoinAsGuest(now time.Time) {
	s.guest = true
	s.vouched = now
}

// Registered says that this member's registration is in the store, and that the configuration was read from the
// store afterwards and accepted. It ends what JoinAsGuest began.
func (s *Stager) Registered() { s.guest = false }

// Unsettled returns for how long a held change, or a guest's view, has not been settled, and whether that is longer
// than the bound: then this entry host is to fail its readiness check.
func (s *Stager) Unsettled(now time.Time) (time.Duration, bool) {
	oldest := now
	for _, change := range s.staged {
		for _, view := range change.proposers {
			oldest = earlierOf(oldest, view.settledAt)
		}
	}
	if s.guest {
		oldest = earlierOf(oldest, s.vouched)
	}
	unsettled := now.Sub(oldest)
	return unsettled, unsettled > s.bound
}

// ProposerID names one attempt of a member to have a change accepted, so that a late Abandon of one attempt does
// not end the next.
func ProposerID(member string, attempt uint64) string {
	return fmt.Sprintf("%s#%d", member, attempt)
}

// memberOf is the reverse of ProposerID; it returns a plain identity as it is.
func memberOf(proposer string) string {
	member, _, _ := strings.Cut(proposer, "#")
	return member
}

func laterOf(a, b time.Time) time.Time { return lo.Ternary(a.After(b), a, b) }

func earlierOf(a, b time.Time) time.Time { return lo.Ternary(a.Before(b), a, b) }
