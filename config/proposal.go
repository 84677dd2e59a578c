package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// ActionKind is the type of an Action.
type ActionKind int

// Kinds of actions. The driver executes an action and reports its result to the Proposal.
const (
	// StageOn asks Member to stage the change. Report Acked, Denied or Unreachable.
	StageOn ActionKind = iota + 1
	// Swap writes the change by compare-and-swap over the version at which its base was read. Report Swapped.
	// All Swaps of one Proposal use the same version.
	Swap
	// ReadBack reads the stored configuration. Report Read or ReadFailed.
	ReadBack
	// ListMembers reads the registered members from the store. Report Listed or ListFailed.
	ListMembers
	// Accept puts the change in force on the proposer itself and notifies peers.
	Accept
	// Abandon asks Member to drop the change. It needs no report; a member that misses it is only delayed.
	Abandon
	// Done ends the Proposal with Outcome.
	Done
)

// Action is a request to the driver. The driver reports errors to the Proposal, which retries until its deadline. The
// driver waits before it retries an action that has just failed.
type Action struct {
	Kind    ActionKind
	Member  string  // for StageOn and Abandon
	Outcome Outcome // for Done
}

// OutcomeKind is the type of an Outcome.
type OutcomeKind int

// Kinds of outcomes.
const (
	// Accepted: the store holds the change and every registered member has acknowledged it.
	Accepted OutcomeKind = iota + 1
	// Conflict: another change was first; this proposal wrote nothing and will write nothing. The change is not in
	// force, unless an earlier proposal of the same change with the outcome Unknown still takes effect.
	Conflict
	// Refused: not every member could stage the change, or the store was unreachable. As with Conflict, this proposal
	// wrote nothing and will write nothing.
	Refused
	// Unknown: the change may be in force or may still take effect. Proposing the same change_id again is idempotent.
	Unknown
)

// Outcome is the result that is reported to the operator.
type Outcome struct {
	Kind   OutcomeKind
	Reason string // names the remedy; empty when accepted
	// Members are the members that did not acknowledge in time, sorted.
	Members []string
}

// SwapResult is the result of a compare-and-swap as far as the driver knows it.
type SwapResult int

// Results of a Swap.
const (
	SwapOK SwapResult = iota + 1
	// SwapConflict: the store did not apply this write. It may have applied an earlier write of the Proposal.
	SwapConflict
	// SwapUnavailable: the store did not apply this write.
	SwapUnavailable
	// SwapUnknown: the response was lost, and the store may have applied this write.
	SwapUnknown
)

type proposalPhase int

const (
	staging proposalPhase = iota
	swapping
	readingBack
	listing
	confirming
	ended
)

// Proposal is the state machine of a proposer for one change. Every member stages the change before it is swapped into
// the store. Every member that is registered after the swap acknowledges the change before it is reported as accepted.
//
// Each input method returns the resulting actions. A Proposal is not safe for concurrent use.
type Proposal struct {
	cfg      *pb.Configuration
	deadline time.Time
	phase    proposalPhase
	members  []string
	acked    map[string]bool
	asked    map[string]bool // every member that may have staged the change
	// maybeWritten is set when a Swap may have taken effect. From then on the change is not abandoned, unless the store
	// shows that another change was first.
	maybeWritten bool
	denial       string // why a member did not stage the change
	history      func(generation uint64) (changeID string, known bool)
}

// NewProposal proposes cfg to members. The generation of cfg is one above that of its base. members are the identities
// of the registered members and of the proposer itself. The Proposal ends at the first Tick after the deadline. history
// is the proposer's Stager.ChangeAt.
func NewProposal(cfg *pb.Configuration, members []string, deadline time.Time,
	history func(generation uint64) (changeID string, known bool),
) *Proposal {
	p := &Proposal{cfg: cfg, deadline: deadline, history: history, acked: map[string]bool{}, asked: map[string]bool{}}
	p.members = sortedCopy(members)
	return p
}

