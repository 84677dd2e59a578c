package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNumberSet(t *testing.T) { rapid.Check(t, checkNumberSet) }

// checkNumberSet compares a numberSet with a map.
func checkNumberSet(t *rapid.T) {
	var s numberSet
	want := map[int]bool{}
	for range rapid.IntRange(0, 30).Draw(t, "operations") {
		first := rapid.IntRange(0, 40).Draw(t, "first")
		end := first + rapid.IntRange(0, 5).Draw(t, "length")
		s.addSpan(first, end)
		for n := first; n < end; n++ {
			want[n] = true
		}
		assert.Equal(t, s.count, len(want))
		for n := range 50 {
			assert.Equal(t, s.has(n), want[n], "%d of %v", n, s.spans)
			missing := n
			for want[missing] {
				missing++
			}
			assert.Equal(t, s.nextMissing(n), missing)
		}
		for i := 1; i < len(s.spans); i++ {
			assert.Assert(t, s.spans[i-1].end < s.spans[i].first, "%v", s.spans)
		}
	}
}
