// Package movebench compares policies for moving hosts between pools, on generated demand and in virtual time.
//
// Each pool in turn receives about five times its mean demand for some seconds, which exceeds its capacity, and a
// twentieth of it in between; the last third of each hour is quiet. Hosts drain and change pool through the fleet
// package; no entry host takes part in releasing them. The decisions are those of mover.Step and of two fixed policies.
// The same seed gives the same table.
package movebench
