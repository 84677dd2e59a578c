package peers

import "github.com/zeebo/errs"

// Kinds of errors of peers. Their messages name the remedy.
var (
	ErrNotMember   = errs.Class("this entry host is not a member; wait until it has registered with the store or joined through a peer")
	errUnreachable = errs.Class("peer not reachable")
	errManyGuests  = errs.Class("this member vouches for its limit of guests; join through another")
	errLargeClaim  = errs.Class("the request cannot be served as it is")
)
