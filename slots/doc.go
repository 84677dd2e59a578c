// Package slots assigns the slots of hosts to entry hosts, so that all entry hosts, nine by design, together never
// exceed the limit of a worker, without a central dispatcher and without a message for each request.
//
// Each slot has one owner, determined by rendezvous hashing over the owners of the fleet. The owner uses its slots or
// lends idle ones to members with long queues. At any moment at most one incarnation of one member holds a slot.
//
// # Loans
//
// A loan has an ID that is never reused and is bound to one incarnation of the lender and one of the borrower. The
// lender lists the loan in each heartbeat until the borrower has returned it. The borrower lists it as borrowed while
// it holds it, and as borrowed and recalled ("returned") from the moment it returns it until the lender no longer lists
// it. Loans don't expire. The possible races are resolved as follows:
//
//   - A heartbeat with a new loan is lost or duplicated: the next heartbeat lists the loan again, and the borrower
//     recognises it by its ID.
//   - A borrower returns a loan before it has reported the loan to the lender: only an explicit return ends a loan,
//     so a heartbeat that was sent before the borrower knew of the loan can't be mistaken for a return.
//   - A delayed heartbeat lists a loan that was returned: heartbeats of an incarnation are applied only in the order of
//     their sequences, and the borrower remembers a returned loan until an applied heartbeat doesn't list it. After that
//     the lender never lists it again, so no later heartbeat can revive it.
//   - A return arrives late: a returned loan is never used again, so the return is valid whenever it arrives.
//   - The borrower is paused: it keeps its loans, however long the pause lasts.
//   - The borrower is replaced: its loans end when the fleet's members no longer list its incarnation, which happens
//     only once the process is proved gone. A heartbeat that was meant for the old incarnation and reaches the new one
//     carries loans with another tag, which are ignored.
//   - The borrower holds a loan that the lender doesn't know: an idle one is dropped; one in use is kept until the
//     request ends and is reported by slot.
//
// # Change of owners
//
// The fleet first announces the next owners and makes them the owners only after every member has applied that
// announcement, so no member lags by more than one owner set. Until a member applies the new owners it continues under
// the old ones, even if the store is down in between. The new owner of a slot may use it only when the last heartbeat
// of every member was sent under the new owners and doesn't list the slot as borrowed:
//
//   - A member that still runs a request on the slot, as its former owner or borrower, reports it as borrowed from the
//     new owner until the request ends.
//   - A member that holds it idle drops it when it applies the new owners.
//   - A member that has applied the new owners accepts a loan of the slot only from the new owner, and none that was
//     sent under older owners, so a delayed heartbeat of the old owner can't lend it again.
//   - A report that was sent under other owners than the current ones doesn't count, since it may name another owner for
//     the slot. Reports therefore carry a hash of the owners; the revision alone doesn't identify them, since it grows
//     with every move of a host.
//   - A member that the fleet no longer lists is proved gone and holds nothing.
//   - A restarted member counts as another owner: ownership of its slots changes as for any other owner.
//
// A slot of a host that becomes known later is treated as acquired with the current owners.
//
// # Requirements on the caller
//
// Heartbeat sequences grow in the order in which Outgoing was called. SetOwners and SetHosts get the same fleet before
// the heartbeat that reports its revision is built. A process that may be proved gone while it is paused sends nothing
// after a pause until it has checked its view of the fleet.
package slots
