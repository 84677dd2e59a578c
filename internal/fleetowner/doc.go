// Package fleetowner executes the decisions of package upkeep: it watches the waves, lists the hosts, requests the load
// from the owners of pools, and sends the orders. One Run is one term of ownership.
//
// The progress of a wave is written to the store before its orders are sent, on condition of the owner's fencing token.
// The next owner therefore knows every order that may still be carried out.
package fleetowner
