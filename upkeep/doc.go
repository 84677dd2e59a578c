// Package upkeep decides what the owner of a fleet does with its hosts: which are emptied and ordered to their
// upkeep for which wave, and which change their pool.
//
// A Planner is fed with lists of hosts, the load of pools and the results of orders; Step says what to do now. It
// keeps one ledger with at most one intent for each host, so waves and moves never meet on one. An order without
// an answer may have been carried out: its host counts as down until the list of hosts or a repeated order tells.
//
// Everything is pure: no clock, no I/O, no goroutines. A Planner is not safe for concurrent use.
package upkeep
