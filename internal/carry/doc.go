// Package carry lets the owner of a large pool have its calls to workers made by other entry hosts, its carriers.
//
// The owner decides, a carrier only calls: Client implements poolowner.Workers and sends calls in batches to the carrier
// of their worker, Server makes them and keeps the results until the owner collects them. Package carriers decides which host
// carries which worker. A call that was handed to a carrier and not answered is like any call without an answer: its
// outcome is unknown until the worker's report or the end of its lease decides. Safety comes from the fencing token of the
// owner, which each call bears, and from the lease's end in each start, so a carrier that was paused does no harm.
package carry
