// Package waves selects the hosts that are maintained next, and stops a wave when too many of its hosts fail.
//
// Step reads the fleet and returns actions; Apply writes them into a draft of the fleet. Due spreads scheduled
// maintenance over the period. The package keeps no state between calls, so a new controller can continue a wave at any
// point. No function is safe for concurrent use on one Draft.
package waves
