package entryhost

import "github.com/zeebo/errs"

// Error kinds of the daemon. Their messages name the remedy.
var (
	errNoHost      = errs.Class("no host can take the request now; send it again after the Retry-After time")
	errCorrupt     = errs.Class("the store holds a value that is not ours; restore it or point [store] prefix elsewhere")
	errNotMember   = errs.Class("this entry host is not a member; wait until it has registered with the store or joined through a peer")
	errRemoved     = errs.Class("this process was removed from the fleet while it was paused; start it again")
	errNoConfig    = errs.Class("no configuration is in force; apply one with agateturnctl config apply")
	errUnsettled   = errs.Class("a staged configuration is not settled and neither its proposer nor the store answers; restore the network")
	errStopping    = errs.Class("this entry host is stopping; send the request to another one")
	errBadCaller   = errs.Class("the request cannot be served as it is")
	errUnreachable = errs.Class("peer not reachable")
	errListen      = errs.Class("cannot listen; free the address or change it in [entry_host]")
	errNoSlots     = errs.Class("this entry host has no share of the slots yet; wait until the members have settled")
	errBodiesFull  = errs.Class("the entry host is busy; send the request again after the Retry-After time")
	errManyGuests  = errs.Class("this member vouches for its limit of guests; join through another")
	errKeyMoving   = errs.Class("the idempotency key is changing its owner; nothing ran; send it again in a moment")
)
