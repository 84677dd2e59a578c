package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// ActionKind is what the proposer's driver is to do.
type ActionKind int

// The actions of a Proposal.
const (
	// StageOn asks Member to hold the change; answer with Acked, Denied or Unreachable.
	StageOn ActionKind = iota + 1
	// Swap writes the change by compare-and-swap over the version its base was read at; answer with Swapped.
	// The version stays the same in every Swap of one Proposal.
	Swap
	// ReadBack reads the stored configuration; answer with Read or ReadFailed.
	ReadBack
	// ListMembers reads the registered members from the store; answer with Listed or ListFailed.
	ListMembers
	// Accept puts the change in force on the proposer itself, and lets peers know.
	Accept
	// Abandon asks Member to drop the change. It needs no answer; a member that misses it loses only time.
	Abandon
	// Done ends the Proposal; Outcome says how.
	Done
)

// Action is one thing to do. Driver errors are reported to the Proposal, which then asks again until its deadline;
// the driver waits a while before it carries out an action that has just failed.
type Action struct {
	Kind    ActionKind
	Member  string  // for StageOn and Abandon
	Outcome Outcome // for Done
}

// OutcomeKind is how a proposal ended.
type OutcomeKind int

// The ends of a proposal.
const (
	// Accepted: the store holds the change and every registered member has acknowledged it.
	Accepted OutcomeKind = iota + 1
	// Conflict: another change came first; this proposal wrote nothing and will not. The change is not in force,
	// unless an earlier proposal of it whose end was Unknown still brings it there.
	Conflict
	// Refused: not every member could hold the change, or the store was not reached. As with Conflict, this proposal
	// wrote nothing and will not.
	Refused
	// Unknown: the change may be or come in force. The same change_id may be proposed again and is no second change.
	Unknown
)

// Outcome is the answer to the operator.
type Outcome struct {
	Kind   OutcomeKind
	Reason string // names the remedy; empty when accepted
	// Members are those that did not acknowledge in time, sorted.
	Members []string
}

// SwapResult is what the driver learnt from a compare-and-swap.
type SwapResult int

// The results of a Swap.
const (
	SwapOK SwapResult = iota + 1
	// SwapConflict: the store certainly did not take this write; an earlier one of the Proposal may have been taken.
	SwapConflict
	// SwapUnavailable: the store certainly did not take this write.
	SwapUnavailable
	// SwapUnknown: the answer was lost.
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

// Proposal is the proposer's side of having one change accepted: every member holds the change before it is swapped
// into the store, and every member registered by then has acknowledged it before it is reported as accepted.
//
// Each input returns the actions that follow from it. A Proposal is not safe for concurrent use.
type Proposal struct {
	cfg      *pb.Configuration
	deadline time.Time
	phase    proposalPhase
	members  []string
	acked    map[string]bool
	asked    map[string]bool // every member that may hold the change
	// written is set when a Swap may have taken effect: from then on the change is never abandoned unless the
	// store shows that another one came first.
	written bool
	denial  string // why a member does not hold the change
	history func(generation uint64) (changeID string, known bool)
}

// NewProposal proposes cfg, whose generation is one above that of its base, to members: the identities of the
// registered members and of the proposer itself. It ends soon after the deadline, which Tick watches. history is the
// proposer's Stager.ChangeAt.
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

// Start asks the first member to hold the change, and the others follow when it does: so one of two proposers that
// start at once is refused before it holds up the other.
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

// SetMembers takes in that the registered members changed while the change is being staged. A member that is no
// longer registered need not acknowledge.
func (p *Proposal) SetMembers(now time.Time, members []string) []Action {
	if p.phase != staging {
		return nil
	}
	p.members = sortedCopy(members)
	return p.proceed(now)
}

// Acked takes in that member holds the change or has it in force.
func (p *Proposal) Acked(now time.Time, member string) []Action {
	p.acked[member] = true
	return p.proceed(now)
}

// proceed asks those not asked yet, and moves on once no acknowledgement is missing.
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
	// A proposer that was paused past its deadline writes nothing.
	if now.After(p.deadline) && !p.written {
		return p.expire()
	}
	p.phase = swapping
	return []Action{{Kind: Swap}}
}

