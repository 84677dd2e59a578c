// Package controller combines the decisions on the fleet: members, hosts, waves, moves and owner sets.
//
// Step takes the stored fleet and the received heartbeats. It returns the next fleet for one compare-and-swap, and the
// platform actions that the stored fleet allows. The package keeps no state between calls: a new controller needs only
// the stored fleet and the heartbeats that it receives itself. Callers must not modify inputs while Step reads them.
package controller
