// Package upkeep decides what the owner of a fleet does with its hosts: which are evacuated and ordered to their upkeep
// (maintenance) for which wave, and which move to another pool.
//
// A Planner is fed with lists of hosts, the load of pools and the results of orders; Step returns the actions to take
// now. The Planner keeps at most one intent for each host, so waves and moves never conflict over a host. An unanswered
// order may have been carried out: its host counts as down until the list of hosts or a repeated order shows its state.
//
// The package is pure: no clock, no I/O, no goroutines. A Planner is not safe for concurrent use.
package upkeep
