package upkeep

import (
	"slices"
	"time"
)

// recentStartsPerPool bounds the number of burst starts that are considered, per pool.
const recentStartsPerPool = 2

// line is a line of evenly spaced times.
type line struct {
	first time.Time
	gap   time.Duration
}

func (l line) at(n int) time.Time { return l.first.Add(time.Duration(n) * l.gap) }

// fitLine returns the least-squares line through two or more times.
func fitLine(at []time.Time) line {
	n := float64(len(at))
	middle := (n - 1) / 2
	var mean, slope, spread float64
	for i, t := range at {
		seconds := t.Sub(at[0]).Seconds()
		x := float64(i) - middle
		mean += seconds / n
		slope += x * seconds
		spread += x * x
	}
	slope /= spread
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return line{first: at[0].Add(seconds(mean - slope*middle)), gap: seconds(slope)}
}

// rotation is the order in which the bursts of all pools follow each other, at regular intervals.
type rotation struct {
	line
	// positions is the position of the newest burst of each pool, nextPosition that of the next burst of any.
	positions    map[string]int
	nextPosition int
	// size is the number of pools in the rotation; 0 while it is unknown, because no pool has had a second burst and some
	// have had none.
	size int
	// unseen are the pools that have had no burst, except those that missed maxMisses predicted ones.
	unseen []string
}

type burstStart struct {
	pool string
	at   time.Time
}

// newRotation returns the rotation that the burst starts of all pools follow; nil if there is none. In a rotation one
// burst begins when another ends, so the gap between starts is similar to the length of a burst.
func newRotation(pools map[string]*burstHistory, length time.Duration) *rotation {
	r := &rotation{positions: map[string]int{}}
	starts := r.collectStarts(pools)
	at := make([]time.Time, 0, len(starts))
	for n, x := range starts {
		at = append(at, x.at)
		if position, again := r.positions[x.pool]; again {
			if r.size != 0 && n-position != r.size {
				return nil
			}
			r.size = n - position
		}
		r.positions[x.pool] = n
	}
	r.nextPosition = len(starts)
	if r.size == 0 && len(r.unseen) == 0 {
		r.size = len(starts)
	}
	gap, even := regularGap(at)
	if !even || length == 0 || !similar(gap, length) || (r.size != 0 && len(r.positions) > r.size) {
		return nil
	}
	r.line = fitLine(at)
	return r
}

// collectStarts returns the newest burst starts of all pools in order.
func (r *rotation) collectStarts(pools map[string]*burstHistory) []burstStart {
	var out []burstStart
	for _, name := range sortedKeys(pools) {
		t := pools[name]
		for _, at := range t.starts {
			out = append(out, burstStart{name, at})
		}
		if len(t.starts) == 0 && t.misses < maxMisses {
			r.unseen = append(r.unseen, name)
		}
	}
	slices.SortStableFunc(out, func(a, b burstStart) int { return a.at.Compare(b.at) })
	if limit := recentStartsPerPool * len(pools); len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// similar reports whether two durations are about the same.
func similar(a, b time.Duration) bool {
	return float64(a) <= similarRatio*float64(b) && float64(b) <= similarRatio*float64(a)
}

// next returns when the next burst of a pool starts, and the period after which it recurs; 0 if that is unknown.
func (r *rotation) next(pool string) (start time.Time, period time.Duration, ok bool) {
	position, seen := r.positions[pool]
	switch {
	case seen && r.size > 0:
		return r.at(position + r.size), time.Duration(r.size) * r.gap, true
	case !seen && r.size == 0 && slices.Contains(r.unseen, pool):
		return r.at(r.nextPosition), 0, true
	}
	return time.Time{}, 0, false
}
