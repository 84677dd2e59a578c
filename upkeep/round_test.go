package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// turnsAt makes the turns of pools from the seconds at which they began.
func turnsAt(seconds map[string][]float64) map[string]*turns {
	pools := map[string]*turns{}
	for name, list := range seconds {
		t := &turns{length: 8 * time.Second}
		for _, s := range list {
			t.rises = append(t.rises, time.Unix(1000, 0).Add(time.Duration(s*float64(time.Second))))
		}
		pools[name] = t
	}
	return pools
}

func TestRoundForeseesUnevenRises(t *testing.T) {
	for _, test := range []struct {
		name   string
		rises  map[string][]float64
		pool   string
		want   float64
		period time.Duration
	}{
		{"one round, a turn late by a seventh", map[string][]float64{"a": {1}, "b": {8.2}, "c": {18.3}, "d": {25.9}}, "a", 34.6, 34 * time.Second},
		{"two rounds", map[string][]float64{"a": {0, 24}, "b": {9, 32}, "c": {16, 41}}, "b", 56.6, 24 * time.Second},
		{"half a round", map[string][]float64{"a": {0}, "b": {9}, "c": nil, "d": nil}, "d", 18, 0},
		{"not even", map[string][]float64{"a": {0}, "b": {9}, "c": {12}, "d": {25}}, "a", 0, 0},
		{"out of turn", map[string][]float64{"a": {0, 16}, "b": {8, 32}, "c": {24}}, "a", 0, 0},
	} {
		r := newRound(turnsAt(test.rises), 8*time.Second)
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
