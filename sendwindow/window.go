// Package sendwindow bounds the bytes of calls under way, so that they do not queue on a narrow link or a busy processor
// until each of them is too late. It has no I/O, goroutines or clock.
package sendwindow

import "time"

const (
	// startBytes is the first window.
	startBytes = 64 << 10
	// minBytes and maxBytes bound the window.
	minBytes = 8 << 10
	maxBytes = 4 << 20
	// round is the least time between two changes of the window.
	round = 100 * time.Millisecond
	// slowBy is how much longer than the best of late the quickest answer of a round may take.
	slowBy = 100 * time.Millisecond
	// slowest is the longest that it may take, however long the way is: callers give up soon after.
	slowest = 250 * time.Millisecond
	// bestSpan is after how long the best answer time is taken anew, so that a longer way is not taken for a queue.
	bestSpan = 5 * time.Second
	// growth is the part by which the window grows in a round.
	growth = 4
)

// Window bounds the calls of one sender to many receivers. If even the quickest answer of a round is slow, calls queue at
// the sender and the window halves; it grows while it is used and some answer is quick. The slowness of single receivers
// does not count. It is not safe for concurrent use.
type Window struct {
	size, under int64
	// full tells whether the window was used up in this round.
	full bool
	// began is the begin of the round. Only calls that were sent in it count: those of before tell of another window.
	began time.Time
	// quickest is the best answer of the round; ended counts its calls that were answered or given up on.
	quickest       time.Duration
	answers, ended int
	// best is the best answer time of this span and of the one before.
	best, bestBefore time.Duration
	bestSince        time.Time
}

// New returns a window with no calls under way.
func New() *Window { return &Window{size: startBytes} }

// Room is how many bytes of calls may begin now. The last call of several may exceed it.
func (w *Window) Room() int64 { return w.size - w.under }

// Begin notes a call that is sent now.
func (w *Window) Begin(now time.Time, bytes int64) {
	if w.began.IsZero() {
		w.began = now
	}
	w.under += bytes
	w.full = w.full || w.under >= w.size
}

// Dropped notes that a call was never sent.
func (w *Window) Dropped(bytes int64) { w.under -= bytes }

// Answered notes the answer to a call.
func (w *Window) Answered(now time.Time, bytes int64, took time.Duration) {
	w.under -= bytes
	w.note(now, took)
	if w.ofRound(now, took) {
		if w.answers == 0 || took < w.quickest {
			w.quickest = took
		}
		w.answers++
	}
	w.turn(now)
}

// Unanswered notes that a call was given up on.
func (w *Window) Unanswered(now time.Time, bytes int64, took time.Duration) {
	w.under -= bytes
	w.ofRound(now, took)
	w.turn(now)
}

// ofRound counts a call that was sent in this round.
func (w *Window) ofRound(now time.Time, took time.Duration) bool {
	if now.Sub(w.began) < took {
		return false
	}
	w.ended++
	return true
}

func (w *Window) note(now time.Time, took time.Duration) {
	if w.bestSince.IsZero() || now.Sub(w.bestSince) >= bestSpan {
		w.bestBefore, w.best, w.bestSince = w.best, took, now
		return
	}
	w.best = min(w.best, took)
}

func (w *Window) baseline() time.Duration {
	if w.bestBefore == 0 {
		return w.best
	}
	return min(w.best, w.bestBefore)
}

// turn ends a round that is long enough and of which something is known.
func (w *Window) turn(now time.Time) {
	if w.ended == 0 || now.Sub(w.began) < round {
		return
	}
	switch {
	case w.answers == 0, w.quickest > min(w.baseline()+slowBy, slowest):
		w.size = max(minBytes, w.size/2)
	case w.full:
		w.size = min(maxBytes, w.size+w.size/growth)
	}
	w.began, w.answers, w.ended = now, 0, 0
	w.full = w.under >= w.size
}
