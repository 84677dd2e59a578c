// Package capacity estimates the cost of a deployment of a given size from costs measured at smaller sizes.
//
// It fits linear models by least squares and evaluates them. It does no I/O, keeps no state, and is safe for
// concurrent use.
package capacity
