// Package mover decides when a host moves between pools, from where, and when waiting is better.
//
// A Tracker turns samples of the pools' load into what Step needs: for how long a pool has been short of hosts, what the
// waiting has cost, and how long such bursts usually last. Step is pure. A Tracker that is lost with its controller
// learns anew; until then Step waits longer than it must, and moves nothing that it should not. Nothing here is safe for
// concurrent use.
package mover
