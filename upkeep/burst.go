package upkeep

import (
	"slices"
	"time"
)

const (
	// maxStarts is how many burst starts are remembered per pool.
	maxStarts = 4
	// gapTolerance is how far a start may deviate from an even spacing, as a share of the gap. The observed start shifts
	// when a burst begins with a few large jobs, or with none.
	gapTolerance = 0.25
	// similarRatio is the ratio up to which two durations count as similar.
	similarRatio = 1.5
	// missedAfterShare is the share of a burst's length after which a predicted burst that has not started counts as
	// missed.
	missedAfterShare = 0.35
	// burstWeight is the weight of the newest burst in the learned averages.
	burstWeight = 0.5
	// maxMisses is how many predicted bursts a pool that has never had one may miss before the rotation omits it.
	maxMisses = 4
	// minBurst is the length below which a burst is noise: it would be over before a host arrived.
	minBurst = 2 * time.Second
)

// burstHistory records when the demand of one pool was high.
type burstHistory struct {
	high   bool
	starts []time.Time
	// aboveLowSince is the time since when the rate has been above the lower bound, belowHighSince the time since when it
	// has been below the upper one.
	aboveLowSince  time.Time
	belowHighSince time.Time
	// awaitingLow is set while the rate has not been below the lower bound since the last burst, so no other can start.
	awaitingLow bool
	// length is the learned length of a burst; 0 if none has ended.
	length time.Duration
	// typicalLength is the mean length of all pools' bursts; 0 if unknown.
	typicalLength time.Duration
	// lastMissed is the newest predicted start that was missed; misses counts the missed starts since the last observed
	// burst.
	lastMissed time.Time
	misses     int
}

// observe processes the rate at a time and the bounds at or beyond which it is low or high.
func (t *burstHistory) observe(at time.Time, rate, low, high float64) {
	if rate <= low {
		t.aboveLowSince = time.Time{}
		t.awaitingLow = false
	} else if t.aboveLowSince.IsZero() {
		t.aboveLowSince = at
	}
	if rate >= high {
		t.belowHighSince = time.Time{}
	} else if t.belowHighSince.IsZero() {
		t.belowHighSince = at
	}
	if t.high && t.overdue(at) {
		low = high
	}
	switch {
	case !t.high && !t.awaitingLow && rate >= high:
		t.begin(t.aboveLowSince)
	case t.high && rate <= low:
		t.end(t.belowHighSince)
	}
}

// overdue reports whether the current burst has reached its usual length. From then on, a rate at or below the upper
// bound ends it.
func (t *burstHistory) overdue(at time.Time) bool {
	length := t.length
	if length == 0 {
		length = t.typicalLength
	}
	return length > 0 && at.Sub(t.lastStart()) >= length
}

func (t *burstHistory) begin(at time.Time) {
	t.high = true
	t.misses = 0
	t.starts = append(t.starts, at)
	if len(t.starts) > maxStarts {
		t.starts = slices.Delete(t.starts, 0, 1)
	}
}

// end ends the current burst. A burst that is much shorter than usual is dropped as noise.
func (t *burstHistory) end(at time.Time) {
	t.high = false
	t.awaitingLow = !t.aboveLowSince.IsZero()
	length := at.Sub(t.lastStart())
	if length < max(minBurst, t.length/2, t.typicalLength/2) {
		t.starts = t.starts[:len(t.starts)-1]
		return
	}
	if t.length > 0 {
		length = t.length + time.Duration(burstWeight*float64(length-t.length))
	}
	t.length = length
}

// lastStart returns the newest start; zero if there is none.
func (t *burstHistory) lastStart() time.Time {
	if len(t.starts) == 0 {
		return time.Time{}
	}
	return t.starts[len(t.starts)-1]
}

// period returns the time between starts, if they are evenly spaced.
func (t *burstHistory) period() (time.Duration, bool) {
	return regularGap(t.starts)
}

// regularGap returns the mean gap between times if none deviates far from an even spacing.
func regularGap(at []time.Time) (time.Duration, bool) {
	if len(at) < 2 {
		return 0, false
	}
	line := fitLine(at)
	if line.gap <= 0 {
		return 0, false
	}
	for i := range at {
		if off := at[i].Sub(line.at(i)).Abs(); float64(off) > gapTolerance*float64(line.gap) {
			return 0, false
		}
	}
	return line.gap, true
}

