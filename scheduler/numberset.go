package scheduler

import "slices"

// numberSet is a set of numbers from 0, kept as spans, since the completed occurrences of a job are nearly contiguous. Its zero
// value is empty.
type numberSet struct {
	// spans are disjoint, ordered, and no two are adjacent.
	spans []span
	count int
}

// span holds the numbers from first up to, but not including, end.
type span struct{ first, end int }

// find returns the index of the span that contains n, or the index at which such a span would be inserted.
func (s *numberSet) find(n int) (at int, found bool) {
	return slices.BinarySearchFunc(s.spans, n, func(x span, n int) int {
		switch {
		case n < x.first:
			return 1
		case n >= x.end:
			return -1
		default:
			return 0
		}
	})
}

func (s *numberSet) has(n int) bool {
	_, found := s.find(n)
	return found
}

// addSpan adds the numbers from first up to, but not including, end.
func (s *numberSet) addSpan(first, end int) {
	if first >= end {
		return
	}
	from, _ := s.find(first)
	if from > 0 && s.spans[from-1].end == first {
		from--
	}
	to := from
	for to < len(s.spans) && s.spans[to].first <= end {
		first, end = min(first, s.spans[to].first), max(end, s.spans[to].end)
		s.count -= s.spans[to].end - s.spans[to].first
		to++
	}
	s.spans = slices.Replace(s.spans, from, to, span{first, end})
	s.count += end - first
}

func (s *numberSet) add(n int) { s.addSpan(n, n+1) }

// nextMissing returns the smallest number from n on that is not in the set.
func (s *numberSet) nextMissing(n int) int {
	if at, found := s.find(n); found {
		return s.spans[at].end
	}
	return n
}
