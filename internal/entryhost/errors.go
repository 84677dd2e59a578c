package entryhost

import "github.com/zeebo/errs"

// Error classes of the daemon. Their messages say what to do.
var (
	errUnsettled = errs.Class("a staged configuration is not settled and neither its proposer nor the store answers; restore the network")
	errListen    = errs.Class("cannot listen; free the address or change it in [entry_host]")
	errNoSlots   = errs.Class("this entry host has no share of the slots yet; wait until the members have settled")
	errStopHangs = errs.Class("goroutines still run after a planned stop; report the stacks in the log")
)
