// Package admission implements admission control and queueing for one entry host: it decides which request starts next,
// which one waits, and which one is rejected and after what delay the caller should retry.
//
// In each pool urgent requests go first, but of maxUrgentStreak+1 consecutive starts at least one goes to a waiting
// normal request. Within a class, teams share the slots by weight (start-time fair queueing: each start charges its
// team the learned run time, and the end of the run corrects the charge). A team at its quota waits without blocking
// others.
//
// A queued request is rejected as soon as it can no longer finish before its deadline, given the run time learned for
// its service, or, if it is urgent, when it has not started within the service's urgent_start. Offer rejects a request
// immediately if the estimated wait already rules out that it meets these limits. A rejection carries a retry delay,
// unless a retry doesn't help.
//
// Each offered request has exactly one outcome: rejected by Offer, rejected by Next or Expire, cancelled, or started
// and then done.
//
// A Queue reads no clock and is not safe for concurrent use.
package admission
