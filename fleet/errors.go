package fleet

import "github.com/zeebo/errs"

// Error classes. Each message names the remedy.
var (
	// UnknownHost means that the fleet has no such host.
	UnknownHost = errs.Class("unknown host")
	// AlreadyBusy means that the host is in use by another order, leaving, or in maintenance.
	AlreadyBusy = errs.Class("host is busy")
	// SamePool means that the host is already in the target pool, or that the order names no pool.
	SamePool = errs.Class("same pool")
	// BudgetExceeded means that too few hosts would stay in service.
	BudgetExceeded = errs.Class("availability budget")
	// NotReleased means that a member or guest has not released the host.
	NotReleased = errs.Class("host is still held")
	// WrongPhase means that the host is not in the phase that the change needs.
	WrongPhase = errs.Class("wrong phase")
	// UnknownMember means that the fleet has no such member.
	UnknownMember = errs.Class("unknown member")
	// InvalidMember means that a member has no name or no incarnation.
	InvalidMember = errs.Class("invalid member")
	// NoProof means that there is no proof that this incarnation of a member is gone, or that the proof is too recent.
	NoProof = errs.Class("member may be alive")
	// StaleTerm means that another controller has taken over.
	StaleTerm = errs.Class("stale term")
	// NotActive means that the host takes no work for the pool in the applied fleet.
	NotActive = errs.Class("host takes no work")
)
