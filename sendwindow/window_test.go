package sendwindow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/sendwindow"
)

const (
	callBytes = 2000
	linkDelay = 3 * time.Millisecond
	// callTimeout is the time after which calls time out.
	callTimeout = 500 * time.Millisecond
)

// link transmits calls one after the other and then delays each call and its answer by the link delay in total.
type link struct {
	bytesPerSecond int64
	delay          time.Duration
	now, freeAt    time.Time
	queue          []call
}

type call struct{ sent, answered time.Time }

// run keeps the window full for span, and returns the number of calls answered within callTimeout and their highest latency.
func (l *link) run(w *sendwindow.Window, span time.Duration) (inTime int, longest time.Duration) {
	begin := l.now
	for l.now.Sub(begin) < span {
		for w.Available() > 0 {
			l.send(w)
		}
		first := l.queue[0]
		l.queue = l.queue[1:]
		latency := first.answered.Sub(first.sent)
		if latency > callTimeout {
			l.now = first.sent.Add(callTimeout)
			w.Unanswered(l.now, callBytes, callTimeout)
			continue
		}
		l.now = first.answered
		w.Answered(l.now, callBytes, latency)
		inTime++
		longest = max(longest, latency)
	}
	return inTime, longest
}

func (l *link) send(w *sendwindow.Window) {
	w.Begin(l.now, callBytes)
	if l.freeAt.Before(l.now) {
		l.freeAt = l.now
	}
	l.freeAt = l.freeAt.Add(callBytes * time.Second / time.Duration(l.bytesPerSecond))
	l.queue = append(l.queue, call{sent: l.now, answered: l.freeAt.Add(l.delay)})
}

// TestFillsLinksWithoutQueueing keeps links of several bandwidths busy. The throughput must be close to the bandwidth,
// and the latency well below the timeout.
func TestFillsLinksWithoutQueueing(t *testing.T) {
	for _, bytesPerSecond := range []int64{60_000, 250_000, 1_250_000, 25_000_000} {
		l := &link{bytesPerSecond: bytesPerSecond, delay: linkDelay, now: time.Unix(0, 0)}
		w := sendwindow.New()
		l.run(w, 5*time.Second)
		inTime, longest := l.run(w, 20*time.Second)
		throughput := float64(inTime*callBytes) / 20
		assert.Assert(t, throughput > 0.85*float64(bytesPerSecond), "%v of %v bytes a second", throughput, bytesPerSecond)
		assert.Assert(t, longest < callTimeout*4/5, "%v at %v bytes a second", longest, bytesPerSecond)
	}
}

// TestAdaptsToHigherLinkDelay raises the link delay permanently. The higher latency must not be mistaken for a queue,
// which would keep the window small.
func TestAdaptsToHigherLinkDelay(t *testing.T) {
	w := sendwindow.New()
	l := &link{bytesPerSecond: 25_000_000, delay: linkDelay, now: time.Unix(0, 0)}
	l.run(w, 10*time.Second)
	l.delay = 200 * time.Millisecond
	l.run(w, 20*time.Second)
	inTime, _ := l.run(w, 10*time.Second)
	assert.Assert(t, inTime*callBytes/10 > 5_000_000, "%d calls", inTime)
}

// TestUnresponsiveReceiversDoNotShrinkWindow leaves a third of the calls unanswered while the others are answered fast.
func TestUnresponsiveReceiversDoNotShrinkWindow(t *testing.T) {
	w := sendwindow.New()
	now := time.Unix(0, 0)
	before := w.Available()
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		w.Begin(now, callBytes)
		if i%3 == 0 {
			w.Unanswered(now, callBytes, callTimeout)
			continue
		}
		w.Answered(now, callBytes, linkDelay)
	}
	assert.Assert(t, w.Available() >= before)
}

// TestWindowRecovers leaves all calls unanswered for 5 s, which shrinks the window to its minimum. Once calls are answered,
// the window must grow again.
func TestWindowRecovers(t *testing.T) {
	w := sendwindow.New()
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		w.Begin(now, callBytes)
		w.Unanswered(now, callBytes, callTimeout)
	}
	assert.Assert(t, w.Available() > 0)
	l := &link{bytesPerSecond: 25_000_000, delay: linkDelay, now: now}
	l.run(w, 5*time.Second)
	inTime, _ := l.run(w, time.Second)
	assert.Assert(t, inTime*callBytes > 10_000_000, "%d calls", inTime)
}
