package callers

import "github.com/zeebo/errs"

// Kinds of errors of requests. Their messages name the remedy.
var (
	ErrStopping  = errs.Class("this entry host is stopping; send the request to another one")
	ErrNoConfig  = errs.Class("no configuration is in force; apply one with agateturnctl config apply")
	errBadCaller = errs.Class("the request cannot be served as it is")
)
