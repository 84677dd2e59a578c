package sendwindow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/sendwindow"
)

const (
	callBytes = 2000
	way       = 3 * time.Millisecond
	// late is when calls are given up on.
	late = 500 * time.Millisecond
)

// link carries calls one after the other; the rest of the way takes way.
type link struct {
	bytesPerSecond int64
	way            time.Duration
	now, free      time.Time
	queue          []call
}

type call struct{ sent, answered time.Time }

// run keeps the window full for a time and returns how many calls were answered in time, and the longest answer time.
func (l *link) run(w *sendwindow.Window, span time.Duration) (inTime int, longest time.Duration) {
	begin := l.now
	for l.now.Sub(begin) < span {
		for w.Room() > 0 {
			l.send(w)
		}
		first := l.queue[0]
		l.queue = l.queue[1:]
		took := first.answered.Sub(first.sent)
		if took > late {
			l.now = first.sent.Add(late)
			w.Unanswered(l.now, callBytes, late)
			continue
		}
		l.now = first.answered
		w.Answered(l.now, callBytes, took)
		inTime++
		longest = max(longest, took)
	}
	return inTime, longest
}

func (l *link) send(w *sendwindow.Window) {
	w.Begin(l.now, callBytes)
	if l.free.Before(l.now) {
		l.free = l.now
	}
	l.free = l.free.Add(callBytes * time.Second / time.Duration(l.bytesPerSecond))
	l.queue = append(l.queue, call{sent: l.now, answered: l.free.Add(l.way)})
}

// TestLinksAreFilledWithoutAQueue keeps links of several widths busy, with answers that stay far below the time limit.
func TestLinksAreFilledWithoutAQueue(t *testing.T) {
	for _, bytesPerSecond := range []int64{60_000, 250_000, 1_250_000, 25_000_000} {
		l := &link{bytesPerSecond: bytesPerSecond, way: way, now: time.Unix(0, 0)}
		w := sendwindow.New()
		l.run(w, 5*time.Second)
		inTime, longest := l.run(w, 20*time.Second)
		carried := float64(inTime*callBytes) / 20
		assert.Assert(t, carried > 0.85*float64(bytesPerSecond), "%v of %v bytes a second", carried, bytesPerSecond)
		assert.Assert(t, longest < late*4/5, "%v at %v bytes a second", longest, bytesPerSecond)
	}
}

// TestALongWayIsNoQueue makes the way longer for good: the window must not stay small.
func TestALongWayIsNoQueue(t *testing.T) {
	w := sendwindow.New()
	l := &link{bytesPerSecond: 25_000_000, way: way, now: time.Unix(0, 0)}
	l.run(w, 10*time.Second)
	l.way = 200 * time.Millisecond
	l.run(w, 20*time.Second)
	inTime, _ := l.run(w, 10*time.Second)
	assert.Assert(t, inTime*callBytes/10 > 5_000_000, "%d calls", inTime)
}

// TestSilentReceiversDoNotCloseTheWindow leaves some calls without an answer while others are answered quickly.
func TestSilentReceiversDoNotCloseTheWindow(t *testing.T) {
	w := sendwindow.New()
	now := time.Unix(0, 0)
	before := w.Room()
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		w.Begin(now, callBytes)
		if i%3 == 0 {
			w.Unanswered(now, callBytes, late)
			continue
		}
		w.Answered(now, callBytes, way)
	}
	assert.Assert(t, w.Room() >= before)
}

// TestTheWindowOpensAgain sends nothing but calls without an answer for a while, then all are answered.
func TestTheWindowOpensAgain(t *testing.T) {
	w := sendwindow.New()
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		w.Begin(now, callBytes)
		w.Unanswered(now, callBytes, late)
	}
	assert.Assert(t, w.Room() > 0)
	l := &link{bytesPerSecond: 25_000_000, way: way, now: now}
	l.run(w, 5*time.Second)
	inTime, _ := l.run(w, time.Second)
	assert.Assert(t, inTime*callBytes > 10_000_000, "%d calls", inTime)
}
