// Package mover decides when a host moves between pools, from which pool, and when waiting is better.
//
// A Tracker turns samples of the pools' load into the input of Step: for how long a pool has been short of hosts, the
// cost of waiting so far, and the usual length of such bursts. Step is pure. If a Tracker is lost with its controller,
// its successor starts without history; Step then waits longer than necessary at first, but makes no wrong moves.
// Nothing in this package is safe for concurrent use.
package mover
