// Package capacity works out what a deployment of a given size costs from costs measured at smaller sizes.
//
// It fits linear models by least squares and evaluates them. It does no I/O, keeps no state, and may be used
// concurrently.
package capacity
