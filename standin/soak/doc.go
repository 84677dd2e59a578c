// Package soak runs the real programs as processes on loopback and injects faults from outside: by signals, by a proxy on
// the links between them and by the stand-ins of the platform. The same seed gives the same plan. Guarantees are checked
// only against what the stand-ins, that is callers, workers and the operator, observed.
package soak
