package scheduler

import "time"

// maxClockDrift is how much slower a worker's clock may run, as a share.
const maxClockDrift = 0.02

// workerClock estimates the clock of one lifetime of a worker from its answers.
type workerClock struct {
	known bool
	// at is a reading in ms that the worker had reached by the time seen.
	at   int64
	seen time.Time
}

// observe takes a reading that was made before received. The estimate keeps the higher lower bound.
func (c *workerClock) observe(reading int64, received time.Time) {
	if c.known && float64(reading) < c.lowerMillis(received) {
		return
	}
	c.known = true
	c.at = reading
	c.seen = received
}

func (c *workerClock) lowerMillis(now time.Time) float64 {
	elapsed := now.Sub(c.seen)
	if elapsed < 0 {
		return float64(c.at) + millis(elapsed)
	}
	return float64(c.at) + millis(elapsed)*(1-maxClockDrift)
}

// lower is a reading in ms that the worker has certainly reached.
func (c *workerClock) lower(now time.Time) int64 {
	return int64(c.lowerMillis(now))
}

// passed is when the worker's clock has certainly passed the reading.
func (c *workerClock) passed(reading int64) time.Time {
	left := time.Duration(reading-c.at) * time.Millisecond
	if left <= 0 {
		return c.seen
	}
	return c.seen.Add(time.Duration(float64(left) / (1 - maxClockDrift)))
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
