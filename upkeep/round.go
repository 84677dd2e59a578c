package upkeep

import (
	"slices"
	"time"
)

// keptRounds bounds the rises of all pools that are looked at, in rises for each pool.
const keptRounds = 2

// line puts moments at even gaps.
type line struct {
	first time.Time
	gap   time.Duration
}

func (l line) at(n int) time.Time { return l.first.Add(time.Duration(n) * l.gap) }

// fitLine is the line of least squares through two moments or more.
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

// round is how the turns of all pools follow each other: each pool in its place, at even gaps.
type round struct {
	line
	// places is the place of the newest turn of each pool, count that of the next turn of any.
	places map[string]int
	count  int
	// size is the number of pools in the round; 0 if some have not had a turn.
	size int
	// unseen are those pools.
	unseen []string
}

type rise struct {
	pool string
	at   time.Time
}

// newRound finds the round that the rises of all pools show; nil if there is none.
func newRound(pools map[string]*turns, length time.Duration) *round {
	r := &round{places: map[string]int{}}
	rises := r.collect(pools)
	at := make([]time.Time, 0, len(rises))
	for n, x := range rises {
		at = append(at, x.at)
		if place, again := r.places[x.pool]; again {
			if r.size != 0 && n-place != r.size {
				return nil
			}
			r.size = n - place
		}
		r.places[x.pool] = n
	}
	r.count = len(rises)
	if r.size == 0 && len(r.unseen) == 0 {
		r.size = len(rises)
	}
	gap, even := evenGap(at)
	if !even || length == 0 || !alike(gap, length) || (r.size != 0 && len(r.places) > r.size) {
		return nil
	}
	r.line = fitLine(at)
	return r
}

// collect returns the newest rises of all pools in order.
func (r *round) collect(pools map[string]*turns) []rise {
	var out []rise
	for _, name := range sortedKeys(pools) {
		t := pools[name]
		for _, at := range t.rises {
			out = append(out, rise{name, at})
		}
		if len(t.rises) == 0 && t.misses < mostMisses {
			r.unseen = append(r.unseen, name)
		}
	}
	slices.SortStableFunc(out, func(a, b rise) int { return a.at.Compare(b.at) })
	if most := keptRounds * len(pools); len(out) > most {
		out = out[len(out)-most:]
	}
	return out
}

// alike says whether two lengths are about the same.
func alike(a, b time.Duration) bool {
	return float64(a) <= likeShare*float64(b) && float64(b) <= likeShare*float64(a)
}

// next is when the next turn of a pool begins, and after how long it comes again; 0 if that is not known.
func (r *round) next(pool string) (start time.Time, period time.Duration, ok bool) {
	place, seen := r.places[pool]
	switch {
	case seen && r.size > 0:
		return r.at(place + r.size), time.Duration(r.size) * r.gap, true
	case !seen && r.size == 0 && slices.Contains(r.unseen, pool):
		return r.at(r.count), 0, true
	}
	return time.Time{}, 0, false
}
