package callers

import "github.com/zeebo/errs"

// Error classes of requests. Their messages say what to do.
var (
	ErrStopping   = errs.Class("this entry host is stopping; send the request to another one")
	ErrNoConfig   = errs.Class("no configuration is in force; apply one with agateturnctl config apply")
	errBadRequest = errs.Class("the request cannot be served as it is")
)
