package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// burstsAt returns burst histories from the seconds at which the bursts started.
func burstsAt(seconds map[string][]float64) map[string]*burstHistory {
	pools := map[string]*burstHistory{}
	for name, list := range seconds {
		t := &burstHistory{length: 8 * time.Second}
		for _, s := range list {
			t.starts = append(t.starts, time.Unix(1000, 0).Add(time.Duration(s*float64(time.Second))))
		}
		pools[name] = t
	}
	return pools
}

func TestRotationPredictsIrregularStarts(t *testing.T) {
	for _, test := range []struct {
		name   string
		starts map[string][]float64
		pool   string
		want   float64
		period time.Duration
	}{
		{"one rotation, a burst late by a seventh", map[string][]float64{"a": {1}, "b": {8.2}, "c": {18.3}, "d": {25.9}}, "a", 34.6, 34 * time.Second},
		{"two rotations", map[string][]float64{"a": {0, 24}, "b": {9, 32}, "c": {16, 41}}, "b", 56.6, 24 * time.Second},
		{"half a rotation", map[string][]float64{"a": {0}, "b": {9}, "c": nil, "d": nil}, "d", 18, 0},
		{"irregular", map[string][]float64{"a": {0}, "b": {9}, "c": {12}, "d": {25}}, "a", 0, 0},
		{"out of order", map[string][]float64{"a": {0, 16}, "b": {8, 32}, "c": {24}}, "a", 0, 0},
	} {
		r := newRotation(burstsAt(test.starts), 8*time.Second)
		if test.want == 0 {
			assert.Assert(t, r == nil, test.name)
			continue
		}
		start, period, ok := r.next(test.pool)
		assert.Assert(t, ok, test.name)
		got := start.Sub(time.Unix(1000, 0)).Seconds()
		assert.Assert(t, got > test.want-0.1 && got < test.want+0.1, "%s: %.2f", test.name, got)
		assert.Assert(t, (period-test.period).Abs() < 500*time.Millisecond, "%s: %s", test.name, period)
	}
}
