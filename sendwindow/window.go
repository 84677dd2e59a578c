// Package sendwindow limits the bytes of calls in flight, so that calls don't queue on a slow link or a busy processor
// until all of them time out. It has no I/O, goroutines or clock.
package sendwindow

import "time"

const (
	// startBytes is the initial window.
	startBytes = 64 << 10
	// minBytes and maxBytes bound the window.
	minBytes = 8 << 10
	maxBytes = 4 << 20
	// minRoundLength is the minimum time between two changes of the window.
	minRoundLength = 100 * time.Millisecond
	// maxQueueDelay is the difference between the lowest latency of a round and the baseline above which the window is
	// halved.
	maxQueueDelay = 100 * time.Millisecond
	// maxLatency is the lowest latency of a round above which the window is halved whatever the baseline is, since callers
	// time out soon after.
	maxLatency = 250 * time.Millisecond
	// baselineSpan is the period after which the baseline is measured again, so that a permanently higher link latency
	// is not mistaken for a queue.
	baselineSpan = 5 * time.Second
	// growthDivisor sets the growth of the window in a round: its size divided by growthDivisor.
	growthDivisor = 4
)

// Window limits the calls in flight from one sender to many receivers. If even the lowest latency of a round is high,
// or no call is answered, calls queue at the sender, and the window is halved. It grows while it is fully used and the lowest latency is low.
// Individual slow receivers have no effect. It is not safe for concurrent use.
type Window struct {
	size, inFlight int64
	// full is set if the window was fully used in this round.
	full bool
	// roundStart is the start of the round. Only calls sent since then count; earlier calls were sent under another
	// window.
	roundStart time.Time
	// roundLowest is the lowest latency of the round; answers counts its answered calls, and ended those that were answered
	// or timed out.
	roundLowest    time.Duration
	answers, ended int
	// lowest and previousLowest are the lowest latencies of the current and the previous period of baselineSpan.
	lowest, previousLowest time.Duration
	spanStart              time.Time
}

// New returns a window with no calls in flight.
func New() *Window { return &Window{size: startBytes} }

// Available returns the number of bytes of calls that may begin now. The last of several calls may exceed it.
func (w *Window) Available() int64 { return w.size - w.inFlight }

// Begin records a call that is sent now.
func (w *Window) Begin(now time.Time, bytes int64) {
	if w.roundStart.IsZero() {
		w.roundStart = now
	}
	w.inFlight += bytes
	w.full = w.full || w.inFlight >= w.size
}

// NotSent records that a call was never sent.
func (w *Window) NotSent(bytes int64) { w.inFlight -= bytes }

// Answered records the answer to a call that was sent latency before now.
func (w *Window) Answered(now time.Time, bytes int64, latency time.Duration) {
	w.inFlight -= bytes
	w.observe(now, latency)
	if w.countEnded(now, latency) {
		if w.answers == 0 || latency < w.roundLowest {
			w.roundLowest = latency
		}
		w.answers++
	}
	w.endRound(now)
}

// Unanswered records that a call that was sent latency before now timed out.
func (w *Window) Unanswered(now time.Time, bytes int64, latency time.Duration) {
	w.inFlight -= bytes
	w.countEnded(now, latency)
	w.endRound(now)
}

// countEnded counts a call that has ended, and returns false without counting it if it was sent before this round.
func (w *Window) countEnded(now time.Time, latency time.Duration) bool {
	if now.Sub(w.roundStart) < latency {
		return false
	}
	w.ended++
	return true
}

// observe updates the baseline.
func (w *Window) observe(now time.Time, latency time.Duration) {
	if w.spanStart.IsZero() || now.Sub(w.spanStart) >= baselineSpan {
		w.previousLowest, w.lowest, w.spanStart = w.lowest, latency, now
		return
	}
	w.lowest = min(w.lowest, latency)
}

// baseline returns the lowest latency of the current and the previous period of baselineSpan.
func (w *Window) baseline() time.Duration {
	if w.previousLowest == 0 {
		return w.lowest
	}
	return min(w.lowest, w.previousLowest)
}

// endRound adjusts the window and starts a new round if the current one is long enough and a call of it has ended.
func (w *Window) endRound(now time.Time) {
	if w.ended == 0 || now.Sub(w.roundStart) < minRoundLength {
		return
	}
	switch {
	case w.answers == 0, w.roundLowest > min(w.baseline()+maxQueueDelay, maxLatency):
		w.size = max(minBytes, w.size/2)
	case w.full:
		w.size = min(maxBytes, w.size+w.size/growthDivisor)
	}
	w.roundStart, w.answers, w.ended = now, 0, 0
	w.full = w.inFlight >= w.size
}
