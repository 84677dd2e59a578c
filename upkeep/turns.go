package upkeep

import (
	"slices"
	"time"
)

const (
	// keptRises is how many rises of a pool are remembered.
	keptRises = 4
	// unevenShare of a gap is how far a rise may be from where even gaps would put it. A few large jobs, or none, shift it.
	unevenShare = 0.25
	// likeShare is how much two lengths may differ that count as the same.
	likeShare = 1.5
	// missAfter is the share of a turn after which one that was foreseen and has not come counts as missed.
	missAfter = 0.35
	// learnTurn is the weight of the newest turn in what is learned of turns.
	learnTurn = 0.5
	// mostMisses is how often a pool without any turn is expected to have the next one.
	mostMisses = 4
	// shortestTurn is the length below which a turn is noise: it would be over before a host came.
	shortestTurn = 2 * time.Second
)

// turns is when the demand of one pool was high.
type turns struct {
	high  bool
	rises []time.Time
	// climbing is since when the rate has been above the lower bound, falling since when below the upper one.
	climbing time.Time
	falling  time.Time
	// spent: the rate has not been below the lower bound since the last turn, so no other can begin.
	spent bool
	// length is the learned length of a turn; 0 if none has ended.
	length time.Duration
	// usual is the length that turns of other pools have; 0 if unknown.
	usual time.Duration
	// missed is the newest foreseen rise that did not come; misses counts them since the last that came.
	missed time.Time
	misses int
}

// observe takes in the rate at a moment and the bounds above and below which it is high or low.
func (t *turns) observe(at time.Time, rate, low, high float64) {
	if rate <= low {
		t.climbing = time.Time{}
		t.spent = false
	} else if t.climbing.IsZero() {
		t.climbing = at
	}
	if rate >= high {
		t.falling = time.Time{}
	} else if t.falling.IsZero() {
		t.falling = at
	}
	if t.high && t.overdue(at) {
		low = high
	}
	switch {
	case !t.high && !t.spent && rate >= high:
		t.rise(t.climbing)
	case t.high && rate <= low:
		t.fall(t.falling)
	}
}

// overdue says whether the present turn should have ended.
func (t *turns) overdue(at time.Time) bool {
	length := t.length
	if length == 0 {
		length = t.usual
	}
	return length > 0 && at.Sub(t.last()) >= length
}

func (t *turns) rise(at time.Time) {
	t.high = true
	t.misses = 0
	t.rises = append(t.rises, at)
	if len(t.rises) > keptRises {
		t.rises = slices.Delete(t.rises, 0, 1)
	}
}

func (t *turns) fall(at time.Time) {
	t.high = false
	t.spent = !t.climbing.IsZero()
	length := at.Sub(t.last())
	if length < max(shortestTurn, t.length/2, t.usual/2) {
		t.rises = t.rises[:len(t.rises)-1]
		return
	}
	if t.length > 0 {
		length = t.length + time.Duration(learnTurn*float64(length-t.length))
	}
	t.length = length
}

// last is the newest rise; zero if there is none.
func (t *turns) last() time.Time {
	if len(t.rises) == 0 {
		return time.Time{}
	}
	return t.rises[len(t.rises)-1]
}

// period is the time between rises, if those seen are even.
func (t *turns) period() (time.Duration, bool) {
	return evenGap(t.rises)
}

// evenGap is the mean gap between moments if none is far from where even gaps would put it.
func evenGap(at []time.Time) (time.Duration, bool) {
	if len(at) < 2 {
		return 0, false
	}
	line := fitLine(at)
	if line.gap <= 0 {
		return 0, false
	}
	for i := range at {
		if off := at[i].Sub(line.at(i)).Abs(); float64(off) > unevenShare*float64(line.gap) {
			return 0, false
		}
	}
	return line.gap, true
}

// miss counts a foreseen rise once, also when it is foreseen for a slightly different time.
func (t *turns) miss(start time.Time, near time.Duration) {
	if start.Sub(t.missed) > near {
		t.misses++
	}
	if start.After(t.missed) {
		t.missed = start
	}
}

// calendar foresees turns from those of all pools.
type calendar struct {
	pools map[string]*turns
	// shared is the period of pools that have shown none of their own; 0 if unknown.
	shared time.Duration
	// length is the mean length of turns; 0 if unknown.
	length time.Duration
	// round is how the turns of all pools follow each other; nil if they do not.
	round *round
}

// newCalendar learns from the turns of the pools that have demand.
func newCalendar(pools map[string]*turns) *calendar {
	c := &calendar{pools: pools}
	var lengths, periods time.Duration
	var nLengths, nPeriods time.Duration
	for _, t := range pools {
		if t.length > 0 {
			lengths += t.length
			nLengths++
		}
		if period, ok := t.period(); ok {
			periods += period
			nPeriods++
		}
	}
	if nLengths > 0 {
		c.length = lengths / nLengths
	}
	for _, t := range pools {
		t.usual = c.length
	}
	if nPeriods > 0 {
		c.shared = periods / nPeriods
	}
	c.round = newRound(pools, c.length)
	return c
}

// inDoubt says whether a foreseen turn was missed and no other pool has had one since.
func (c *calendar) inDoubt() bool {
	var missed, risen time.Time
	for _, t := range c.pools {
		if t.missed.After(missed) {
			missed = t.missed
		}
		if t.last().After(risen) {
			risen = t.last()
		}
	}
	return missed.Sub(risen) > max(c.length/2, shortestTurn)
}

// high says whether a pool's demand is expected to be high at a moment that is not before now.
func (c *calendar) high(pool string, now, at time.Time) bool {
	t := c.pools[pool]
	if t == nil {
		return false
	}
	if t.high && at.Before(c.end(t, now)) {
		return true
	}
	start, ok := c.start(pool, now)
	return ok && !at.Before(start) && at.Before(start.Add(max(c.lengthOf(t), time.Second)))
}

func (c *calendar) lengthOf(t *turns) time.Duration {
	if t.length > 0 {
		return t.length
	}
	return c.length
}

// end is when the present turn of a pool ends. One that is longer than learned, or of unknown length, goes on for a while:
// the longer, the longer it has lasted already.
func (c *calendar) end(t *turns, now time.Time) time.Time {
	const unknown = 3 * time.Second
	length := c.lengthOf(t)
	if length == 0 {
		return now.Add(max(unknown, now.Sub(t.last())))
	}
	end := t.last().Add(length)
	if end.Before(now) {
		return now.Add(max(length/8, now.Sub(end)/2))
	}
	return end
}

// start is when the next turn of a pool begins, or the one that should have begun just now.
func (c *calendar) start(pool string, now time.Time) (time.Time, bool) {
	t := c.pools[pool]
	if t == nil || c.inDoubt() {
		return time.Time{}, false
	}
	if c.round != nil {
		start, period, ok := c.round.next(pool)
		if !ok {
			return time.Time{}, false
		}
		return c.due(t, start, period, now)
	}
	period, ok := t.period()
	if !ok {
		period = c.shared
	}
	if period == 0 || len(t.rises) == 0 {
		return time.Time{}, false
	}
	return c.due(t, t.last().Add(period), period, now)
}

// due returns the foreseen start, or the one after if it was missed.
func (c *calendar) due(t *turns, start time.Time, period time.Duration, now time.Time) (time.Time, bool) {
	late := time.Duration(missAfter * float64(c.lengthOf(t)))
	for now.Sub(start) > late {
		t.miss(start, late)
		if period == 0 {
			return time.Time{}, false
		}
		start = start.Add(period)
		if now.Sub(t.last()) > 3*period {
			return time.Time{}, false
		}
	}
	return start, true
}
