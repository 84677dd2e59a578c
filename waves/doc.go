// Package waves decides which host is maintained next, and when a wave stops itself.
//
// Step looks at the fleet and says what to do; Apply writes that into a draft of the fleet. Due paces scheduled
// maintenance over the period. Everything is pure: nothing is kept between calls, so a controller that is replaced in
// the middle of a wave is missed by nobody. No function is safe for concurrent use on one Draft.
package waves
