package admission

import "container/heap"

// indexed is an element of an indexedHeap that stores its own index.
type indexed[T any] interface {
	less(other T) bool
	// heapIndex returns a pointer to the element's index in the heap, which is -1 if it is in no heap.
	heapIndex() *int
}

// indexedHeap is a heap whose elements can be removed or moved in O(log n).
type indexedHeap[T indexed[T]] struct{ slice heapSlice[T] }

type heapSlice[T indexed[T]] []T

func (s heapSlice[T]) Len() int           { return len(s) }
func (s heapSlice[T]) Less(i, j int) bool { return s[i].less(s[j]) }
func (s heapSlice[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].heapIndex() = i
	*s[j].heapIndex() = j
}

// Push implements heap.Interface.
func (s *heapSlice[T]) Push(x any) {
	e := x.(T)
	*e.heapIndex() = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *heapSlice[T]) Pop() any {
	old := *s
	n := len(old) - 1
	e := old[n]
	var zero T
	old[n] = zero
	*s = old[:n]
	*e.heapIndex() = -1
	return e
}

func (h *indexedHeap[T]) len() int { return len(h.slice) }
func (h *indexedHeap[T]) first() T { return h.slice[0] }
func (h *indexedHeap[T]) push(e T) { heap.Push(&h.slice, e) }

// fix restores the order after e has changed; it does nothing if e is in no heap.
func (h *indexedHeap[T]) fix(e T) {
	if i := *e.heapIndex(); i >= 0 {
		heap.Fix(&h.slice, i)
	}
}

// remove removes e; it does nothing if e is in no heap.
func (h *indexedHeap[T]) remove(e T) {
	if i := *e.heapIndex(); i >= 0 {
		heap.Remove(&h.slice, i)
	}
}
