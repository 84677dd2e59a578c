package peers

import "github.com/zeebo/errs"

// Error classes of the package. Their messages name the remedy.
var (
	ErrNotMember   = errs.Class("this entry host is not a member; wait until it has registered with the store or joined through a peer")
	errUnreachable = errs.Class("peer not reachable")
	errGuestLimit  = errs.Class("this member has reached its limit of guests; join through another member")
	errLargeClaim  = errs.Class("the request cannot be served as it is")
)
