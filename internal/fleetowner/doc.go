// Package fleetowner runs the decisions of package upkeep: it watches the waves, lists the hosts, asks the owners of
// pools for their load, and sends the orders. One Run is one term of ownership.
//
// Progress of a wave is in the store before its orders are sent, on the condition of the owner's fence, so the next
// owner knows every order that may still be carried out.
package fleetowner
