package bench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Time
	order int
	do    func()
}

// timeline runs events in order of time; events at the same time run in the order in which they were added.
type timeline struct {
	now   time.Time
	order int
	queue eventHeap
}

func (t *timeline) after(d time.Duration, do func()) {
	t.order++
	heap.Push(&t.queue, event{at: t.now.Add(d), order: t.order, do: do})
}

// run runs the events up to and including a time.
func (t *timeline) run(until time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(until) {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*h = old[:n]
	return e
}
