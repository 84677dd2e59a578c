// Package admission keeps the queues of one entry host: which request starts next, which waits, and which is told at
// once that it won't be run, and when to come back.
//
// In each pool urgent requests go first, but of urgentRun+1 starts in a row at least one goes to a normal request that
// waits. Within a class, teams share the slots by weight (start-time fair queueing: each start charges its team the
// learned run time, and the end of the run corrects the charge). A team at its quota waits without holding up others.
//
// A request is given up at the moment when it can no longer finish before its deadline by the run time learned for its
// service, or, if it is urgent, when it has not started within the service's urgent_start. Offer refuses at once what
// the queue ahead of it would bring to that point. Each refusal says when to come back, computed from the queue.
//
// Each offered request gets exactly one end: refused by Offer, rejected by Next or Expire, cancelled, or started and
// then done.
//
// A Queue reads no clock and is not safe for concurrent use.
package admission
