// Package slots decides who may use which slot of which host, so that nine entry hosts together never exceed the limit
// of a worker, without a central dispatcher and without a message for each request.
//
// Each slot has one owner, by rendezvous hashing over the owners of the fleet. The owner uses its slots or lends idle
// ones to members whose queues are long. At any moment at most one incarnation of one member holds a slot.
//
// # Loans
//
// A loan has an identity that is never used twice, bound to one incarnation of the lender and one of the borrower. The
// lender lists it in each heartbeat until the borrower has returned it. The borrower lists it as borrowed while it
// holds it, and as borrowed and recalled ("returned") from the moment it gives it up until the lender lists it no
// longer. No loan expires by time. The races, and what settles each:
//
//   - A heartbeat with a new loan is lost, or doubled: the next lists it again; the borrower knows it by its identity.
//   - A borrower returns a loan before the lender has heard that it ever held it: only an explicit return ends a loan,
//     so a heartbeat that was sent before the borrower knew of the loan can't be taken for one.
//   - A late heartbeat lists a loan that was returned: heartbeats of an incarnation are applied in the order of their
//     sequences only, and the borrower remembers a returned loan until an applied heartbeat doesn't list it. The lender
//     never lists it again after that, so no later heartbeat can revive it.
//   - A late return arrives: a returned loan is never used again, so it is true whenever it arrives.
//   - The borrower is frozen: it keeps its loans, for as long as it takes.
//   - The borrower is replaced: its loans end when the fleet's members no longer list its incarnation, which happens
//     only once the process is proved gone. A heartbeat that was meant for the old incarnation and reaches the new one
//     carries loans with another tag, which are ignored.
//   - The borrower thinks that it holds a loan that the lender doesn't know: an idle one is dropped; one in use runs to
//     its end and is reported by slot.
//
// # Change of owners
//
// The fleet names the next owners first, and makes them the owners only after every member has applied that: so no member
// lags by more than one set. Until a member applies the new owners it goes on under the old ones, also while the store is
// down in between. The new owner of a slot may use it only when the last heartbeat of every member was sent under the
// new owners and doesn't list the slot as borrowed:
//
//   - A member that still runs a request on the slot, as its former owner or borrower, reports it as borrowed from the
//     new owner until the request ends.
//   - A member that holds it idle drops it when it applies the new owners.
//   - A member that has applied the new owners accepts no loan of the slot from anybody but the new owner, and none
//     that was sent under older owners, so a delayed heartbeat of the old owner can't hand it out again.
//   - A report that was sent under other owners than the present ones doesn't count, since it may name another owner for
//     the slot. Reports carry a hash of the owners for that; the revision alone grows with every move of a host.
//   - A member that the fleet no longer lists is proved gone and holds nothing.
//   - A restarted member is another owner: its slots change hands like those of any other.
//
// A slot of a host that becomes known later is treated as acquired with the present owners.
//
// # Duties of the embedder
//
// Heartbeat sequences grow in the order in which Outgoing was called. SetOwners and SetHosts get the same fleet before
// the heartbeat that reports its revision is built. A process that may be proved gone while it is paused sends nothing
// after a pause until it has checked its view.
package slots