func sortedCopy(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// Start asks the first member to stage the change. The others are asked once it has acknowledged: if two proposers
// start at the same time, one is refused before it blocks the other.
func (p *Proposal) Start(_ time.Time) []Action {
	if len(p.members) == 0 {
		return p.end(Outcome{Kind: Refused, Reason: "no member is registered; wait until the entry hosts have joined"})
	}
	return []Action{p.stageOn(p.members[0])}
}

func (p *Proposal) missing() []string {
	return lo.Reject(p.members, func(m string, _ int) bool { return p.acked[m] })
}

func (p *Proposal) stageOnMissing() []Action {
	return lo.Map(p.missing(), func(m string, _ int) Action { return p.stageOn(m) })
}

func (p *Proposal) stageOn(member string) Action {
	p.asked[member] = true
	return Action{Kind: StageOn, Member: member}
}

// SetMembers updates the registered members while the change is being staged. A member that is no longer registered
// need not acknowledge.
func (p *Proposal) SetMembers(now time.Time, members []string) []Action {
	if p.phase != staging {
		return nil
	}
	p.members = sortedCopy(members)
	return p.proceed(now)
}

// Acked reports that member has staged the change or has it in force.
func (p *Proposal) Acked(now time.Time, member string) []Action {
	p.acked[member] = true
	return p.proceed(now)
}

// proceed asks the members that have not been asked yet. Once no acknowledgement is missing, it enters the next phase.
func (p *Proposal) proceed(now time.Time) []Action {
	if missing := p.missing(); len(missing) > 0 && p.phase == staging {
		unasked := lo.Reject(missing, func(m string, _ int) bool { return p.asked[m] })
		return lo.Map(unasked, func(m string, _ int) Action { return p.stageOn(m) })
	}
	if len(p.missing()) > 0 {
		return nil
	}
	switch p.phase {
	case staging:
		return p.swap(now)
	case confirming:
		return p.end(Outcome{Kind: Accepted})
	default:
		return nil
	}
}

func (p *Proposal) swap(now time.Time) []Action {
	// A proposer that was paused beyond its deadline must not write.
	if now.After(p.deadline) && !p.maybeWritten {
		return p.expire()
	}
	p.phase = swapping
	return []Action{{Kind: Swap}}
}

// Denied reports that member did not stage the change, the reason, and the generation in force on the member. The
// Proposal then reads the store, because an earlier proposal of the same change may have been accepted.
func (p *Proposal) Denied(now time.Time, member, reason string, generation uint64) []Action {
	if p.phase == confirming && generation >= p.cfg.GetGeneration() {
		// The member has a later generation in force, which is based on this one.
		p.acked[member] = true
		return p.proceed(now)
	}
	if p.phase != staging {
		return nil
	}
	if generation < p.cfg.GetGeneration() {
		p.denial = member + ": " + reason
	}
	return p.readBack()
}

// Unreachable reports that member did not respond.
func (p *Proposal) Unreachable(now time.Time, member string) []Action {
	if p.phase != staging && p.phase != confirming || !slices.Contains(p.missing(), member) {
		return nil
	}
	if now.After(p.deadline) {
		return p.expire()
	}
	return []Action{p.stageOn(member)}
}

// Swapped reports the result of a Swap.
func (p *Proposal) Swapped(now time.Time, result SwapResult) []Action {
	if p.phase != swapping {
		return nil
	}
	switch result {
	case SwapOK:
		return p.beginConfirmation()
	case SwapConflict:
		return p.readBack()
	case SwapUnavailable:
		return p.retry(now, p.swap)
	default:
		p.maybeWritten = true
		return p.retry(now, func(time.Time) []Action { return p.readBack() })
	}
}

func (p *Proposal) retry(now time.Time, action func(time.Time) []Action) []Action {
	if now.After(p.deadline) {
		return p.expire()
	}
	return action(now)
}

func (p *Proposal) readBack() []Action {
	p.phase = readingBack
	return []Action{{Kind: ReadBack}}
}

// Read reports the stored configuration, or nil if there is none.
func (p *Proposal) Read(now time.Time, stored *pb.Configuration) []Action {
	if p.phase != readingBack {
		return nil
	}
	sameChange := stored.GetChangeId() == p.cfg.GetChangeId()
	switch {
	case stored.GetGeneration() == p.cfg.GetGeneration() && sameChange:
		return p.beginConfirmation()
	case stored.GetGeneration() == p.cfg.GetGeneration():
		return p.abort(Outcome{Kind: Conflict, Reason: conflictReason(stored)})
	case stored.GetGeneration() > p.cfg.GetGeneration():
		return p.superseded(stored)
	case p.denial != "":
		return p.abort(Outcome{Kind: Conflict, Reason: p.denial})
	case len(p.missing()) > 0:
		// A member reported a later generation that the store does not have yet, so the outcome is still open.
		p.phase = staging
		return p.retry(now, func(time.Time) []Action { return p.stageOnMissing() })
	default:
		return p.retry(now, p.swapAgain)
	}
}

// superseded decides on a proposal after the store has reached a later generation.
func (p *Proposal) superseded(stored *pb.Configuration) []Action {
	id, known := p.history(p.cfg.GetGeneration())
	switch {
	case known && id == p.cfg.GetChangeId():
		return p.beginConfirmation()
	case known:
		return p.abort(Outcome{Kind: Conflict, Reason: conflictReason(stored)})
	}
	return p.end(Outcome{Kind: Unknown, Reason: fmt.Sprintf(
		"the store went on to generation %d; compare it with the change and apply what is missing", stored.GetGeneration())})
}

// swapAgain is safe after a lost response: both writes use the same version, so at most one of them takes effect.
func (p *Proposal) swapAgain(time.Time) []Action {
	p.phase = swapping
	return []Action{{Kind: Swap}}
}

func conflictReason(stored *pb.Configuration) string {
	return fmt.Sprintf("another change is in force as generation %d; read the configuration again and apply the change to it",
		stored.GetGeneration())
}

// ReadFailed reports that the stored configuration could not be read.
func (p *Proposal) ReadFailed(now time.Time) []Action {
	if p.phase != readingBack {
		return nil
	}
	return p.retry(now, func(time.Time) []Action { return p.readBack() })
}

// beginConfirmation starts the second round of acknowledgements, because a member that has registered or restarted
// since the first round may not have staged the change.
func (p *Proposal) beginConfirmation() []Action {
	p.maybeWritten = true
	p.phase = listing
	return []Action{{Kind: Accept}, {Kind: ListMembers}}
}

// Listed reports the members registered after the Swap.
func (p *Proposal) Listed(now time.Time, members []string) []Action {
	if p.phase != listing {
		return nil
	}
	p.phase = confirming
	p.members = sortedCopy(members)
	if len(p.missing()) == 0 {
		return p.proceed(now)
	}
	return p.stageOnMissing()
}

// ListFailed reports that the registered members could not be read.
func (p *Proposal) ListFailed(now time.Time) []Action {
	if p.phase != listing {
		return nil
	}
	return p.retry(now, func(time.Time) []Action { return []Action{{Kind: ListMembers}} })
}

// Tick ends the Proposal when its deadline has passed.
func (p *Proposal) Tick(now time.Time) []Action {
	if p.phase == ended || !now.After(p.deadline) {
		return nil
	}
	if p.phase == swapping {
		p.maybeWritten = true // the write in progress may take effect
	}
	return p.expire()
}

func (p *Proposal) expire() []Action {
	missing := p.missing()
	if p.maybeWritten {
		return p.end(Outcome{Kind: Unknown, Members: missing, Reason: "the change may be in force or may still take effect; " +
			"repeat it with the same change_id to learn its outcome" + missingAcknowledgements(missing)})
	}
	return p.abort(Outcome{
		Kind: Refused, Members: missing,
		Reason: "nothing was written" + missingAcknowledgements(missing) + "; make the store and every entry host reachable, then repeat",
	})
}

func missingAcknowledgements(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return "; no acknowledgement from " + strings.Join(members, ", ")
}

// abort ends the Proposal and abandons the change on all members that may have staged it. It must be called only if the
// change can never take effect.
func (p *Proposal) abort(outcome Outcome) []Action {
	asked := lo.Keys(p.asked)
	slices.Sort(asked)
	actions := lo.Map(asked, func(m string, _ int) Action { return Action{Kind: Abandon, Member: m} })
	return append(actions, p.end(outcome)...)
}

func (p *Proposal) end(outcome Outcome) []Action {
	if p.phase == ended {
		return nil
	}
	p.phase = ended
	return []Action{{Kind: Done, Outcome: outcome}}
}
