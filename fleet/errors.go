package fleet

import "github.com/zeebo/errs"

// Classes of errors. Each message names the remedy.
var (
	// UnknownHost means that the fleet has no such host.
	UnknownHost = errs.Class("unknown host")
	// AlreadyBusy means that another order holds the host.
	AlreadyBusy = errs.Class("host is busy")
	// SamePool means that the host is in the target pool already.
	SamePool = errs.Class("same pool")
	// BudgetExceeded means that too few hosts would stay in service.
	BudgetExceeded = errs.Class("availability budget")
	// NotReleased means that a member still holds the host.
	NotReleased = errs.Class("host is still held")
	// WrongPhase means that the host is not in the phase that the change needs.
	WrongPhase = errs.Class("wrong phase")
	// UnknownMember means that the fleet has no such member.
	UnknownMember = errs.Class("unknown member")
	// InvalidMember means that a member does not say who it is.
	InvalidMember = errs.Class("invalid member")
	// NoProof means that a member is not proved gone, or not for long enough.
	NoProof = errs.Class("member may be alive")
	// StaleTerm means that another controller has taken over.
	StaleTerm = errs.Class("stale term")
	// NotActive means that the applied view forbids work on the host.
	NotActive = errs.Class("host takes no work")
)