// Denied takes in that member does not hold the change, why, and which generation is in force there. What the store
// holds then decides: an earlier proposal of the same change may have been accepted.
func (p *Proposal) Denied(now time.Time, member, reason string, generation uint64) []Action {
	if p.phase == confirming && generation >= p.cfg.GetGeneration() {
		// The member went on to a later generation, which was made from this one.
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

// Unreachable takes in that member did not answer.
func (p *Proposal) Unreachable(now time.Time, member string) []Action {
	if p.phase != staging && p.phase != confirming || !slices.Contains(p.missing(), member) {
		return nil
	}
	if now.After(p.deadline) {
		return p.expire()
	}
	return []Action{p.stageOn(member)}
}

// Swapped takes in the result of a Swap.
func (p *Proposal) Swapped(now time.Time, result SwapResult) []Action {
	if p.phase != swapping {
		return nil
	}
	switch result {
	case SwapOK:
		return p.inForce()
	case SwapConflict:
		return p.readBack()
	case SwapUnavailable:
		return p.retry(now, p.swap)
	default:
		p.written = true
		return p.retry(now, func(time.Time) []Action { return p.readBack() })
	}
}

func (p *Proposal) retry(now time.Time, again func(time.Time) []Action) []Action {
	if now.After(p.deadline) {
		return p.expire()
	}
	return again(now)
}

func (p *Proposal) readBack() []Action {
	p.phase = readingBack
	return []Action{{Kind: ReadBack}}
}

// Read takes in the stored configuration; nil for none.
func (p *Proposal) Read(now time.Time, stored *pb.Configuration) []Action {
	if p.phase != readingBack {
		return nil
	}
	mine := stored.GetChangeId() == p.cfg.GetChangeId()
	switch {
	case stored.GetGeneration() == p.cfg.GetGeneration() && mine:
		return p.inForce()
	case stored.GetGeneration() == p.cfg.GetGeneration():
		return p.giveUp(Outcome{Kind: Conflict, Reason: conflictReason(stored)})
	case stored.GetGeneration() > p.cfg.GetGeneration():
		return p.overtaken(stored)
	case p.denial != "":
		return p.giveUp(Outcome{Kind: Conflict, Reason: p.denial})
	case len(p.missing()) > 0:
		// A member said that the store went on, and the store does not show it: nothing is decided yet.
		p.phase = staging
		return p.retry(now, func(time.Time) []Action { return p.stageOnMissing() })
	default:
		return p.retry(now, p.swapAgain)
	}
}

// overtaken ends a proposal whose generation is not the store's latest any more.
func (p *Proposal) overtaken(stored *pb.Configuration) []Action {
	id, known := p.history(p.cfg.GetGeneration())
	switch {
	case known && id == p.cfg.GetChangeId():
		return p.inForce()
	case known:
		return p.giveUp(Outcome{Kind: Conflict, Reason: conflictReason(stored)})
	}
	return p.end(Outcome{Kind: Unknown, Reason: fmt.Sprintf(
		"the store went on to generation %d; compare it with the change and apply what is missing", stored.GetGeneration())})
}

// swapAgain is safe after a lost answer: both writes are for the same version, so at most one takes effect.
func (p *Proposal) swapAgain(time.Time) []Action {
	p.phase = swapping
	return []Action{{Kind: Swap}}
}

func conflictReason(stored *pb.Configuration) string {
	return fmt.Sprintf("another change is in force as generation %d; read the configuration again and apply the change to it",
		stored.GetGeneration())
}

// ReadFailed takes in that the store could not be read.
func (p *Proposal) ReadFailed(now time.Time) []Action {
	if p.phase != readingBack {
		return nil
	}
	return p.retry(now, func(time.Time) []Action { return p.readBack() })
}

// inForce begins the second round: a member that registered or restarted since the first one may not hold the change.
func (p *Proposal) inForce() []Action {
	p.written = true
	p.phase = listing
	return []Action{{Kind: Accept}, {Kind: ListMembers}}
}

// Listed takes in the members registered after the Swap.
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

// ListFailed takes in that the registered members could not be read.
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
		p.written = true // the write under way may take effect
	}
	return p.expire()
}

func (p *Proposal) expire() []Action {
	missing := p.missing()
	if p.written {
		return p.end(Outcome{Kind: Unknown, Members: missing, Reason: "the change may be in force or come in force; " +
			"repeat it with the same change_id to learn its end" + waitingFor(missing)})
	}
	return p.giveUp(Outcome{
		Kind: Refused, Members: missing,
		Reason: "nothing was written" + waitingFor(missing) + "; make the store and every entry host reachable, then repeat",
	})
}

func waitingFor(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return "; no acknowledgement from " + strings.Join(members, ", ")
}

// giveUp ends the Proposal and frees the members. It is called only when the change can never take effect.
func (p *Proposal) giveUp(outcome Outcome) []Action {
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
