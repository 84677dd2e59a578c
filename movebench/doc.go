// Package movebench measures the policy of moves on generated demand, in virtual time.
//
// Each pool in turn is asked for about five times its mean for some seconds, more than it holds, and for a twentieth in
// between; the last third of each hour is quiet. Hosts drain and change pool through the fleet package, with nobody else to release them. The decisions are
// those of mover.Step and of two fixed policies. The same seed gives the same table.
package movebench
