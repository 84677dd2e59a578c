// Package soak runs the real programs as processes on loopback and brings faults about from outside them: by signals, by
// a proxy on the links between them and by the stand-ins of the platform. The same seed gives the same plan. What callers,
// workers and the operator saw is judged by the stand-ins alone.
package soak