// recordMiss counts a missed start once, even if its prediction shifts slightly.
func (t *burstHistory) recordMiss(start time.Time, tolerance time.Duration) {
	if start.Sub(t.lastMissed) > tolerance {
		t.misses++
	}
	if start.After(t.lastMissed) {
		t.lastMissed = start
	}
}

// forecast predicts bursts from the history of all pools.
type forecast struct {
	pools map[string]*burstHistory
	// sharedPeriod is the period of pools that have shown none of their own; 0 if unknown.
	sharedPeriod time.Duration
	// meanLength is the mean length of bursts; 0 if unknown.
	meanLength time.Duration
	// rotation is the order in which the bursts of all pools follow each other; nil if there is none.
	rotation *rotation
}

// newForecast builds a forecast from the histories of the pools that have demand, and sets their typicalLength.
func newForecast(pools map[string]*burstHistory) *forecast {
	c := &forecast{pools: pools}
	var lengths, periods time.Duration
	var lengthCount, periodCount time.Duration
	for _, t := range pools {
		if t.length > 0 {
			lengths += t.length
			lengthCount++
		}
		if period, ok := t.period(); ok {
			periods += period
			periodCount++
		}
	}
	if lengthCount > 0 {
		c.meanLength = lengths / lengthCount
	}
	for _, t := range pools {
		t.typicalLength = c.meanLength
	}
	if periodCount > 0 {
		c.sharedPeriod = periods / periodCount
	}
	c.rotation = newRotation(pools, c.meanLength)
	return c
}

// isUnreliable reports whether a predicted burst was missed and no pool has had one since or shortly before.
func (c *forecast) isUnreliable() bool {
	var missed, started time.Time
	for _, t := range c.pools {
		if t.lastMissed.After(missed) {
			missed = t.lastMissed
		}
		if t.lastStart().After(started) {
			started = t.lastStart()
		}
	}
	return missed.Sub(started) > max(c.meanLength/2, minBurst)
}

// high reports whether a pool's demand is predicted to be high at a time that is not before now.
func (c *forecast) high(pool string, now, at time.Time) bool {
	t := c.pools[pool]
	if t == nil {
		return false
	}
	if t.high && at.Before(c.end(t, now)) {
		return true
	}
	start, ok := c.start(pool, now)
	return ok && !at.Before(start) && at.Before(start.Add(max(c.expectedLength(t), time.Second)))
}

func (c *forecast) expectedLength(t *burstHistory) time.Duration {
	if t.length > 0 {
		return t.length
	}
	return c.meanLength
}

// end returns when the current burst of a pool ends. One that exceeds its learned length, or has none, is predicted to
// continue for longer the longer it has already lasted.
func (c *forecast) end(t *burstHistory, now time.Time) time.Time {
	const minRemaining = 3 * time.Second
	length := c.expectedLength(t)
	if length == 0 {
		return now.Add(max(minRemaining, now.Sub(t.lastStart())))
	}
	end := t.lastStart().Add(length)
	if end.Before(now) {
		return now.Add(max(length/8, now.Sub(end)/2))
	}
	return end
}

// start returns when the next burst of a pool starts, or the one that should have started just now.
func (c *forecast) start(pool string, now time.Time) (time.Time, bool) {
	t := c.pools[pool]
	if t == nil || c.isUnreliable() {
		return time.Time{}, false
	}
	if c.rotation != nil {
		start, period, ok := c.rotation.next(pool)
		if !ok {
			return time.Time{}, false
		}
		return c.nextDue(t, start, period, now)
	}
	period, ok := t.period()
	if !ok {
		period = c.sharedPeriod
	}
	if period == 0 || len(t.starts) == 0 {
		return time.Time{}, false
	}
	return c.nextDue(t, t.lastStart().Add(period), period, now)
}

// nextDue returns the predicted start, or the next one if that was missed, and records the missed ones. It returns
// false if no next start is known, or if the pool's last burst is more than three periods ago.
func (c *forecast) nextDue(t *burstHistory, start time.Time, period time.Duration, now time.Time) (time.Time, bool) {
	late := time.Duration(missedAfterShare * float64(c.expectedLength(t)))
	for now.Sub(start) > late {
		t.recordMiss(start, late)
		if period == 0 {
			return time.Time{}, false
		}
		start = start.Add(period)
		if now.Sub(t.lastStart()) > 3*period {
			return time.Time{}, false
		}
	}
	return start, true
}
