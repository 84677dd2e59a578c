package movebench

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstFactor and quietFactor relate the demand in and between bursts to its mean.
	burstFactor = 5
	quietFactor = 0.05
	// longBurstShare is the share of bursts that last for minutes, and sessionShare the share of requests that do.
	longBurstShare = 0.12
	sessionShare   = 0.002
	// Every hour ends with a pause, in which no pool has a burst.
	hour  = time.Hour
	pause = 20 * time.Minute
)

// demand generates the demand on the pools. The pools have their bursts one after the other.
type demand struct {
	random   *rand.Rand
	pools    []pool
	bursting int
	// burstEnd is the end of the burst, and pauseEnd the end of the pause after it.
	burstEnd, pauseEnd time.Duration
}

func newDemand(d deployment, seed uint64) *demand {
	out := &demand{random: rand.New(rand.NewPCG(seed, 11))}
	for _, p := range d.pools {
		if p.name != d.spare {
			out.pools = append(out.pools, p)
		}
	}
	out.bursting = -1
	return out
}

// advance starts the next burst if the last one and its pause are over.
func (d *demand) advance(at time.Duration) {
	if at < d.pauseEnd {
		return
	}
	d.bursting = (d.bursting + 1) % len(d.pools)
	length := seconds(4 + 11*d.random.Float64())
	if d.random.Float64() < longBurstShare {
		length = seconds(60 + 120*d.random.Float64())
	}
	d.burstEnd = at + length
	d.pauseEnd = d.burstEnd + seconds(2+8*d.random.Float64())
}

// arrivals draws the number of requests that arrive for a pool in one tick.
func (d *demand) arrivals(i int, at time.Duration) int {
	return d.poisson(d.rate(i, at) * tick.Seconds())
}

// rate returns a pool's current demand in requests per second.
func (d *demand) rate(i int, at time.Duration) float64 {
	p := d.pools[i]
	mean := fullLoad * float64(p.hosts*hostSlots) / p.runTime.Seconds() / burstFactor
	quiet := at%hour >= hour-pause
	if i == d.bursting && at < d.burstEnd && !quiet {
		return mean * burstFactor
	}
	return mean * quietFactor
}

// drawRunTime draws the run time of a request or, with probability sessionShare, of a long session.
func (d *demand) drawRunTime(p pool) time.Duration {
	if d.random.Float64() < sessionShare {
		return seconds(20 + 100*d.random.Float64())
	}
	return time.Duration(float64(p.runTime) * (0.5 + d.random.Float64()))
}

func (d *demand) poisson(mean float64) int {
	limit := math.Exp(-mean)
	product := d.random.Float64()
	n := 0
	for product > limit {
		product *= d.random.Float64()
		n++
	}
	return n
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
