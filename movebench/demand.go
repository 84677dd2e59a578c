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
	// longBursts is the share of bursts that last for minutes, and sessions the share of requests that do.
	longBursts = 0.12
	sessions   = 0.002
	// Every hour ends with a pause, in which no pool bursts.
	hour  = time.Hour
	pause = 20 * time.Minute
)

// demand is what callers ask of the pools. One pool after the other bursts.
type demand struct {
	random *rand.Rand
	pools  []pool
	turn   int
	// until is the end of the burst, and rest the end of the pause after it.
	until, rest time.Duration
}

func newDemand(d deployment, seed uint64) *demand {
	out := &demand{random: rand.New(rand.NewPCG(seed, 11))}
	for _, p := range d.pools {
		if p.name != d.spare {
			out.pools = append(out.pools, p)
		}
	}
	out.turn = -1
	return out
}

// advance goes on to the next burst if the last one and its pause are over.
func (d *demand) advance(at time.Duration) {
	if at < d.rest {
		return
	}
	d.turn = (d.turn + 1) % len(d.pools)
	length := seconds(4 + 11*d.random.Float64())
	if d.random.Float64() < longBursts {
		length = seconds(60 + 120*d.random.Float64())
	}
	d.until = at + length
	d.rest = d.until + seconds(2+8*d.random.Float64())
}

// arrivals draws how many requests come to a pool in a tick.
func (d *demand) arrivals(i int, at time.Duration) int {
	return d.poisson(d.rate(i, at) * tick.Seconds())
}

// rate is a pool's present demand in requests a second.
func (d *demand) rate(i int, at time.Duration) float64 {
	p := d.pools[i]
	mean := fullLoad * float64(p.hosts*hostSlots) / p.runTime.Seconds() / burstFactor
	resting := at%hour >= hour-pause
	if i == d.turn && at < d.until && !resting {
		return mean * burstFactor
	}
	return mean * quietFactor
}

// length draws the run time of a request, or of a long session.
func (d *demand) length(p pool) time.Duration {
	if d.random.Float64() < sessions {
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
