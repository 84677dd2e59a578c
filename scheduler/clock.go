package scheduler

import "time"

// maxClockDrift is the maximum share by which a worker's clock may run slow.
const maxClockDrift = 0.02

// workerClock estimates the clock of one incarnation of a worker from its reports.
type workerClock struct {
	known bool
	// lastReading is a reading in ms that the worker's clock had reached by receivedAt.
	lastReading int64
	receivedAt  time.Time
}

// observe applies a reading that was taken before received. Of the old and the new estimate it keeps the higher lower
// bound.
func (c *workerClock) observe(reading int64, received time.Time) {
	if c.known && float64(reading) < c.lowerBoundMillis(received) {
		return
	}
	c.known = true
	c.lastReading = reading
	c.receivedAt = received
}

func (c *workerClock) lowerBoundMillis(now time.Time) float64 {
	elapsed := now.Sub(c.receivedAt)
	if elapsed < 0 {
		return float64(c.lastReading) + millis(elapsed)
	}
	return float64(c.lastReading) + millis(elapsed)*(1-maxClockDrift)
}

// lowerBound returns a reading in ms that the worker's clock has certainly reached.
func (c *workerClock) lowerBound(now time.Time) int64 {
	return int64(c.lowerBoundMillis(now))
}

// surelyPassedAt returns when the worker's clock has certainly passed the reading.
func (c *workerClock) surelyPassedAt(reading int64) time.Time {
	remaining := time.Duration(reading-c.lastReading) * time.Millisecond
	if remaining <= 0 {
		return c.receivedAt
	}
	return c.receivedAt.Add(time.Duration(float64(remaining) / (1 - maxClockDrift)))
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
