// Package controller composes the decisions on the fleet: members, hosts, waves, moves and owner sets.
//
// Step takes the fleet as the store holds it and what was heard, and returns the next fleet for one compare-and-swap,
// and the platform's actions that the stored fleet allows. It keeps nothing between calls: a controller that takes over
// needs only the fleet and what it hears itself. Nothing here is safe for concurrent use on shared inputs that change.
package controller
